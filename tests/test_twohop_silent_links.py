"""Tests of calls whose link to the target's node is silent for a moment."""

import asyncio

import pytest

from .test_twohop_path import LEDGER, Caller, cluster_test, config, start_pair

RUN_S = 1.2
# Longer than a link may be silent before its calls may be sent elsewhere, and shorter
# than a link that is closed.
SILENCE_S = 0.7


async def silence(node, duration_s):
    """Let a node read nothing from its peers for some time."""
    links = list(node.peers.incoming)
    for link in links:
        link._transport.pause_reading()
    await asyncio.sleep(duration_s)
    for link in links:
        if not link.closed:
            link._transport.resume_reading()


async def start_silent_run(cluster, run_s=RUN_S):
    """Start a lookup at one of two targets, and silence the link to it.

    Return the tasks of the lookup and of the silence, the target, the other node and
    its target.
    """
    caller_node, node, target = await start_pair(cluster)
    cluster.store.put_config(config(2, timeout="3000ms"))
    await cluster.until(lambda: all(n.config.version == 2 for n in cluster.nodes))
    target.delay_s = run_s
    call = asyncio.ensure_future(Caller(caller_node).call("/look/1"))
    await cluster.until(lambda: target.running)
    other_node, other = await cluster.add(LEDGER)
    await cluster.wait_until_connected()
    silent = asyncio.ensure_future(silence(node, SILENCE_S))
    return call, silent, target, other_node, other


@pytest.mark.parametrize("refused_by", ["node", "target"])
@cluster_test
async def test_run_is_not_cut_when_its_link_is_silent_and_others_refuse(
    cluster, refused_by
):
    """Guards against a 502 for a run that goes on, after a silence without a fault."""
    call, silent, target, other_node, other = await start_silent_run(cluster)
    if refused_by == "node":
        # Peers learn of it with the refusal only.
        other_node.target.stopping = True
    else:

        async def refuse(request, writer):
            other.write_response(
                request, writer, b"", "503 Service Unavailable", X_Not_Executed="1"
            )

        other.serve = refuse
    status, _, body = await call
    await silent
    assert (status, body) == (200, b"whole answer")
    assert [request.disconnected for request in target.received] == [False]


@cluster_test
async def test_response_of_a_silent_link_is_used_when_it_comes_first(cluster):
    """Guards against a response that is discarded, because its link was silent."""
    call, silent, target, _, other = await start_silent_run(cluster)
    other.delay_s = 10.0
    status, _, _ = await call
    await silent
    assert status == 200
    assert [request.disconnected for request in target.received] == [False]
    await cluster.until(lambda: other.received and other.received[0].disconnected)


@cluster_test
async def test_lookup_is_answered_elsewhere_while_its_link_is_silent(cluster):
    """Guards against lookups that wait for a silent link, and against idle runs."""
    call, silent, target, _, other = await start_silent_run(cluster, 2.5)
    status, _, _ = await call
    assert status == 200 and not silent.done()
    assert len(other.received) == 1
    await silent
    await cluster.until(lambda: target.received[0].disconnected)
