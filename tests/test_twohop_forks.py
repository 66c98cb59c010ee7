"""Property-based test of a node whose store comes back from older copies."""

import asyncio
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench import store_return
from bench.emulator import simulated_time
from pimentoline.twohop.member_rows import encode_row, parse_row
from pimentoline.twohop.model import Member
from pimentoline.twohop.store_sync import MEMBERS_TABLE, StoreSync
from pimentoline.twohop.target_status import Heartbeat, TargetState
from standins.store_model import StoreClient, StoreModel

from .test_twohop_generated import ADDR, FakeTargetSide, make_lone_peers

CONFIG_ROW = ("op", "config")
NODE = "n1"
OWN_ROW = (MEMBERS_TABLE, NODE)
# Bound of a change and of a lost row after the store is back, seconds.
BOUND_S = 2.0
SLOW_RESPONSE_S = 0.4


class Process:
    """The part of a node's process that follows the store."""

    def __init__(self, store):
        self.target = FakeTargetSide()
        # Versions of the configuration that came into force, in order.
        self.versions = [0]
        self.config = SimpleNamespace(offer=self._offer)
        member = Member(NODE, ADDR, "kerio", "rift", "ledger")
        self.peers = make_lone_peers(member)
        self.store_sync = StoreSync(StoreClient(store), CONFIG_ROW, member, self)
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
                copy = store.copy()
            case "drain":
                process.drain()
            case "back":
                outage_s, cut, others = rest
                store.up = outage_s == 0.0
                if cut:
                    store.cut_watches()
                await asyncio.sleep(outage_s)
                store.go_back(copy)
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
        store = StoreModel(latencies=latencies)
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


@pytest.mark.parametrize("rows_lost", [False, True])
def test_all_nodes_read_and_write_again_within_the_limits_of_the_store(rows_lost):
    """Guards against nodes that return at once, are refused, and take too long."""
    found = simulated_time.run(store_return.play(76, rows_lost))
    assert found["in_force_s"] < BOUND_S and found["stored_s"] < BOUND_S
    assert found["refused"] == 0
