"""pimentoline.version_survey: which rules version each node has in force."""

import asyncio

from .gossip import running_peers
from .messages import Gossip

__all__ = ["versions_in_force"]

# Timeout of all queries together.
QUERY_TIMEOUT_S = 5.0
MAX_CONCURRENT_QUERIES = 32


async def versions_in_force(node):
    """Query every running member for the rules version that it has in force.

    The version in a member record may be outdated, because a node does not renew its
    record when the rules change: in a mesh of 720 nodes, 720 new records would exceed
    the limit on control-plane traffic. Queries are cheaper, because operators make them
    rarely.

    Parameters
    ----------
    node : Node

    Returns
    -------
    dict of str to (int or None)
        By node id; None for a node that did not respond within 5 s.
    """
    peers = running_peers(node.state)
    versions = {record.node_id: None for record in peers}
    versions[node.state.identity.node_id] = node.state.rules.version
    limiter = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

    async def query(record):
        async with limiter:
            # Every message carries the rules version of its sender, so empty gossip is
            # enough as a query.
            response = await node.mesh.send_request(
                record.addr, node.make_message(Gossip(()))
            )
        if response is not None and response.sender == record.node_id:
            versions[record.node_id] = response.rules_version

    if peers:
        tasks = [asyncio.ensure_future(query(record)) for record in peers]
        _, unfinished = await asyncio.wait(tasks, timeout=QUERY_TIMEOUT_S)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return versions
