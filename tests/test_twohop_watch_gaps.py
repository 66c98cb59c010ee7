"""Tests that a change is found in time after its responses to all readers were lost.

No node can tell a lost response from a store without changes until its wait ends.
"""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.emulator import simulated_time
from pimentoline.twohop.member_rows import MemberRow, encode_row
from pimentoline.twohop.model import Member
from pimentoline.twohop.store_sync import (
    MEMBERS_POLL_RANGE_S,
    MEMBERS_TABLE,
    STOPPED_ROW_LIFETIME_S,
)
from pimentoline.twohop.table_follower import TableFollower
from pimentoline.twohop.watch_schedule import ANNOUNCE_INTERVAL_S, MAX_WAIT_S

from .test_twohop_path import LEDGER, cluster_test, config
from .watch_model import ModelCluster

# The time without disruption after which a change must be in force again, seconds.
STABLE_S = 3.0
NODES = 14
SETTLE_S = 25.0


@pytest.mark.parametrize("loss", ["kill", "freeze"])
@pytest.mark.parametrize("after_s", [0.0, 0.7, 4.0, 9.5])
@pytest.mark.parametrize(
    "left", [[0], [6], [13], [0, 13], [12, 13], [1, 4, 9], list(range(7, 14))], ids=str
)
def test_lost_change_is_in_force_in_time_after_other_nodes_were_lost(
    left, after_s, loss
):
    """Guards against waits whose ends rely on nodes that no longer read the store."""

    async def play():
        cluster = ModelCluster(NODES)
        cluster.start()
        await asyncio.sleep(SETTLE_S)
        cluster.change()
        await asyncio.sleep(1.0)
        for number, node in enumerate(cluster.nodes):
            if number not in left:
                getattr(node, loss)()
        await asyncio.sleep(after_s)
        for _ in range(4):
            cluster.change_without_responses()
            await asyncio.sleep(STABLE_S)
            assert not cluster.behind()
        cluster.close()

    simulated_time.run(play())


# What happens, and the time after it, seconds. A cut is at a position in the list of
# nodes; "lose" is a change whose responses to all waiting nodes are lost.
PAUSES = st.sampled_from([0.0, 0.3, 1.3, 5.0])
NUMBERS = st.integers(1, NODES - 1)
ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.sampled_from(["kill", "freeze"]), NUMBERS, PAUSES),
        st.tuples(st.sampled_from(["cut", "silent cut"]), NUMBERS, PAUSES),
        st.tuples(st.sampled_from(["heal", "change", "lose"]), st.just(0), PAUSES),
    ),
    max_size=25,
)


@settings(max_examples=60, deadline=None)
@given(ACTIONS)
def test_lost_change_is_in_force_in_time_with_any_losses_and_cuts(actions):
    """Guards against nodes with different views that leave a gap between their waits.

    Node 0 is never lost.
    """

    async def play():
        cluster = ModelCluster(NODES)
        cluster.start()
        await asyncio.sleep(5.0)
        for name, number, pause_s in [*actions, ("lose", 0, 0.0)]:
            match name:
                case "kill" | "freeze":
                    getattr(cluster.nodes[number], name)()
                case "cut":
                    cluster.split(number, cluster.cuts)
                case "silent cut":
                    cluster.split(number, cluster.silent_cuts)
                case "heal":
                    cluster.cuts.clear()
                    cluster.silent_cuts.clear()
                case "change":
                    cluster.change()
                case "lose":
                    cluster.change_without_responses()
                    await asyncio.sleep(STABLE_S)
                    assert not cluster.behind()
            await asyncio.sleep(pause_s)
        cluster.close()

    simulated_time.run(play())


@pytest.mark.parametrize("loss", ["kill", "cut"])
def test_rows_of_stopped_nodes_are_removed_without_the_first_member(loss):
    """Guards against rows that stay for ever if the first member is lost for good.

    With a cut link, two members take themselves for the first one.
    """

    async def play():
        cluster = ModelCluster(NODES)
        cluster.start()
        await asyncio.sleep(SETTLE_S)
        stopped = Member("n999", ("10.0.0.2", 9000), "d", "r", "s")
        row = MEMBERS_TABLE, stopped.node
        cluster.store.put(row, encode_row(MemberRow(stopped, None, True)))
        if loss == "kill":
            cluster.nodes[0].kill()
        else:
            cluster.split(7, cluster.cuts)
        await asyncio.sleep(STOPPED_ROW_LIFETIME_S - 10.0)
        assert row in cluster.store.rows
        # Members look for such rows when a watch of their table ends.
        await asyncio.sleep(10.0 + 2 * MEMBERS_POLL_RANGE_S[1])
        assert row not in cluster.store.rows
        cluster.close()

    simulated_time.run(play())


@pytest.mark.parametrize("nodes", [1, 2, 3, NODES, 85])
def test_no_wait_is_ended_early_in_calm(monkeypatch, nodes):
    """Guards against further calls to the store while all nodes read it as planned."""
    ended = []
    end_wait = TableFollower.end_wait

    def count(follower):
        if end_wait(follower):
            ended.append(follower)

    monkeypatch.setattr(TableFollower, "end_wait", count)

    async def play():
        cluster = ModelCluster(nodes)
        cluster.start()
        await asyncio.sleep(SETTLE_S)
        cluster.change()
        await asyncio.sleep(2 * MAX_WAIT_S)
        ended.clear()
        announcements = sum(node.announcements for node in cluster.nodes)
        await asyncio.sleep(60.0)
        assert not ended
        # Two nodes may announce at the same moment.
        announcements -= sum(node.announcements for node in cluster.nodes)
        assert -announcements <= 2 * 60.0 / ANNOUNCE_INTERVAL_S
        cluster.close()

    simulated_time.run(play())


@pytest.mark.parametrize("name", ["a", "z"])
@cluster_test
async def test_lost_change_is_in_force_in_time_beside_rows_of_lost_nodes(cluster, name):
    """Guards against a lone node that shares its waits with nodes that are gone."""
    for number in range(NODES - 1):
        # Nothing listens at these addresses.
        member = Member(f"{name}{number}", ("127.0.0.1", 9 + number), "d", "r", LEDGER)
        cluster.store.put(
            MEMBERS_TABLE, member.node, encode_row(MemberRow(member, None))
        )
    node, _ = await cluster.add(ready=False)
    await cluster.until(lambda: len(node.peers.members) == NODES)
    cluster.store.put_config(config(2))
    await cluster.until(lambda: node.config.version == 2)
    await asyncio.sleep(1.0)
    cluster.store.silence_feeds()
    cluster.store.put_config(config(3))
    await cluster.until(lambda: node.config.version == 3, STABLE_S)


@cluster_test
async def test_lost_change_is_in_force_in_time_beside_frozen_nodes(cluster):
    """Guards against a node that counts on others that have links but do not read."""
    nodes = [(await cluster.add(ready=False))[0] for _ in range(7)]
    await cluster.wait_until_connected_to(nodes[3])
    cluster.store.put_config(config(2))
    await cluster.until(lambda: all(node.config.version == 2 for node in nodes))
    await asyncio.sleep(0.1)
    for node in nodes:
        if node is not nodes[3]:
            node.store_sync.stop()
    cluster.store.silence_feeds()
    cluster.store.put_config(config(3))
    await cluster.until(lambda: nodes[3].config.version == 3, STABLE_S)


@cluster_test
async def test_peers_hear_of_a_read(cluster, monkeypatch):
    """Guards against nodes that read the store although others have just done so."""
    nodes = [(await cluster.add(ready=False))[0] for _ in range(3)]
    await cluster.until(lambda: all(len(n.peers.connected_members) == 3 for n in nodes))
    heard = []
    for node in nodes:
        monkeypatch.setattr(
            node.store_sync,
            "note_peer_read",
            lambda name=node.cfg.node: heard.append(name),
        )
    await cluster.until(lambda: len(set(heard)) == 3, 5.0)
