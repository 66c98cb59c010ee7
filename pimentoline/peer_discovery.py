"""pimentoline.peer_discovery: finds peers through the store and seed addresses."""

import asyncio
import time

from .errors import PimentolineError
from .events import RulesVersionReceived
from .gossip import running_peers
from .logs import log_entry
from .member_records import digests
from .messages import RulesRequest, SyncRequest

__all__ = ["PeerDiscovery"]

# Prefix of the keys of the nodes' rows. Each node writes its address to a row in the
# store, the platform's table service, so that other nodes can find it.
ROW_PREFIX = "node/"
# Interval at which a node rewrites its own row.
ROW_REFRESH_INTERVAL_S = 600.0
# Maximum time between checks of this node's row and its peers while a peer is running.
MAX_CHECK_INTERVAL_S = 30.0
# Rows older than this are ignored. A row stays valid if two successive refreshes fail.
MAX_ROW_AGE_S = 1800.0
# Number of peers that a node asks at the same time which members they know.
JOIN_GROUP_SIZE = 3
# Number of groups that a node asks in turn at boot before it starts without a reply.
MAX_JOIN_GROUPS = 3
# Before a node tries again to write its row or to find a peer, it waits for a random
# time between 0 and a bound. The bound is FIRST_BACKOFF_S for the first retry and
# doubles with each further one, up to MAX_BACKOFF_S. The random delay keeps nodes that
# start together from retrying at the same time.
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0


class PeerDiscovery:
    """Finds peers through rows of the store and the seed addresses in the settings.

    Parameters
    ----------
    node : Node
    """

    def __init__(self, node):
        self._node = node
        self._row_written_at = float("-inf")

    async def join(self):
        """Get the members and the rules version from peers and the store.

        Calls are rejected until the rules version is known, so it is safe to start
        without a reply.
        """
        node = self._node
        _, addrs = await asyncio.gather(
            node.publisher.load_from_store(), self._find_peers()
        )
        await self._synchronise_with(addrs)

    async def _synchronise_with(self, addrs):
        """Synchronise with one group of peers after the other until a peer replies.

        Up to `JOIN_GROUP_SIZE` seeds come first, then `addrs`, then the other seeds.
        """
        node = self._node
        seeds = [
            addr for addr in node.cfg.seeds if addr != node.state.identity.mesh_addr
        ]
        node.random.shuffle(seeds)
        peers = list(dict.fromkeys(seeds[:JOIN_GROUP_SIZE] + addrs + seeds))
        reply_count = 0
        for number in range(MAX_JOIN_GROUPS):
            group = peers[number * JOIN_GROUP_SIZE : (number + 1) * JOIN_GROUP_SIZE]
            request = SyncRequest(digests(node.state.mesh.members))
            replies = await asyncio.gather(
                *(node.send_request(addr, request) for addr in group)
            )
            reply_count = sum(reply is not None for reply in replies)
            if reply_count:
                await self._fetch_rules(group)
                break
        if node.store is None and (reply_count or not seeds):
            # Without a store, only peers can report a rules version. If they have
            # replied, or none is configured, version 0 (no rules yet) is confirmed. The
            # source of the version is "nobody" instead of the id of a peer.
            node.dispatch(
                RulesVersionReceived(node.clock(), 0, "nobody", confirmed=True)
            )

    async def _find_peers(self):
        """Write this node's row, then return the other nodes' addresses, shuffled.

        Each node writes its row before it reads the others. So if several nodes start
        together, all except perhaps the first to write find at least one other.
        """
        node = self._node
        if node.store is None:
            return []
        identity = node.state.identity
        row = {
            "addr": identity.mesh_addr,
            "region": identity.region,
            "incarnation": identity.incarnation,
            "time": time.time(),
        }
        try:
            await node.store.commit(puts=[(ROW_PREFIX + identity.node_id, row)])
            self._row_written_at = node.clock()
            rows = await node.store.scan(ROW_PREFIX)
        except PimentolineError as exc:
            node.metrics.count("store.failed")
            log_entry("store:unavailable", detail=exc.detail)
            return []
        addrs = [addr for addr in map(_addr_of, rows) if addr is not None]
        addrs = [addr for addr in addrs if addr != identity.mesh_addr]
        node.random.shuffle(addrs)
        return addrs

    async def _fetch_rules(self, group):
        """Request the highest known rules version from one peer after the other.

        Stop as soon as it is in force.
        """
        node = self._node
        for addr in group:
            rules = node.state.rules
            if rules.version >= rules.known_version:
                return
            await node.send_request(addr, RulesRequest(rules.known_version))

    async def run(self):
        """Refresh this node's row, and search for peers while none is running."""
        node = self._node
        backoff_s = FIRST_BACKOFF_S
        while True:
            isolated = not running_peers(node.state)
            # Without a store, there is no row to write.
            row_written = node.store is None or self._row_written_at > float("-inf")
            if row_written and not isolated:
                backoff_s = FIRST_BACKOFF_S
                await asyncio.sleep(
                    MAX_CHECK_INTERVAL_S * node.random.uniform(0.5, 1.0)
                )
            else:
                await asyncio.sleep(backoff_s * node.random.random())
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            addrs = []
            refresh_due = node.clock() - self._row_written_at > ROW_REFRESH_INTERVAL_S
            if node.store is not None and (
                refresh_due or not running_peers(node.state)
            ):
                addrs = await self._find_peers()
            if not running_peers(node.state):
                await self._synchronise_with(addrs)


def _addr_of(row):
    """Return the address in a node's row; None if the row is outdated or malformed."""
    try:
        ip, port = row.value["addr"]
        if time.time() - row.value["time"] < MAX_ROW_AGE_S:
            return str(ip), int(port)
    except (KeyError, TypeError, ValueError):
        pass
    return None
