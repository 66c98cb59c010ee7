"""Tests of targets that limit their rate of requests or announce that they leave."""

import asyncio
import time

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pimentoline.twohop.rate_limit import RateLimit
from pimentoline.twohop.target_status import Heartbeat, TargetState

from .test_twohop_path import DESK, LEDGER, Caller, cluster_test, start_pair

# A target may get this many times the rate it named, and a few requests more, in every
# period of this length, once the limit has been known for `STABLE_S`.
MAX_RATE_RATIO = 1.5
MAX_EXTRA_REQUESTS = 5
PERIOD_S = 4.0
STABLE_S = 3.0


async def send_load(nodes, per_s, duration_s):
    """Send lookups to the nodes in turn at a steady rate; return their statuses."""

    async def call(node, number):
        caller = Caller(node)
        status, _, _ = await caller.call("/look/1", request_id=f"q{number}")
        caller.close()
        return status

    calls = []
    end = time.monotonic() + duration_s
    while time.monotonic() < end:
        number = len(calls)
        calls.append(asyncio.create_task(call(nodes[number % len(nodes)], number)))
        await asyncio.sleep(1.0 / per_s)
    return await asyncio.gather(*calls)


def most_requests(target, since):
    """Return the most requests that a target received in `PERIOD_S` after `since`."""
    times = [request.at for request in target.received if request.at >= since]
    return max(
        (sum(start <= at < start + PERIOD_S for at in times) for start in times),
        default=0,
    )


@cluster_test
async def test_target_gets_no_more_than_the_rate_it_named(cluster):
    """Guards against calls beyond the rate that a target names in its responses."""
    caller_node, _ = await cluster.add(DESK)
    limited_node, limited = await cluster.add(LEDGER)
    _, other = await cluster.add(LEDGER)
    await cluster.wait_until_connected()
    per_s = 8.0

    async def respond(request, writer):
        await limited.respond(request, writer, Server_Limit=f"{per_s:.1f}")

    limited.serve = respond
    limited.delay_s, other.delay_s = 0.02, 0.2
    began_at = time.monotonic()
    statuses = await send_load([caller_node, limited_node], 40, STABLE_S + PERIOD_S + 1)
    allowed = PERIOD_S * per_s * MAX_RATE_RATIO + MAX_EXTRA_REQUESTS
    assert most_requests(limited, began_at + STABLE_S) <= allowed
    # The other target is slower and has room for the rest.
    assert statuses.count(200) >= 0.98 * len(statuses)


@cluster_test
async def test_rate_limit_ends_when_responses_no_longer_name_it(cluster):
    """Guards against a limit that outlasts its target's need, or an odd one."""
    caller_node, node, target = await start_pair(cluster)
    caller = Caller(caller_node)
    headers = {}

    async def respond(request, writer):
        await target.respond(request, writer, **headers)

    target.serve = respond
    for number, (text, rate_per_s) in enumerate(
        [
            ("12.5", 12.5),
            ("odd", 12.5),
            ("nan", 12.5),
            ("-1", 12.5),
            ("1e999", 12.5),
            ("7", 7.0),
            (None, None),
        ]
    ):
        headers = {} if text is None else {"Server_Limit": text}
        status, received, _ = await caller.call("/look/1", request_id=f"q{number}")
        assert status == 200
        assert received.get("server-limit") == text
        assert node.target.admission.rate_limit.rate_per_s == rate_per_s


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(
    st.floats(0.0, 200.0),
    st.lists(st.floats(0.0, 1.5), min_size=1, max_size=300),
)
def test_starts_stay_within_the_rate_in_every_period(per_s, pauses):
    """Guards against bursts beyond what the target allows in some period."""
    limit = RateLimit()
    limit.set_rate(per_s, 100.0)
    now, starts = 100.0, []
    for pause_s in pauses:
        now += pause_s
        while limit.wait_s(now) <= 0.0:
            starts.append(now)
            limit.note_start(now)
    allowed = PERIOD_S * per_s * MAX_RATE_RATIO + MAX_EXTRA_REQUESTS
    for first in starts:
        assert sum(first <= at < first + PERIOD_S for at in starts) <= allowed


def test_wait_for_the_rate_counts_the_calls_ahead():
    """Guards against an expected wait that leaves out the calls that wait already."""
    limit = RateLimit()
    assert limit.wait_s(5.0, ahead=9) == 0.0
    limit.set_rate(10.0, 5.0)
    limit.note_start(5.0)
    assert limit.wait_s(5.0, ahead=2) == pytest.approx(0.3)
    limit.set_rate(None, 5.0)
    assert limit.wait_s(5.0) == 0.0


@cluster_test
async def test_target_whose_response_says_that_it_leaves_gets_no_new_calls(cluster):
    """Guards against calls to a target that announces its leaving only in responses."""
    caller_node, node, leaving = await start_pair(cluster)
    caller = Caller(caller_node)

    async def respond(request, writer):
        await leaving.respond(request, writer, Server_Leaving="1")

    leaving.serve = respond
    status, headers, _ = await caller.call("/look/1", request_id="q1")
    assert (status, headers["server-leaving"]) == (200, "1")
    # A late heartbeat does not undo it.
    await leaving.send_heartbeat(node, "ready")
    for number in range(5):
        status, _, _ = await caller.call("/look/1", request_id=f"later-{number}")
        assert status == 503
    assert [request.request_id for request in leaving.received] == ["q1"]
    # Neither does a restart of the target's node.
    row = ("members", node.cfg.node)
    await cluster.until(lambda: b"draining" in cluster.store.rows[row][0])
    await cluster.close_node(node)
    restarted = await cluster.start_node_with(node.cfg)
    await cluster.until(restarted.store_sync.members_loaded.is_set)
    await leaving.send_heartbeat(restarted, "ready")
    peer = caller_node.peers.outgoing[node.cfg.node]
    await cluster.until(lambda: peer.candidate.reachable)
    status, _, _ = await caller.call("/look/1", request_id="last")
    assert status == 503
    assert [request.request_id for request in leaving.received] == ["q1"]


@cluster_test
async def test_late_response_of_a_replaced_target_does_not_drain_the_new_one(cluster):
    """Guards against a new target that is taken to leave like the one before."""
    caller_node, node, old = await start_pair(cluster)
    release = asyncio.Event()

    async def respond(request, writer):
        await release.wait()
        await old.respond(request, writer, Server_Leaving="1")

    old.serve = respond
    call = asyncio.create_task(Caller(caller_node).call("/look/1"))
    await cluster.until(lambda: old.received)
    # The new target reports before the old one has responded.
    status = node.target.status_tracker.current
    heartbeat = Heartbeat(
        "i-new", old.addr, LEDGER, status.born_ms + 1, 1, TargetState.READY, 12
    )
    assert node.target.handle_heartbeat(heartbeat)
    release.set()
    assert (await call)[0] == 200
    assert node.target.accepting
