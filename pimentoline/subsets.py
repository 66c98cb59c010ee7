"""pimentoline.subsets: the targets of a service that this node keeps connections to.

The nodes are the members of a mesh. Every node derives the same assignment of targets
to nodes from the same member records. Each node demands `per_node` connections, and
each target accepts `limit` connections. Demand is met by targets in the same data
centre first, then in the same region, then elsewhere. The targets of a data centre have
the same pseudorandom order at all nodes. The nodes that use this data centre, sorted by
location and id, take consecutive sections of this order and continue at its start when
they reach its end. So the number of nodes per target varies by at most one within the
data centre.
"""

import hashlib
from dataclasses import dataclass

__all__ = ["NodeCounts", "choose_subset", "connections_per_node", "count_nodes"]

# Fraction of a target's connection limit that the subsets use. The rest is left for
# probes and for nodes whose member records differ.
USABLE_FRACTION = 0.9
MIN_CONNECTIONS_PER_NODE = 2


@dataclass(frozen=True, slots=True)
class NodeCounts:
    """Number of nodes by location, and this node's location and rank there.

    Parameters
    ----------
    counts : tuple of ((str, str), int)
        Number of nodes of each (region, data centre), sorted.
    location : tuple of (str, str)
        Region and data centre of this node.
    rank : int
        Number of nodes at the same location whose ids sort before this node's.
    """

    counts: tuple
    location: tuple[str, str]
    rank: int

    @property
    def nodes(self):
        """Number of nodes at all locations."""
        return sum(count for _, count in self.counts)


def count_nodes(members, identity):
    """Return the `NodeCounts` of the known members.

    Dead members count until their record is removed, so a node that restarts keeps
    its rank and the subsets of the other nodes do not change.
    """
    location = (identity.region, identity.dc)
    counts = {location: 0 if identity.node_id in members else 1}
    rank = 0
    for record in members.values():
        record_location = (record.region, record.dc)
        counts[record_location] = counts.get(record_location, 0) + 1
        if record_location == location and record.node_id < identity.node_id:
            rank += 1
    return NodeCounts(tuple(sorted(counts.items())), location, rank)


def connections_per_node(targets, node_count):
    """Return the number of connections that one node may keep to a service.

    Parameters
    ----------
    targets : sequence of Target
        All targets of the service, at least one. The attribute `connections` is the
        number that a target accepts from all nodes.
    node_count : int
        Number of nodes of the mesh.

    Returns
    -------
    int
    """
    limit = min(target.connections for target in targets) * USABLE_FRACTION
    return max(MIN_CONNECTIONS_PER_NODE, int(limit * len(targets) / node_count))


def _permutation(targets):
    """Return the targets in the order of a hash of their ids.

    The order is the same at every node, and adding or removing a target does not
    change the order of the others.
    """

    def key(target):
        name = f"{target.service}/{target.target_id}".encode()
        return hashlib.blake2b(name, digest_size=8).digest()

    return sorted(targets, key=key)


def _distance(location, other):
    """Return 0 within a data centre, 1 within a region, 2 between regions."""
    if location == other:
        return 0
    return 1 if location[0] == other[0] else 2


def _flows(node_counts, sizes, per_node, limit):
    """Return the number of connections from each node location to each target location.

    Parameters
    ----------
    node_counts : NodeCounts
    sizes : dict of location to int
        Number of targets at each location.
    per_node, limit : int
        Connections demanded by one node, and accepted by one target.

    Returns
    -------
    dict of (node location, target location) to int, or None
        None if this greedy assignment, nearest locations first, leaves demand unmet.
    """
    demand = {location: count * per_node for location, count in node_counts.counts}
    supply = {target_location: size * limit for target_location, size in sizes.items()}
    flows = {}
    for distance in range(3):
        for location, count in node_counts.counts:
            at_distance = [
                target_location
                for target_location in sorted(sizes)
                if _distance(location, target_location) == distance
            ]
            # A node connects to a target at most once, however many connections the
            # target could still accept.
            capacity = {
                target_location: min(
                    supply[target_location], count * sizes[target_location]
                )
                for target_location in at_distance
            }
            offered = sum(capacity.values())
            wanted = min(demand[location], offered)
            # Divide the demand in proportion to the capacity. Each part is rounded up
            # and computed from the demand and capacity that remain, so that the parts
            # add up exactly.
            for target_location in at_distance:
                part = (
                    -(-wanted * capacity[target_location] // offered) if offered else 0
                )
                offered -= capacity[target_location]
                wanted -= part
                supply[target_location] -= part
                demand[location] -= part
                flows[location, target_location] = part
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
        Sorted by id; all targets if the connection limits allow it.
    """
    per_node = connections_per_node(targets, node_counts.nodes)
    if per_node >= len(targets):
        return sorted(targets, key=lambda target: target.target_id)
    by_location = {}
    for target in _permutation(targets):
        by_location.setdefault((target.region, target.dc), []).append(target)
    sizes = {location: len(group) for location, group in by_location.items()}
    limit = int(min(target.connections for target in targets) * USABLE_FRACTION)
    # With at least 2 connections for each node, the demand may exceed the sum of the
    # limits. In that case, all limits are exceeded evenly.
    limit = max(limit, -(-node_counts.nodes * per_node // len(targets)))
    flows = _flows(node_counts, sizes, per_node, limit)
    if flows is None:
        # Nodes and targets are too unevenly distributed: treat all targets as one
        # location, since balance matters more than distance.
        by_location = {"all": [t for group in by_location.values() for t in group]}
        flows = {
            (location, "all"): count * per_node
            for location, count in node_counts.counts
        }
    chosen = []
    for target_location, group in by_location.items():
        # The connections of all nodes to this target location are numbered, sorted by
        # the location and rank of the node, and connection i goes to target
        # i % len(group). `start` is the number of the first connection from this node's
        # location; `first` and `end` count from there.
        earlier_locations = [
            location
            for location, _ in node_counts.counts
            if location < node_counts.location
        ]
        start = sum(flows[location, target_location] for location in earlier_locations)
        first, end = _node_range(node_counts, flows, target_location, list(by_location))
        for position in range(start + first, start + end):
            chosen.append(group[position % len(group)])
    return sorted(chosen, key=lambda target: target.target_id)


def _node_range(node_counts, flows, target_location, target_locations):
    """Return the half-open range of this node's connections to a target location.

    The connections from this node's location to the target location are numbered from
    0. For each target location, the number of these connections, its flow, is divided
    by the number of nodes at this node's location. Every one of these nodes gets the
    quotient. The remainders are assigned to them round-robin, continuing from one
    target location to the next, so that each node gets the same total number of
    connections and no node gets two from one remainder.
    """
    count = dict(node_counts.counts)[node_counts.location]
    assigned = 0
    for other in target_locations:
        quotient, remainder = divmod(flows[node_counts.location, other], count)
        if other == target_location:
            break
        assigned += remainder
    extra_ranks = {
        position % count for position in range(assigned, assigned + remainder)
    }
    first = node_counts.rank * quotient + sum(
        rank < node_counts.rank for rank in extra_ranks
    )
    return first, first + quotient + (node_counts.rank in extra_ranks)
