"""Property-based test of a node whose store comes back from older copies."""

import asyncio
import base64
import json
from types import SimpleNamespace
from urllib.parse import parse_qs, urlsplit

from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from bench.emulator import simulated_time
from pimentoline.platform.store import PlatformStore
from pimentoline.twohop.exchange import Response
from pimentoline.twohop.member_rows import encode_row, parse_row
from pimentoline.twohop.model import Member
from pimentoline.twohop.store_sync import MEMBERS_TABLE, StoreSync
from pimentoline.twohop.target_status import Heartbeat, TargetState

from .test_twohop_generated import ADDR, FakeTargetSide, NoReplicas

CONFIG_ROW = ("op", "config")
NODE = "n1"
OWN_ROW = (MEMBERS_TABLE, NODE)
# Bound of a change and of a lost row after the store is back, seconds.
BOUND_S = 2.0
SLOW_RESPONSE_S = 0.4


class ForkingStore(PlatformStore):
    """A client whose store is a plain model with rows, a counter and an era.

    Attributes
    ----------
    latencies : list of float
        Times until the next responses arrive, from its end, seconds. The request is
        processed before.
    """

    def __init__(self, latencies):
        super().__init__(ADDR, SimpleNamespace(close_idle=lambda addr: None))
        self.rows = {}
        self.version = 0
        self.era = 1
        self.up = True
        self.latencies = latencies
        self.cuts = 0
        self.changed = asyncio.Event()

    def put(self, row_id, value):
        self.version += 1
        self.rows[row_id] = (value, self.version)
        self.wake()

    def wake(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _items(self, table, after=0):
        return [
            {"key": key, "ver": version, "value": base64.b64encode(value).decode()}
            for (found, key), (value, version) in self.rows.items()
            if found == table and version > after
        ]

    async def _exchange(self, method, path, headers, data):
        await asyncio.sleep(0.002)
        if not self.up:
            raise OSError("the store is down")
        if method == "POST":
            status, item = self._apply(json.loads(data))
        else:
            query = {
                name: values[0] for name, values in parse_qs(path.split("?")[1]).items()
            }
            if urlsplit(path).path.endswith("rows-get"):
                item = {"rows": self._items(query["table"]), "has_more": False}
                status = 200
            else:
                status, item = await self._watch(query)
        body = json.dumps(item | {"ver": self.version}).encode()
        response_headers = HTTPHeaders({"Store-Era": str(self.era)})
        await asyncio.sleep(self.latencies.pop() if self.latencies else 0.002)
        return Response(status, "", response_headers, body, True)

    async def _watch(self, query):
        after, cuts = int(query["after"]), self.cuts
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query["wait_ms"]) / 1000
        while True:
            if self.cuts != cuts:
                raise OSError("connection closed")
            if after > self.version:
                return 410, {}
            items = self._items(query["table"], after)
            if items or loop.time() >= ends_at:
                return 200, {"rows": items}
            try:
                async with asyncio.timeout_at(ends_at):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def _apply(self, transaction):
        (check,) = transaction["expected_rev"]
        row_id = (check["table"], check["key"])
        value, version = self.rows.get(row_id, (None, 0))
        if version != check["ver"]:
            items = [item for item in self._items(check["table"])]
            return 412, {"rows": items if value is not None else []}
        (write,) = transaction["writes"]
        self.put(row_id, base64.b64decode(write["value"]))
        return 200, {}


class Process:
    """The part of a node's process that follows the store."""

    def __init__(self, store):
        self.target = FakeTargetSide()
        # Versions of the configuration that came into force, in order.
        self.versions = [0]
        self.config = SimpleNamespace(offer=self._offer)
        member = Member(NODE, ADDR, "kerio", "rift", "ledger")
        self.peers = SimpleNamespace(members=[member], replicas=NoReplicas())
        self.store_sync = StoreSync(store, CONFIG_ROW, member, self)
        self.store_sync.start()

    def _offer(self, version, text, source):
        found = int(text)
        if found > self.versions[-1]:
            self.versions.append(found)

    def drain(self):
        """Note that the target drains, and store it."""
        heartbeat = Heartbeat("t1", ADDR, "ledger", 5, 1, TargetState.DRAINING, 12)
        self.target.status_tracker.accept(heartbeat)
        self.store_sync.save_in_background()


# What happens, and the time after it, seconds. "copy" keeps a copy of the store for the
# next "back"; the store is then away for a while and comes back with a change, and with
# a number of other writes.
PAUSES = st.sampled_from([0.0, 0.01, 0.3, 1.0])
ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.sampled_from(["change", "other", "copy", "drain"]), PAUSES),
        st.tuples(
            st.just("back"),
            PAUSES,
            st.sampled_from([0.0, 0.05, 1.0]),
            st.booleans(),
            st.integers(0, 4),
        ),
    ),
    max_size=12,
)


async def play(store, actions):
    """Carry out the actions; return the node's process and the newest version."""
    copy, newest = ({}, 0), 1
    store.put(CONFIG_ROW, b"1")
    process = Process(store)
    await asyncio.sleep(0.5)

    def change():
        nonlocal newest
        newest += 1
        store.put(CONFIG_ROW, str(newest).encode())

    for name, pause_s, *rest in actions:
        match name:
            case "change":
                change()
            case "other":
                store.put(("other", "row"), b"")
            case "copy":
                copy = dict(store.rows), store.version
            case "drain":
                process.drain()
            case "back":
                outage_s, cut, others = rest
                store.up = outage_s == 0.0
                store.cuts += cut
                store.wake()
                await asyncio.sleep(outage_s)
                rows, store.version = copy
                store.rows = dict(rows)
                store.era += 1
                store.up = True
                change()
                for _ in range(others):
                    store.put(("other", "row"), b"")
        await asyncio.sleep(pause_s)
    return process, newest


@settings(max_examples=400, deadline=None)
@given(ACTIONS, st.lists(st.sampled_from([0.002, SLOW_RESPONSE_S]), max_size=12))
def test_newest_change_and_own_row_survive_any_forks(actions, latencies):
    """Guards against changes that are missed and rows that are lost after a fork.

    The newest configuration must be in force, and the node's row stored as it is, soon
    after the last action. A configuration is never replaced by an older one.
    """

    async def scenario():
        store = ForkingStore(list(latencies))
        process, newest = await play(store, actions)
        # One response may be slow, and a read may have just missed the return.
        await asyncio.sleep(BOUND_S + SLOW_RESPONSE_S)
        assert process.versions[-1] == newest
        assert process.versions == sorted(process.versions)
        value, _ = store.rows[OWN_ROW]
        own_row = process.store_sync._own_row()
        assert parse_row(NODE, value) == own_row and value == encode_row(own_row)
        process.store_sync.stop()

    simulated_time.run(scenario())
