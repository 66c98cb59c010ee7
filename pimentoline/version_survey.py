"""pimentoline.version_survey: which rules version each node has in force."""

import asyncio

from .gossip import running_peers
from .messages import Gossip

__all__ = ["versions_in_force"]

# Each node is queried, because member records do not hold the version in force: with
# 720 nodes, as many new records for each change of the rules would exceed the limit of
# mesh traffic. Operators ask for the versions rarely.
QUERY_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 32


async def versions_in_force(node):
    """Ask every running member which rules version it has in force.

    Parameters
    ----------
    node : Node

    Returns
    -------
    dict of str to (int or None)
        By node id; None for a node that did not reply within 5 s.
    """
    peers = running_peers(node.state)
    found = {record.node_id: None for record in peers}
    found[node.state.identity.node_id] = node.state.rules.version
    limiter = asyncio.Semaphore(MAX_CONNECTIONS)

    async def query(record):
        async with limiter:
            # The reply names the version of its sender, whatever it is about.
            reply = await node.mesh.send_request(
                record.addr, node.make_message(Gossip(()))
            )
        if reply is not None and reply.sender == record.node_id:
            found[record.node_id] = reply.rules_version

    if peers:
        tasks = [asyncio.ensure_future(query(record)) for record in peers]
        _, unfinished = await asyncio.wait(tasks, timeout=QUERY_TIMEOUT_S)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return found
