"""pimentoline.twohop.store_sync: follows the store and writes this node's row.

The store holds the operator's configuration and a row for each node. While the store
cannot be reached, nodes keep serving calls with the last state that they received.
"""

import asyncio
import random

from ..errors import StoreConflictError, StoreEraChangedError, StoreError
from ..logs import log_entry
from ..tasks import start_task
from . import watch_schedule
from .member_rows import MemberRow, encode_row, parse_row
from .read_watchdog import ReadWatchdog
from .store_versions import ABSENT
from .table_follower import MAX_PAUSE_S, TableFollower
from .target_status import TargetState

__all__ = ["MEMBERS_TABLE", "StoreSync"]

MEMBERS_TABLE = "members"
# Range of the time that one watch of the members waits, seconds. Each node draws a
# random time from it, so that the watches of the nodes end at different times.
MEMBERS_POLL_RANGE_S = (15.0, 25.0)
# Changes of members within this time are read with one request.
BATCH_DELAY_S = 0.4
# If the store has not confirmed a drain or leave after this time, seconds, peers are
# asked to hold it; the write continues in the background. A target waits 1 s for the
# acknowledgement.
MAX_STORE_WAIT_S = 0.25
# A stopping node waits this long for its last write, seconds.
STOP_WRITE_TIMEOUT_S = 0.6
# After a version conflict, a conditional write is retried once with the stored version,
# which is unknown at first in a new era of the store.
MAX_SAVE_ATTEMPTS = 3
# The row of a stopped node is removed after this time, seconds. Targets that have left
# serve for some seconds at most.
STOPPED_ROW_LIFETIME_S = 600.0


class StoreSync:
    """Follows the store's tables and keeps this node's own row up to date.

    Parameters
    ----------
    store : object
        Has the methods `read_all(table)`, `read_changes(table, after, wait_s)` and
        `write(table, key, value, version)` with versions of the class `StoreVersion`;
        see `platform.store`.
    config_row : tuple of str
        Table and key of the operator's configuration.
    own_member : Member
        This node, as other nodes see it.
    node : HostNode
        Its `config`, `peers` and `target` are used.

    Attributes
    ----------
    members_loaded : asyncio.Event
        Set when the members have been read for the first time.
    """

    def __init__(self, store, config_row, own_member, node):
        self._store = store
        self._config_row = config_row
        self._own_member = own_member
        self._node = node
        self._row_version = ABSENT
        self._write_lock = asyncio.Lock()
        self._tasks = []
        self._config_follower = None
        self._config_watchdog = ReadWatchdog(self._read_overdue_config)
        # Number of connected nodes when the latest wait for the configuration began.
        self._waiting_nodes = 0
        self._save_timer = None
        # Status of the target that the store or peers have confirmed last.
        self._kept_status = None
        # Whether the row says that this node has stopped.
        self._stopped = False
        # When this node first read each row of a stopped node, by key and version; time
        # of the event loop, seconds.
        self._stopped_rows = {}
        self._random = random.Random()
        self.members_loaded = asyncio.Event()
        self._reachable = True

    def start(self):
        """Start following both tables."""
        self._config_follower = TableFollower(
            self._store,
            self._config_row[0],
            self._config_wait_s,
            self._apply_config_rows,
            self._note_reachable,
        )
        members_follower = TableFollower(
            self._store,
            MEMBERS_TABLE,
            self._members_wait_s,
            self._apply_member_rows,
            self._note_reachable,
            self._forget_confirmation,
            BATCH_DELAY_S,
        )
        self._tasks = [
            start_task(follower.run(), f"follow {table}")
            for table, follower in (
                (self._config_row[0], self._config_follower),
                (MEMBERS_TABLE, members_follower),
            )
        ]
        self._config_watchdog.start()

    def stop(self):
        """Stop following the tables."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        self._config_watchdog.stop()
        if self._save_timer is not None:
            self._save_timer.cancel()

    def _rank(self, members):
        """Return the number of members whose names sort before this node's."""
        return sum(member.node < self._own_member.node for member in members)

    def _config_wait_s(self, restarted):
        # Members that cannot be reached do not count: they may be lost for good.
        members = self._node.peers.connected_members
        nodes = len(members)
        # Nodes that have started together, or were cut off from these, may wait at the
        # same times as others.
        spread = restarted or nodes >= 2 * self._waiting_nodes
        self._waiting_nodes = nodes
        return watch_schedule.wait_s(self._rank(members), nodes, spread)

    def note_peer_read(self):
        """Note that a peer has read the table of the configuration."""
        self._config_watchdog.note_read()

    def _read_overdue_config(self, silent_s):
        """Read the configuration without waiting, since no node has read it for long.

        The response to this node's own watch may be lost, and the nodes whose waits
        should have ended since may be lost or frozen.
        """
        if self._config_follower.end_wait():
            log_entry(
                "store:read-overdue",
                table=self._config_row[0],
                silent_s=round(silent_s, 3),
                connected=len(self._node.peers.connected_members),
                members=len(self._node.peers.members),
            )

    def _members_wait_s(self, restarted):
        return self._random.uniform(*MEMBERS_POLL_RANGE_S)

    def _forget_confirmation(self):
        """Forget what the store has confirmed, since it may have lost it."""
        self._kept_status = None

    def _note_reachable(self, reachable, detail):
        if reachable != self._reachable:
            self._reachable = reachable
            log_entry("store:state", reachable=reachable, detail=detail[:120])

    def _apply_config_rows(self, rows, complete):
        for row in rows:
            if row.key == self._config_row[1] and row.value is not None:
                # None: only the text itself contains the configuration's version.
                self._node.config.offer(None, row.value, "store")
        since_last_s = self._config_watchdog.note_read()
        # A change is read by all nodes at once.
        if not rows and watch_schedule.is_announcement_due(since_last_s):
            self._node.peers.broadcast_load(config_read=True)

    def _apply_member_rows(self, rows, complete):
        own_row = None
        for row in rows:
            if row.key == self._own_member.node:
                own_row = row
                continue
            if row.value is None:
                self._node.peers.remove_member(row.key)
                self._node.peers.replicas.forget(row.key)
                continue
            parsed_row = self._parse_row(row.key, row.value)
            if parsed_row is None:
                continue
            if parsed_row.status is not None:
                self._node.peers.replicas.note_row(row.key, parsed_row.status)
            if parsed_row.member.addr == self._own_member.addr:
                # The address of a removed host has been assigned to this one.
                start_task(self._remove_row(row.key, row.version), "remove row")
            elif parsed_row.stopped:
                self._node.peers.remove_member(row.key)
                now = asyncio.get_running_loop().time()
                self._stopped_rows.setdefault((row.key, row.version), now)
            else:
                self._node.peers.set_member(parsed_row.member)
        if complete or own_row is not None:
            self._apply_own_row(own_row)
        self._remove_expired_rows()
        self.members_loaded.set()

    def _remove_expired_rows(self):
        """Remove the rows of nodes that stopped long ago.

        Only the first connected member does this. Under a cut link there are two such
        members; the second removal finds another version and has no effect.
        """
        if self._rank(self._node.peers.connected_members) > 0:
            return
        now = asyncio.get_running_loop().time()
        for (key, version), read_at in list(self._stopped_rows.items()):
            if now - read_at > STOPPED_ROW_LIFETIME_S:
                del self._stopped_rows[key, version]
                # A node that has started again has written another version.
                start_task(self._remove_row(key, version), "remove row")

    async def _remove_row(self, key, version):
        try:
            await self._store.write(MEMBERS_TABLE, key, None, version)
            log_entry("member:row-removed", node=key)
        except StoreError as exc:
            log_entry("member:row-kept", node=key, detail=exc.detail[:120])

    def _parse_row(self, key, value):
        """Return the `MemberRow` in a row's value, or None if it is unreadable."""
        try:
            return parse_row(key, value)
        except ValueError as exc:
            log_entry("member:unreadable", key=key[:80], detail=str(exc)[:80])
            return None

    def _apply_own_row(self, row):
        """Restore the target's state from the row, and save the row if it differs."""
        self._row_version = row.version if row is not None else ABSENT
        value = row.value if row is not None else None
        if self._restore_target(value) != self._own_row():
            self.save_in_background()

    def _restore_target(self, value):
        """Restore the target's state from a row's value; return the `MemberRow`.

        An earlier process of this node may have written the row. Such a write can take
        effect after this process started, so this is done each time the row is read.
        """
        row = None if value is None else self._parse_row(self._own_member.node, value)
        if row is not None and row.status is not None:
            self._node.target.restore(row.status)
        return row

    def _own_row(self):
        """Return the `MemberRow` of this node."""
        status = self._node.target.status_tracker.current
        if status is not None:
            status = status.without_sequence()
        return MemberRow(self._own_member, status, self._stopped)

    def save_in_background(self):
        """Start to write this node's row; return the task."""
        return start_task(self.save(), "save row")

    async def save(self):
        """Write this node's row; return whether it is stored.

        If the write fails, the failure is logged and another write is scheduled.
        """
        async with self._write_lock:
            for _ in range(MAX_SAVE_ATTEMPTS):
                row = self._own_row()
                try:
                    self._row_version = await self._store.write(
                        MEMBERS_TABLE,
                        self._own_member.node,
                        encode_row(row),
                        self._row_version,
                    )
                    self._kept_status = row.status
                    return True
                except StoreConflictError as exc:
                    # An earlier write of this node took effect, but its response was
                    # lost.
                    self._row_version = exc.version
                    self._restore_target(exc.value)
                except StoreEraChangedError:
                    # The next conflict tells the version in the new era.
                    self._row_version = ABSENT
                except StoreError as exc:
                    log_entry("member:not-stored", detail=exc.detail[:120])
                    break
            self._schedule_save()
            return False

    def _schedule_save(self):
        """Schedule another write of the row.

        The heartbeat with the target's new state has been acknowledged, and later
        heartbeats with the same state cause no write.
        """
        if self._save_timer is None:
            pause_s = MAX_PAUSE_S * self._random.uniform(0.7, 1.0)
            loop = asyncio.get_running_loop()
            self._save_timer = loop.call_later(pause_s, self._on_save_timer)

    def _on_save_timer(self):
        self._save_timer = None
        # `stop` empties `_tasks`.
        if self._tasks:
            self.save_in_background()

    async def mark_stopped_with_timeout(self):
        """Mark this node's row as that of a stopped node, so that no other connects.

        The row keeps the state of the target, because this process may have
        acknowledged that the target leaves, and the target may serve for longer than
        the node needs to start again. Waits up to `STOP_WRITE_TIMEOUT_S` for the write.
        """
        self.stop()
        self._stopped = True
        await asyncio.wait([self.save_in_background()], timeout=STOP_WRITE_TIMEOUT_S)

    async def keep_status(self):
        """Store the target's status; return whether it outlives this process.

        If the store does not confirm it in time, peers are asked to hold it. The write
        to the store is repeated until it succeeds.
        """
        status = self._own_row().status
        if status is None or status.state is TargetState.READY:
            # The report was about an earlier target.
            return True
        if status == self._kept_status:
            return True
        saving = self.save_in_background()
        await asyncio.wait([saving], timeout=MAX_STORE_WAIT_S)
        if status == self._kept_status:
            return True
        replicating = start_task(self._replicate(status), "replicate status")
        pending = {saving, replicating}
        while replicating in pending and status != self._kept_status:
            _, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
        return status == self._kept_status

    async def _replicate(self, status):
        if await self._node.peers.replicas.replicate(status):
            self._kept_status = status
