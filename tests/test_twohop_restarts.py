"""The node's acknowledgement that its target leaves, and restarts of the node."""

import json

from pimentoline.twohop import store_sync
from pimentoline.twohop.store_sync import MEMBERS_TABLE

from .test_twohop_path import Caller, cluster_test, start_pair


async def stop(cluster, node):
    """Stop a node like SIGTERM does, and wait for its end."""
    node.stop()
    await node._stopped.wait()
    await cluster.close_node(node)


def stored_target(cluster, node):
    """Return what the row of a node says about its target."""
    return json.loads(cluster.store.rows[MEMBERS_TABLE, node.cfg.node][0])["target"]


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
        assert stored_target(cluster, node)["state"] == "left"
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


@cluster_test
async def test_node_that_starts_without_the_store_learns_the_members(cluster):
    """Guards against a node that places no calls, though peers connect to it."""
    caller_node, node, _ = await start_pair(cluster)
    cluster.store.down = True
    await cluster.close_node(caller_node)
    caller_node = await cluster.start_node_with(caller_node.cfg)
    await cluster.wait_until_connected_to(node)
    assert (await Caller(caller_node).call("/look/1"))[0] == 200
