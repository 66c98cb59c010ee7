"""pimentoline.peer_discovery: how a node finds its peers by the store and seeds."""

import asyncio
import time

from .errors import PimentolineError
from .events import RulesVersionReceived
from .gossip import running_peers
from .logs import log_entry
from .member_records import digests
from .messages import RulesRequest, SyncRequest

__all__ = ["PeerDiscovery"]

PREFIX = "node/"
REFRESH_S = 600.0
CHECK_S = 30.0
# A row outlives two refreshes that fail.
MAX_AGE_S = 1800.0
JOIN_PEERS = 3
# Peers that are asked at boot before the node goes on without an answer.
JOIN_ROUNDS = 3
# The first repetition after a failure is drawn from 0 to 1 s and the range doubles, so
# that many nodes that start together do not repeat together.
BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0


class PeerDiscovery:
    """The row of a node in the store, and the search for peers.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node):
        self._node = node
        self._written_at = float("-inf")

    async def join(self):
        """Ask several peers and the store for members and for the rules version.

        Calls are refused until an answer has come, so it is safe to go on without one.
        """
        node = self._node
        _, found = await asyncio.gather(
            node.publisher.load_from_store(), self._find_peers()
        )
        await self._ask_some(found)

    async def _ask_some(self, found):
        """Ask seeds and other peers in groups until one group has answered."""
        node = self._node
        seeds = [
            addr for addr in node.cfg.seeds if addr != node.state.identity.mesh_addr
        ]
        node.random.shuffle(seeds)
        peers = list(dict.fromkeys(seeds[:JOIN_PEERS] + found + seeds))
        answered = 0
        for turn in range(JOIN_ROUNDS):
            group = peers[turn * JOIN_PEERS : (turn + 1) * JOIN_PEERS]
            request = SyncRequest(digests(node.state.mesh.members))
            bodies = await asyncio.gather(
                *(node.send_request(addr, request) for addr in group)
            )
            answered = sum(body is not None for body in bodies)
            if answered:
                await self._take_rules(group)
                break
        if node.store is None and (answered or not seeds):
            # Without a store, nobody else can know of a version.
            node.dispatch(
                RulesVersionReceived(node.clock(), 0, "nobody", confirmed=True)
            )

    async def _find_peers(self):
        """Write the own row, then return the other rows' addresses, shuffled.

        Written first, it is seen by every node that reads later: of nodes that start
        together, each but the first to write finds at least one other.
        """
        node = self._node
        if node.store is None:
            return []
        me = node.state.identity
        row = {
            "addr": me.mesh_addr,
            "region": me.region,
            "incarnation": me.incarnation,
            "time": time.time(),
        }
        try:
            await node.store.commit(puts=[(PREFIX + me.node_id, row)])
            self._written_at = node.clock()
            rows = await node.store.scan(PREFIX)
        except PimentolineError as exc:
            node.metrics.count("store.failed")
            log_entry("store:unavailable", detail=exc.detail)
            return []
        found = [addr for addr in map(_addr_of, rows) if addr is not None]
        found = [addr for addr in found if addr != me.mesh_addr]
        node.random.shuffle(found)
        return found

    async def _take_rules(self, group):
        """Fetch the highest version that the group has named."""
        node = self._node
        for addr in group:
            rules = node.state.rules
            if rules.version >= rules.known_version:
                return
            await node.send_request(addr, RulesRequest(rules.known_version))

    async def run(self):
        """Refresh the own row, and search for peers while none is known."""
        node = self._node
        backoff_s = BACKOFF_S
        while True:
            has_no_peers = not running_peers(node.state)
            written = node.store is None or self._written_at > float("-inf")
            if written and not has_no_peers:
                backoff_s = BACKOFF_S
                await asyncio.sleep(CHECK_S * node.random.uniform(0.5, 1.0))
            else:
                await asyncio.sleep(backoff_s * node.random.random())
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            found = []
            due = node.clock() - self._written_at > REFRESH_S
            if node.store is not None and (due or not running_peers(node.state)):
                found = await self._find_peers()
            if not running_peers(node.state):
                await self._ask_some(found)


def _addr_of(row):
    """Return the address in a directory row, or None if it is old or malformed."""
    try:
        ip, port = row.value["addr"]
        if time.time() - row.value["time"] < MAX_AGE_S:
            return str(ip), int(port)
    except (KeyError, TypeError, ValueError):
        pass
    return None
