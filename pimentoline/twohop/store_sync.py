"""pimentoline.twohop.store_sync: what this node keeps in the store and reads from it.

The store holds the operator's configuration and a row for each node. Calls go on
with what is known while it cannot be reached.
"""

import asyncio
import json
import random
from dataclasses import asdict

from ..errors import StoreConflictError, StoreError, StoreHistoryExpiredError
from ..logs import log_entry
from .model import Member
from .target_status import TargetState, TargetStatus

__all__ = ["MEMBERS_TABLE", "StoreSync"]

MEMBERS_TABLE = "members"
# Longest wait of one reading of changes, seconds. Each node draws its own within
# these, so that a connection that went silent is noticed somewhere within a second;
# the other nodes pass a new configuration on.
CONFIG_WAIT_S = (6.0, 12.0)
MEMBERS_WAIT_S = (15.0, 25.0)
# Pause after a failed call, seconds; entries must be back within 2 s of the store.
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 1.2
# Changes that come together are read together.
BATCH_S = 0.4
# A stored drain is waited for this long before it is acknowledged all the same.
STORE_PATIENCE_S = 0.6
# A conditional write is repeated once with the version that it met.
SAVE_TRIES = 2


class StoreSync:
    """Keeps a node's knowledge and the store in step.

    Parameters
    ----------
    store : object
        `read_all(table)`, `read_changes(table, after, wait_s)` and `write(table, key,
        value, version)`; see `platform.store`.
    config_place : tuple of str
        Table and key of the operator's configuration.
    me : Member
    node : object
        `config`, `peers` and `target` of the node.
    """

    def __init__(self, store, config_place, me, node):
        self._store = store
        self._config_place = config_place
        self._me = me
        self._node = node
        self._row_version = 0
        self._write_lock = asyncio.Lock()
        self._tasks = []
        self._beside = set()
        self._again = None
        self._random = random.Random()
        self.members_loaded = asyncio.Event()
        self._reachable = True

    def start(self):
        """Begin to read both tables."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(
                self._follow(self._config_place[0], CONFIG_WAIT_S, self._config_rows)
            ),
            loop.create_task(
                self._follow(MEMBERS_TABLE, MEMBERS_WAIT_S, self._member_rows)
            ),
        ]

    def stop(self):
        """End the reading."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        if self._again is not None:
            self._again.cancel()

    async def _follow(self, table, wait_s, take):
        after = None
        pause_s = FIRST_PAUSE_S
        while True:
            try:
                if after is None:
                    rows, after = await self._store.read_all(table)
                    take(rows, True)
                else:
                    wait = self._random.uniform(*wait_s)
                    rows, after = await self._store.read_changes(table, after, wait)
                    if rows:
                        take(rows, False)
                    if rows and table == MEMBERS_TABLE:
                        await asyncio.sleep(BATCH_S)
                self._note_reachable(True, "")
                pause_s = FIRST_PAUSE_S
            except StoreHistoryExpiredError:
                after = None
            except StoreError as exc:
                self._note_reachable(False, exc.detail)
                await asyncio.sleep(pause_s * self._random.uniform(0.7, 1.0))
                pause_s = min(pause_s * 2, MAX_PAUSE_S)

    def _note_reachable(self, reachable, detail):
        if reachable != self._reachable:
            self._reachable = reachable
            log_entry("store:state", reachable=reachable, detail=detail[:120])

    def _config_rows(self, rows, whole):
        for row in rows:
            if row.key == self._config_place[1] and row.value is not None:
                self._node.config.offer(None, row.value, "store")

    def _member_rows(self, rows, whole):
        mine = None
        for row in rows:
            if row.key == self._me.node:
                mine = row
                continue
            if row.value is None:
                self._node.peers.remove_member(row.key)
                continue
            member = self._member(row)
            if member is not None and member.addr == self._me.addr:
                # That host is gone, and this one was given its address.
                self._run(self._remove(row.key, row.version))
            elif member is not None:
                self._node.peers.set_member(member)
        if whole or mine is not None:
            self._take_own(mine)
        self.members_loaded.set()

    def _run(self, work):
        """Run a coroutine beside the reading; keep it from being collected."""
        task = asyncio.get_running_loop().create_task(work)
        self._beside.add(task)
        task.add_done_callback(self._beside.discard)
        return task

    async def _remove(self, key, version):
        try:
            await self._store.write(MEMBERS_TABLE, key, None, version)
            log_entry("member:row-removed", node=key)
        except StoreError as exc:
            log_entry("member:row-kept", node=key, detail=exc.detail[:120])

    def _member(self, row):
        try:
            item = json.loads(row.value)
            return Member(
                row.key,
                (str(item["addr"][0]), int(item["addr"][1])),
                str(item["dc"]),
                str(item["region"]),
                str(item["service"]),
            )
        except (ValueError, TypeError, KeyError, IndexError) as exc:
            log_entry("member:unreadable", key=row.key[:80], detail=str(exc)[:80])
            return None

    def _take_own(self, row):
        """Take what is stored of the target, and write the row if it is not ours."""
        self._row_version = row.version if row is not None else 0
        stored = self._merge_own(row.value if row is not None else None)
        if stored != self._own_value():
            self._run(self.save())

    def _merge_own(self, value):
        """Take the target's state from a row's value; return the value decoded.

        Earlier processes of this node wrote it, some perhaps after this one started.
        """
        if value is None:
            return None
        try:
            stored = json.loads(value)
            item = stored.get("target")
            if item is not None:
                lifetime = TargetStatus(
                    str(item["target_id"]),
                    int(item["born_ms"]),
                    int(item["sequence"]),
                    TargetState(item["state"]),
                )
                self._node.target.restore(lifetime)
        except (ValueError, TypeError, KeyError, AttributeError) as exc:
            log_entry("member:unreadable", key=self._me.node, detail=str(exc)[:80])
            return None
        return stored

    def _own_value(self):
        held = self._node.target.status_tracker.current
        value = asdict(self._me)
        del value["node"]
        value["addr"] = list(value["addr"])
        if held is not None:
            value["target"] = {
                "target_id": held.target_id,
                "born_ms": held.born_ms,
                # Reports renew it all the time; only the state is worth a write.
                "sequence": 0,
                "state": held.state.value,
            }
        return value

    async def save(self):
        """Write this node's row; log and go on if the store cannot take it."""
        async with self._write_lock:
            for _ in range(SAVE_TRIES):
                value = json.dumps(self._own_value()).encode()
                try:
                    self._row_version = await self._store.write(
                        MEMBERS_TABLE, self._me.node, value, self._row_version
                    )
                    return True
                except StoreConflictError as exc:
                    # An earlier write of this node took effect without an answer.
                    self._row_version = exc.version
                    self._merge_own(exc.value)
                except StoreError as exc:
                    log_entry("member:not-stored", detail=exc.detail[:120])
                    break
            self._save_again()
            return False

    def _save_again(self):
        """Write the row later, since no one else would: what it says was promised."""
        if self._again is None:
            pause_s = MAX_PAUSE_S * self._random.uniform(0.7, 1.0)
            loop = asyncio.get_running_loop()
            self._again = loop.call_later(pause_s, self._retry)

    def _retry(self):
        self._again = None
        if self._tasks:
            self._run(self.save())

    async def remove_with_timeout(self):
        """Remove the row of a host that goes, but wait only a little for it."""
        self.stop()
        async with self._write_lock:
            task = self._run(self._remove(self._me.node, self._row_version))
            await asyncio.wait([task], timeout=STORE_PATIENCE_S)

    async def save_with_timeout(self):
        """Write the row, but wait only a little for it."""
        task = self._run(self.save())
        await asyncio.wait([task], timeout=STORE_PATIENCE_S)
