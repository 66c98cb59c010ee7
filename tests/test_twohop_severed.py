"""Tests of links between nodes that go silent without being closed."""

import time

from .test_twohop_path import DESK, LEDGER, Caller, cluster_test, config

# Bound of a change of the configuration on the users' platform, seconds.
CONFIG_LIMIT_S = 2.0


@cluster_test
async def test_calls_changes_and_drains_go_on_after_all_links_went_silent(cluster):
    """Guards against nodes that wait for answers on links that stay open but silent.

    No node learns of a change or a drain on the old links.
    """
    caller_node, _ = await cluster.add(DESK)
    draining_node, draining = await cluster.add(LEDGER)
    _, other = await cluster.add(LEDGER)
    await cluster.wait_until_connected()
    for node in cluster.nodes:
        for link in list(node.peers.incoming):
            link.data_received = lambda data: None
        for peer in node.peers.outgoing.values():
            peer.link.data_received = lambda data: None
    began_at = time.monotonic()
    cluster.store.put_config(config(7))
    assert await draining.send_heartbeat(draining_node, "draining") == 200
    await cluster.until(
        lambda: all(node.config.version == 7 for node in cluster.nodes),
        CONFIG_LIMIT_S,
    )
    statuses = []
    while not statuses or statuses[-1] != 200:
        number = len(statuses)
        status, _, _ = await Caller(caller_node).call(
            "/look/1", request_id=f"q{number}", head="X-Deadline-Ms: 800\r\n"
        )
        statuses.append(status)
        assert time.monotonic() - began_at < 4.0, statuses
    assert not draining.received
    assert len(other.received) == 1
