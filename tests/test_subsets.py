"""Assignment of subsets of targets to nodes, within the connection limits."""

from collections import Counter
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st
from immutables import Map

from pimentoline.model import Member, MemberStatus, Target
from pimentoline.subsets import choose_subset, connections_per_node, count_nodes

LOCATIONS = [(f"r{i // 2}", f"d{i}") for i in range(6)]
ADDR = ("127.0.0.1", 1)


def make_nodes(counts):
    """Return member records by node id, `counts[p]` of them at `LOCATIONS[p]`.

    A node id is `n`, the index of the location, a hyphen and a number.
    """
    ids_and_locations = [
        (f"n{p}-{i:03}", *LOCATIONS[p]) for p in range(6) for i in range(counts[p])
    ]
    return Map(
        {
            name: Member(name, name, ADDR, region, dc, 1)
            for name, region, dc in ids_and_locations
        }
    )


def make_targets(counts, connections=260):
    """Return targets, `counts[p]` of them at `LOCATIONS[p]`."""
    return [
        Target(f"t{p}-{i}", "svc", ADDR, *LOCATIONS[p], connections=connections)
        for p in range(6)
        for i in range(counts[p])
    ]


def all_subsets(nodes, targets):
    """Return the subset of every node by node id.

    `count_nodes` returns the number of nodes at each location, and the location of the
    given node with its rank there. `choose_subset` computes the node's subset from it.
    """
    return {
        record.node_id: choose_subset(targets, count_nodes(nodes, record))
        for record in nodes.values()
    }


def test_balanced_at_production_scale():
    """Guards against unevenly used targets, and targets used above their limit."""
    nodes, targets = make_nodes([120] * 6), make_targets([2, 2, 1, 1, 1, 1])
    subsets = all_subsets(nodes, targets)
    assert connections_per_node(targets, 720) == 2
    assert {len(subset) for subset in subsets.values()} == {2}
    nodes_per_target = Counter(
        t.target_id for subset in subsets.values() for t in subset
    )
    # 90 % of the connection limit of 260.
    assert max(nodes_per_target.values()) <= 234
    by_dc = {}
    for target in targets:
        by_dc.setdefault(target.dc, []).append(nodes_per_target[target.target_id])
    assert all(max(counts) - min(counts) <= 1 for counts in by_dc.values())
    # In the ids of nodes and data centres, character 1 is the index of the location.
    # A subset is sorted by target id, and only its first target is compared.
    nodes_with_near_target = [
        name for name, subset in subsets.items() if name[1] == subset[0].dc[1]
    ]
    assert len(nodes_with_near_target) > 60


def test_restart_changes_no_subset():
    """Guards against subsets that change while a node restarts.

    Its peers consider it dead until it is back.
    """
    nodes, targets = make_nodes([120] * 6), make_targets([2, 2, 1, 1, 1, 1])
    before = all_subsets(nodes, targets)
    # Incarnation 1 and sequence number 9: newer than the record that it replaces.
    dead = Member("n0-005", "n0-005", ADDR, *LOCATIONS[0], 1, 9, MemberStatus.DEAD)
    assert all_subsets(nodes.set("n0-005", dead), targets) == before


def test_node_without_its_own_record_gets_targets():
    """Guards against a division by zero while the node's own record is missing."""
    identity = SimpleNamespace(node_id="n1", region="r0", dc="d0")
    assert choose_subset(make_targets([3] + [0] * 5), count_nodes(Map(), identity))


@settings(derandomize=True, max_examples=80, deadline=None)
@given(
    st.lists(st.integers(0, 40), min_size=6, max_size=6),
    st.lists(st.integers(0, 4), min_size=6, max_size=6),
    st.integers(10, 60),
)
def test_every_shape_is_balanced(node_counts, target_counts, connections):
    """Guards against sizes at which a limit is exceeded or a node gets no target."""
    nodes, targets = make_nodes(node_counts), make_targets(target_counts, connections)
    if not nodes or not targets:
        return
    per_node = connections_per_node(targets, len(nodes))
    subsets = all_subsets(nodes, targets)
    nodes_per_target = Counter(
        t.target_id for subset in subsets.values() for t in subset
    )
    for subset in subsets.values():
        assert len(subset) == len({t.target_id for t in subset})
        assert len(subset) == min(per_node, len(targets))
    if per_node < len(targets):
        # A node gets at least 2 connections, even if the limits are too low for that.
        # All limits are then exceeded evenly.
        even_share = -(-len(nodes) * per_node // len(targets))
        assert max(nodes_per_target.values()) <= max(int(connections * 0.9), even_share)
        for location in range(6):
            counts = [
                nodes_per_target[f"t{location}-{i}"]
                for i in range(target_counts[location])
            ]
            assert not counts or max(counts) - min(counts) <= 1
