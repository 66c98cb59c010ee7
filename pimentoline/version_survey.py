"""pimentoline.version_survey: which rules version each node has in force."""

import asyncio

from .gossip import running_peers
from .messages import Gossip

__all__ = ["versions_in_force"]

# Member records do not name the present version, since 720 new records for each
# change would exceed the control-plane limit; an operator's question is rare.
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
        By node id; None for a node that did not answer within 5 s.
    """
    peers = running_peers(node.state)
    found = {record.node_id: None for record in peers}
    found[node.state.identity.node_id] = node.state.rules.version
    slots = asyncio.Semaphore(MAX_CONNECTIONS)

    async def ask(record):
        async with slots:
            # The envelope of every reply names the version of its sender.
            reply = await node.mesh.send_request(
                record.addr, node.make_message(Gossip(()))
            )
        if reply is not None and reply.sender == record.node_id:
            found[record.node_id] = reply.rules_version

    if peers:
        tasks = [asyncio.ensure_future(ask(record)) for record in peers]
        _, late = await asyncio.wait(tasks, timeout=QUERY_TIMEOUT_S)
        for task in late:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return found
