"""pimentoline.subsets: the targets of a service that this node keeps connections to.

Every node derives the same plan from the same members. The nodes of each data centre
together demand `nodes * share` connections, and the targets of each data centre
together supply `targets * limit`. Demand is met by the node's own data centre first,
then by its region, then by the others. Within one pair of data centres, the nodes take
consecutive stretches of a shared permutation of the targets, in the order of their
rank, so that every target gets the same number of nodes, give or take one.
"""

import hashlib
from dataclasses import dataclass

__all__ = ["NodeCounts", "choose_subset", "connections_per_node", "count_nodes"]

# The rest of the connection limit is left for probes and for nodes whose view of
# the membership differs.
USABLE_SHARE = 0.9
MIN_CONNECTIONS = 2


@dataclass(frozen=True, slots=True)
class NodeCounts:
    """Nodes by place, and this node's place and rank among the nodes there.

    Parameters
    ----------
    counts : tuple of ((str, str), int)
        Number of nodes of each (region, data centre), sorted.
    location : tuple of (str, str)
    rank : int
    """

    counts: tuple
    location: tuple[str, str]
    rank: int

    @property
    def nodes(self):
        """Number of nodes in total."""
        return sum(count for _, count in self.counts)


def count_nodes(members, me):
    """Return the `NodeCounts` of the members held.

    Dead members count as long as their record is held. A node that restarts
    therefore keeps its rank, and the subsets of the others do not move.
    """
    place = (me.region, me.dc)
    counts = {place: 0 if me.node_id in members else 1}
    rank = 0
    for record in members.values():
        where = (record.region, record.dc)
        counts[where] = counts.get(where, 0) + 1
        if where == place and record.node_id < me.node_id:
            rank += 1
    return NodeCounts(tuple(sorted(counts.items())), place, rank)


def connections_per_node(targets, nodes):
    """Return the number of connections that one node may keep to a service."""
    limit = min(target.connections for target in targets) * USABLE_SHARE
    return max(MIN_CONNECTIONS, int(limit * len(targets) / nodes))


def _permutation(targets):
    """Order targets by a hash that no node's view and no later target changes."""

    def key(target):
        name = f"{target.service}/{target.target_id}".encode()
        return hashlib.blake2b(name, digest_size=8).digest()

    return sorted(targets, key=key)


def _distance(place, other):
    if place == other:
        return 0
    return 1 if place[0] == other[0] else 2


def _flows(node_counts, sizes, share, limit):
    """Return the connections from each place of nodes to each place of targets.

    Parameters
    ----------
    node_counts : NodeCounts
    sizes : dict of (place: int)
        Number of targets in each place.
    share, limit : int
        Connections demanded by one node, and accepted by one target.

    Returns
    -------
    dict of ((node place, target place): int) or None
        None if meeting the nearest demand first leaves some demand unmet.
    """
    demand = {place: count * share for place, count in node_counts.counts}
    supply = {spot: size * limit for spot, size in sizes.items()}
    flows = {}
    for distance in range(3):
        for place, count in node_counts.counts:
            near = [
                spot for spot in sorted(sizes) if _distance(place, spot) == distance
            ]
            # A node uses a target once, however many connections that has left.
            room = {spot: min(supply[spot], count * sizes[spot]) for spot in near}
            offered = sum(room.values())
            wanted = min(demand[place], offered)
            # Rounded parts add up to the sum exactly if each place takes its part
            # of what the places before it have left.
            for spot in near:
                part = -(-wanted * room[spot] // offered) if offered else 0
                offered -= room[spot]
                wanted -= part
                supply[spot] -= part
                demand[place] -= part
                flows[place, spot] = part
    return None if any(demand.values()) else flows


def choose_subset(targets, node_counts):
    """Return the targets of one service that this node uses.

    Parameters
    ----------
    targets : sequence of Target
        At least one, all of the same service.
    node_counts : NodeCounts

    Returns
    -------
    list of Target
        Sorted by name; all of them unless the connection limit is too low.
    """
    share = connections_per_node(targets, node_counts.nodes)
    if share >= len(targets):
        return sorted(targets, key=lambda target: target.target_id)
    by_place = {}
    for target in _permutation(targets):
        by_place.setdefault((target.region, target.dc), []).append(target)
    sizes = {place: len(found) for place, found in by_place.items()}
    limit = int(min(target.connections for target in targets) * USABLE_SHARE)
    # The least share of 2 may exceed the limit; then it is exceeded evenly.
    limit = max(limit, -(-node_counts.nodes * share // len(targets)))
    flows = _flows(node_counts, sizes, share, limit)
    if flows is None:
        # Uneven places: balance over all targets counts more than nearness.
        by_place = {"all": [t for found in by_place.values() for t in found]}
        flows = {(place, "all"): count * share for place, count in node_counts.counts}
    chosen = []
    for spot, found in by_place.items():
        before = [
            place for place, _ in node_counts.counts if place < node_counts.location
        ]
        start = sum(flows[place, spot] for place in before)
        first, last = _positions(node_counts, flows, spot, list(by_place))
        for position in range(start + first, start + last):
            chosen.append(found[position % len(found)])
    return sorted(chosen, key=lambda target: target.target_id)


def _positions(node_counts, flows, spot, spots):
    """Return the part of its place's flow to a spot that falls to this node.

    Every node gets the whole quotient of each flow. The remainders are dealt out in
    turn over all spots, so that the nodes get equally many connections in total and
    no node gets two from one remainder.
    """
    count = dict(node_counts.counts)[node_counts.location]
    dealt = 0
    for other in spots:
        base, extra = divmod(flows[node_counts.location, other], count)
        if other == spot:
            break
        dealt += extra
    takers = {position % count for position in range(dealt, dealt + extra)}
    first = node_counts.rank * base + sum(rank < node_counts.rank for rank in takers)
    return first, first + base + (node_counts.rank in takers)
