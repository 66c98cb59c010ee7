"""pimentoline.version_poll: which nodes hold which rules version, asked on demand.

Member records name the version a node had when its record last changed; spreading a
record for every change of the rules would cost a message a node and change. The
operator's question is rare, so it pings every member instead.
"""

import asyncio

from .messages import Ping
from .rumours import running_peers

__all__ = ["VersionPoll"]

BATCH = 60
# Spreads the answers of 720 members over 0.6 s, so that they fit a receive buffer.
BATCH_GAP_S = 0.05
ANSWER_TIMEOUT_S = 0.5


class VersionPoll:
    """Collects the rules versions that the messages of the members carry.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node):
        self._node = node
        self._heard = {}
        self._answered = asyncio.Event()

    def note(self, message):
        """Record the version that a message's sender holds."""
        if message.sender in self._heard:
            self._heard[message.sender] = message.rules_version
            if None not in self._heard.values():
                self._answered.set()

    async def ask(self):
        """Ping every running member.

        Returns
        -------
        dict of str to (int or None)
            Version by node id, this node included; None without an answer.
        """
        node = self._node
        peers = running_peers(node.state)
        heard = self._heard = {peer.node_id: None for peer in peers}
        self._answered.clear()
        for start in range(0, len(peers), BATCH):
            addrs = [peer.addr for peer in peers[start : start + BATCH]]
            node.mesh.send(addrs, node.message(Ping(node.draw())))
            await asyncio.sleep(BATCH_GAP_S)
        if peers and None in heard.values():
            try:
                await asyncio.wait_for(self._answered.wait(), ANSWER_TIMEOUT_S)
            except asyncio.TimeoutError:
                pass
        return heard | {node.state.me.node_id: node.state.rules.version}
