"""Tests of how nodes follow the store's tables when responses are missing or odd."""

import asyncio
import socket
import time
from itertools import pairwise

import pytest

from pimentoline.twohop.watch_schedule import MAX_WAIT_S, wait_s

from .test_twohop_path import cluster_test, config

# The time without disruption after which a change must be in force again, seconds.
STABLE_S = 3.0


@cluster_test
async def test_change_is_in_force_in_time_after_all_watches_went_silent(cluster):
    """Guards against watches that all end together, long after they went silent."""
    nodes = [(await cluster.add(ready=False))[0] for _ in range(3)]
    await cluster.until(lambda: all(len(node.peers.members) == 3 for node in nodes))
    cluster.store.put_config(config(2))
    await cluster.until(lambda: all(node.config.version == 2 for node in nodes))
    # Each node has read the change and waits for the next one.
    await asyncio.sleep(0.1)
    cluster.store.silence_feeds()
    silent_at = time.monotonic()
    cluster.store.put_config(config(3))
    await cluster.until(lambda: all(node.config.version == 3 for node in nodes), 20.0)
    assert time.monotonic() - silent_at < STABLE_S


@pytest.mark.parametrize("nodes", [1, 2, 3, 14, 16, 85, 720])
def test_watches_end_one_after_the_other_after_a_change(nodes):
    """Guards against a long time in which no watch of any node ends."""
    period_s = wait_s(0, nodes, False)
    first_ends = [wait_s(rank, nodes, True) for rank in range(nodes)]
    ends = sorted([0.0, *first_ends, *(end + period_s for end in first_ends)])
    assert max(later - earlier for earlier, later in pairwise(ends)) <= 1.2 + 1e-9
    assert period_s <= MAX_WAIT_S


@cluster_test
async def test_silent_connection_to_the_store_is_closed_in_time(cluster):
    """Guards against a watch that waits on a dead connection until its wait ends."""
    node, _ = await cluster.add(ready=False)
    conn = await node.pool.acquire(cluster.store.addr, True)
    sock = conn.stream.socket
    assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    tcp = socket.IPPROTO_TCP
    probe_s = sock.getsockopt(tcp, socket.TCP_KEEPIDLE) + sock.getsockopt(
        tcp, socket.TCP_KEEPINTVL
    ) * sock.getsockopt(tcp, socket.TCP_KEEPCNT)
    user_timeout_ms = sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
    conn.close()
    assert probe_s < STABLE_S
    assert 0 < user_timeout_ms < STABLE_S * 1000
