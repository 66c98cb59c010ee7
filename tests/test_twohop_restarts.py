"""The node's acknowledgement that its target leaves, and restarts of the node."""

import asyncio
import json

import pytest

from pimentoline.twohop import store_sync, target_status
from pimentoline.twohop.model import Member
from pimentoline.twohop.status_replicas import choose_holders
from pimentoline.twohop.store_sync import MEMBERS_TABLE
from pimentoline.twohop.target_status import (
    MAX_REPORT_DELAY_S,
    Heartbeat,
    ReportHistory,
    StatusTracker,
    TargetState,
)

from .test_twohop_path import DESK, LEDGER, Caller, cluster_test, start_pair


async def stop(cluster, node):
    """Stop a node like SIGTERM does, and wait for its end."""
    node.stop()
    await node._stopped.wait()
    await cluster.close_node(node)


def stored_state(cluster, node):
    """Return the state of the target in the row of a node, or None."""
    row = json.loads(cluster.store.rows[MEMBERS_TABLE, node.cfg.node][0])
    return row["target"]["state"] if "target" in row else None


@cluster_test
async def test_stopped_node_keeps_the_leave_that_it_acknowledged(cluster):
    """Guards against calls to a target that has left, after a planned restart.

    A heartbeat from before the leave arrives only after the restart.
    """
    caller_node, node, target = await start_pair(cluster)
    assert await target.send_leave(node) == 200
    for _ in range(2):
        await stop(cluster, node)
        await cluster.until(lambda: not caller_node.peers.outgoing)
        assert stored_state(cluster, node) == "left"
        node = await cluster.start_node_with(node.cfg)
        await cluster.until(node.store_sync.members_loaded.is_set)
        assert await target.send_heartbeat(node, "ready") == 200
        assert not node.target.accepting
        await cluster.wait_until_connected_to(node)
    # The next target at this address is served.
    target.born_ms += 9
    assert await target.send_heartbeat(node, "ready") == 200
    await cluster.wait_until_connected()


@cluster_test
async def test_row_of_a_stopped_node_is_removed_later(cluster, monkeypatch):
    """Guards against a table that grows with every host that is taken away."""
    monkeypatch.setattr(store_sync, "STOPPED_ROW_LIFETIME_S", 0.5)
    monkeypatch.setattr(store_sync, "MEMBERS_POLL_RANGE_S", (0.2, 0.3))
    _, node, target = await start_pair(cluster)
    assert await target.send_leave(node) == 200
    await stop(cluster, node)
    await cluster.until(
        lambda: cluster.store.rows[MEMBERS_TABLE, node.cfg.node][0] is None
    )


def break_store(store, fault):
    """Let the store fail in one way from now on."""
    if fault == "losing":
        store.lose_responses = 1000
    else:
        setattr(store, fault, True)


def mend_store(store):
    """Let the store work again."""
    store.lose_responses = 0
    store.down = store.silent = False


async def assert_gets_no_calls(cluster, caller_node, node, target):
    """Check that a target gets no calls any more."""
    await cluster.wait_until_connected_to(node)
    await cluster.until(lambda: not node.target.accepting)
    received = len(target.received)
    for number in range(5):
        status, _, _ = await Caller(caller_node).call(f"/look/{number}")
        assert status == 503
        await asyncio.sleep(0.05)
    assert len(target.received) == received


@pytest.mark.parametrize("mended_before_restart", [True, False])
@pytest.mark.parametrize("reports", [("left",), ("draining",), ("draining", "left")])
@pytest.mark.parametrize("fault", ["down", "silent", "losing"])
@cluster_test
async def test_leave_acknowledged_without_the_store_outlives_the_process(
    cluster, fault, reports, mended_before_restart
):
    """Guards against calls to a target whose leave was known to one process only.

    The process is killed before the store has the leave, and the health check of the
    target is good all the while.
    """
    caller_node, node, target = await start_pair(cluster)
    row = (MEMBERS_TABLE, node.cfg.node)
    await cluster.until(lambda: b"ready" in cluster.store.rows[row][0])
    stale_row = cluster.store.rows[row]
    break_store(cluster.store, fault)
    for report in reports:
        if report == "left":
            assert await target.send_leave(node) == 200
        else:
            assert await target.send_heartbeat(node, report) == 200
    await cluster.close_node(node)
    cluster.store.rows[row] = stale_row
    if mended_before_restart:
        mend_store(cluster.store)
    node = await cluster.start_node_with(node.cfg)
    await assert_gets_no_calls(cluster, caller_node, node, target)
    mend_store(cluster.store)
    await cluster.until(lambda: stored_state(cluster, node) in ("draining", "left"))
    await target.send_heartbeat(node, "ready")
    await assert_gets_no_calls(cluster, caller_node, node, target)


@cluster_test
async def test_node_that_starts_without_the_store_learns_the_members(cluster):
    """Guards against a node that places no calls, though peers connect to it."""
    caller_node, node, _ = await start_pair(cluster)
    cluster.store.down = True
    await cluster.close_node(caller_node)
    caller_node = await cluster.start_node_with(caller_node.cfg)
    await cluster.wait_until_connected_to(node)
    assert (await Caller(caller_node).call("/look/1"))[0] == 200


@cluster_test
async def test_holder_that_restarts_is_told_the_status_again(cluster):
    """Guards against a leave that is lost when nodes restart one after the other."""
    caller_node, node, target = await start_pair(cluster)
    cluster.store.down = True
    assert await target.send_leave(node) == 200
    await cluster.close_node(caller_node)
    caller_node = await cluster.start_node_with(caller_node.cfg)
    await cluster.wait_until_connected_to(caller_node)
    await cluster.wait_until_connected_to(node)
    await asyncio.sleep(0.1)
    await cluster.close_node(node)
    node = await cluster.start_node_with(node.cfg)
    await assert_gets_no_calls(cluster, caller_node, node, target)


@cluster_test
async def test_leave_that_only_one_process_knows_is_not_acknowledged(cluster):
    """Guards against a promise that ends with the process that gave it."""
    node, target = await cluster.add(LEDGER)
    cluster.store.down = True
    assert await target.send_leave(node) == 503
    assert not node.target.accepting
    assert await target.send_heartbeat(node, "draining") == 503
    cluster.store.down = False
    await cluster.until(lambda: stored_state(cluster, node) == "left")
    assert await target.send_leave(node) == 200


@cluster_test
async def test_leave_that_cannot_be_stored_is_refused(cluster):
    """Guards against a stored state that the next process cannot read."""
    _, node, target = await start_pair(cluster)
    for born in (10**15, -1, 1.5, True, "9"):
        target.born_ms = born
        assert await target.send_leave(node) == 400
    assert node.target.accepting


@cluster_test
async def test_peers_hold_a_status_only_for_the_node_that_sent_it(cluster):
    """Guards against a held status that outlives its target."""
    caller_node, node, target = await start_pair(cluster)
    held = caller_node.peers.replicas
    cluster.store.down = True
    assert await target.send_leave(node) == 200
    assert list(held._held) == [node.cfg.node]
    cluster.store.down = False
    target.born_ms += 9
    assert await target.send_heartbeat(node, "ready") == 200
    await cluster.until(lambda: not held._held)
    await cluster.wait_until_connected()


def test_holders_are_in_many_data_centres():
    """Guards against a status that is lost with a single data centre."""
    members = [
        Member(f"n{number}", ("127.0.0.1", number), dc, "rift", DESK)
        for number, dc in enumerate("aaaaabbc")
    ]
    found = choose_holders(members, 4)
    assert [member.dc for member in found] == ["a", "b", "c", "a"]
    assert len(choose_holders(members, 99)) == len(members)


@pytest.mark.parametrize("late_report", [True, False])
@cluster_test
async def test_leave_that_all_processes_forgot_is_kept(cluster, late_report):
    """Guards against a stored state, or a late report, that is older than a leave.

    The store does not have the leave, and all nodes are killed at once.
    """
    caller_node, node, target = await start_pair(cluster)
    row = (MEMBERS_TABLE, node.cfg.node)
    await cluster.until(lambda: b"ready" in cluster.store.rows[row][0])
    cluster.store.down = True
    target.healthy = False
    assert await target.send_leave(node) == 200
    for killed in (caller_node, node):
        await cluster.close_node(killed)
    cluster.store.down = False
    caller_node = await cluster.start_node_with(caller_node.cfg)
    node = await cluster.start_node_with(node.cfg)
    await cluster.until(node.store_sync.members_loaded.is_set)
    assert node.target.status_tracker.current.state is TargetState.READY
    if late_report:
        assert await target.send_heartbeat(node, "ready") == 200
    await assert_gets_no_calls(cluster, caller_node, node, target)
    # The next target is served as soon as it reports.
    target.healthy = True
    target.born_ms += 9
    assert await target.send_heartbeat(node, "ready") == 200
    await cluster.until(lambda: node.target.accepting, 0.5)


@cluster_test
async def test_target_that_seems_ill_is_served_after_a_restart(cluster, monkeypatch):
    """Guards against a ready target that gets no calls because of its health check."""
    monkeypatch.setattr(target_status, "MAX_REPORT_DELAY_S", 0.5)
    _, node, target = await start_pair(cluster)
    target.healthy = False
    await cluster.close_node(node)
    node = await cluster.start_node_with(node.cfg)
    assert await target.send_heartbeat(node, "ready") == 200
    assert not node.target.accepting
    await asyncio.sleep(0.6)
    assert await target.send_heartbeat(node, "ready") == 200
    await cluster.wait_until_connected()


def test_reports_prove_that_they_are_recent():
    """Guards against late reports that pass for recent ones."""
    history = ReportHistory(10.0)
    assert not history.note(heartbeat(sequence=1), 11.0)
    assert not history.note(heartbeat(sequence=2), 10.0 + MAX_REPORT_DELAY_S)
    assert not history.note(heartbeat(sequence=1), 99.0)
    assert not history.note(heartbeat(born_ms=6, sequence=8), 99.0)
    assert not history.note(heartbeat(born_ms=5, sequence=3), 99.0)
    assert history.note(heartbeat(born_ms=5, sequence=4), 99.0)


def heartbeat(target="t1", born_ms=5, sequence=1, state=TargetState.READY):
    """Return a heartbeat of a target."""
    return Heartbeat(target, ("127.0.0.1", 1), LEDGER, born_ms, sequence, state, 12)


@pytest.mark.parametrize("restarted", [False, True])
@cluster_test
async def test_target_that_starts_again_after_a_clock_jump_is_served(
    cluster, restarted
):
    """Guards against a target that is ignored because its start time has fallen."""
    caller_node, node, target = await start_pair(cluster)
    assert await target.send_leave(node) == 200
    if restarted:
        await cluster.close_node(node)
        node = await cluster.start_node_with(node.cfg)
        await cluster.until(node.store_sync.members_loaded.is_set)
    previous_born_ms, previous_sequence = target.born_ms, target.sequence
    target.born_ms, target.sequence = previous_born_ms - 2400, 0
    assert await target.send_heartbeat(node, "ready") == 200
    await cluster.until(lambda: node.target.accepting, 0.5)
    await cluster.wait_until_connected()
    assert (await Caller(caller_node).call("/look/1"))[0] == 200
    # A late report of the previous incarnation changes nothing.
    target.born_ms, target.sequence = previous_born_ms, previous_sequence
    assert await target.send_heartbeat(node, "ready") == 200
    current = node.target.status_tracker.current
    assert current.born_ms == previous_born_ms - 2400
    # The new incarnation drains.
    target.born_ms, target.sequence = previous_born_ms - 2400, 9
    assert await target.send_heartbeat(node, "draining") == 200
    await assert_gets_no_calls(cluster, caller_node, node, target)


@pytest.mark.parametrize("report", ["draining", "left"])
@cluster_test
async def test_drain_is_kept_though_the_start_time_has_fallen(cluster, report):
    """Guards against a drain that is acknowledged and dropped as late.

    The target has started again under the same id without a leave.
    """
    caller_node, node, target = await start_pair(cluster)
    previous_born_ms = target.born_ms
    target.born_ms -= 2400
    assert await target.send_heartbeat(node, "ready") == 200
    if report == "left":
        assert await target.send_leave(node) == 200
    else:
        assert await target.send_heartbeat(node, report) == 200
    target.healthy = False
    # Late reports of both incarnations.
    for born_ms in (target.born_ms, previous_born_ms):
        target.born_ms = born_ms
        assert await target.send_heartbeat(node, "ready") == 200
        await assert_gets_no_calls(cluster, caller_node, node, target)


@cluster_test
async def test_late_report_does_not_replace_a_stored_leave(cluster):
    """Guards against a leave that is lost by two restarts and a jump of the clock.

    The late report is of an earlier incarnation, whose start time is higher.
    """
    _, node, target = await start_pair(cluster)
    later_born_ms = target.born_ms + 2400
    assert await target.send_leave(node) == 200
    target.healthy = False
    await cluster.close_node(node)
    node = await cluster.start_node_with(node.cfg)
    await cluster.until(node.store_sync.members_loaded.is_set)
    target.born_ms = later_born_ms
    assert await target.send_heartbeat(node, "ready") == 200
    await asyncio.sleep(0.2)
    assert stored_state(cluster, node) == "left"
    assert not node.target.accepting


def test_earlier_incarnation_is_not_taken_for_a_new_one():
    """Guards against late reports of a target that has ended."""
    tracker = StatusTracker()
    ended = heartbeat(born_ms=5)
    assert tracker.accept(ended)
    assert tracker.accept(heartbeat(born_ms=9, state=TargetState.DRAINING))
    assert not tracker.accept(ended)
    assert not tracker.may_replace(ended, recent=False)
    # A target that goes on reporting has not ended.
    assert tracker.may_replace(ended, recent=True)
    # An incarnation that was never heard of may be a new one, unless it has left.
    assert tracker.may_replace(heartbeat(born_ms=3), recent=False)
    assert tracker.may_replace(heartbeat("t2", born_ms=3), recent=False)
    assert not tracker.accept_leave("t2", 3)
    assert not tracker.may_replace(heartbeat("t2", born_ms=3), recent=False)
    # The incarnation that has left stays so, recent or not.
    assert tracker.accept_leave("t1", 9)
    assert not tracker.may_replace(heartbeat(born_ms=9, sequence=9), recent=True)
    # While a target of the same id is ready, nothing needs to change.
    assert tracker.accept(heartbeat(born_ms=12))
    assert not tracker.may_replace(heartbeat(born_ms=2), recent=True)
