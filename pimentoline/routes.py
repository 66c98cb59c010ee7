"""pimentoline.routes: the targets of each service, as routing needs them.

A route is derived from members and rules. It is kept in the state and made again only
if they change, because ordering and filtering at every call would cost more than the
choice itself.
"""

from dataclasses import dataclass

from immutables import Map

from .fast_replace import replace
from .model import MemberStatus, Target, TargetState, TargetStats
from .rules import RuleSet, SpillPolicy
from .subsets import NodeCounts, choose_subset, count_nodes

__all__ = ["Release", "Route", "RoutePlan", "find_route"]


@dataclass(frozen=True, slots=True)
class Release:
    """The targets that a share of a service's calls goes to.

    Parameters
    ----------
    share : float
        Part of the calls, by a canary rule; 1.0 for the targets without one.
    rings : tuple of tuple of (Target, float)
        Targets and weights: own data centre, own region, other regions. Rings
        without targets are left out.
    home_rings : int
        Number of rings in this node's region.
    """

    share: float
    rings: tuple
    home_rings: int


@dataclass(frozen=True, slots=True)
class Route:
    """Releases and rings of a service, and what they were derived from.

    `reserve` holds the targets and weights outside this node's subset. They are used
    only if no target of the subset is healthy, because each use takes a connection
    that the subsets leave to other nodes.
    """

    source: tuple[Target, ...]
    node_counts: NodeCounts
    ruleset: RuleSet
    up: frozenset
    releases: tuple[Release, ...]
    reserve: tuple
    spill: SpillPolicy

    def target_ids(self):
        """Return the names of the targets that this node may use."""
        rings = [ring for release in self.releases for ring in release.rings]
        rings.append(self.reserve)
        return [target.target_id for ring in rings for target, _ in ring]


@dataclass(frozen=True, slots=True)
class RoutePlan:
    """All routes, and what is common to them.

    `unconfirmed` names the targets whose node is suspect, leaving or dead.
    """

    members: Map
    node_counts: NodeCounts
    unconfirmed: frozenset
    routes: Map


def find_route(state, service, now):
    """Return the state, and the route of a service, made again if it is outdated.

    A target that comes up while the service is known starts slowly, so its
    statistics get the time.
    """
    plan = state.traffic.plan
    if plan is None or plan.members is not state.mesh.members:
        state = _with_plan(state)
        plan = state.traffic.plan
    route = plan.routes.get(service)
    source = state.mesh.by_service.get(service, ())
    ruleset = state.rules.ruleset
    if (
        route is not None
        and route.node_counts is plan.node_counts
        and route.ruleset is ruleset
    ):
        if route.source is source:
            return state, route
        if route.source == source:
            return _with_route(state, service, replace(route, source=source))
    known = route.up if route is not None else None
    route = _make_route(state, service, source, plan.node_counts)
    if known is not None and route.up - known:
        targets = state.traffic.targets
        for target_id in sorted(route.up - known):
            stats = targets.get(target_id) or TargetStats()
            targets = targets.set(target_id, replace(stats, ready_at=now))
        state = replace(state, traffic=replace(state.traffic, targets=targets))
    return _with_route(state, service, route)


def _with_route(state, service, route):
    traffic = state.traffic
    plan = replace(traffic.plan, routes=traffic.plan.routes.set(service, route))
    return replace(state, traffic=replace(traffic, plan=plan)), route


def _with_plan(state):
    """Return the state with a new plan, and without statistics of past targets."""
    members, traffic = state.mesh.members, state.traffic
    plan = traffic.plan
    node_counts = count_nodes(members, state.identity)
    unconfirmed = frozenset(
        target.target_id
        for record in members.values()
        if record.status is not MemberStatus.ALIVE
        for target in record.targets
    )
    if plan is None:
        plan = RoutePlan(members, node_counts, unconfirmed, Map())
    else:
        if plan.node_counts == node_counts:
            node_counts = plan.node_counts
        plan = replace(
            plan, members=members, node_counts=node_counts, unconfirmed=unconfirmed
        )
    present = {
        target.target_id
        for targets in state.mesh.by_service.values()
        for target in targets
    }
    targets = traffic.targets
    for target_id, stats in traffic.targets.items():
        if target_id not in present and not stats.inflight:
            targets = targets.delete(target_id)
    return replace(state, traffic=replace(traffic, plan=plan, targets=targets))


def _make_route(state, service, source, node_counts):
    ruleset = state.rules.ruleset
    by_id = {}
    for target in source:
        # Two nodes may name the same target for a while; if one of them says that
        # it drains, it gets no calls.
        held = by_id.get(target.target_id)
        if held is None or held.state is TargetState.UP:
            by_id[target.target_id] = target
    up = [target for target in by_id.values() if target.state is TargetState.UP]
    weights = {target.target_id: ruleset.target_weight(target) for target in up}
    usable = [target for target in up if weights[target.target_id] > 0.0]
    subset = choose_subset(usable, node_counts) if usable else []
    order = ruleset.region_order(service, node_counts.location[0])
    by_release = {}
    for target in subset:
        share = ruleset.canary_share(service, target.version)
        name = target.version if share is not None else None
        number = _ring_number(target, node_counts.location, order)
        if number is not None:
            _, rings = by_release.setdefault(name, (share, {}))
            found = rings.setdefault(number, [])
            found.append((target, weights[target.target_id]))
    used = {target.target_id for target in subset}
    reserve = tuple(
        (target, weights[target.target_id])
        for target in sorted(usable, key=lambda target: target.target_id)
        if target.target_id not in used
        and _ring_number(target, node_counts.location, order) is not None
    )
    releases = []
    for name in sorted(by_release, key=lambda name: (name is None, name)):
        share, rings = by_release[name]
        ordered = tuple(tuple(rings[number]) for number in sorted(rings))
        home_rings = sum(number < 2 for number in rings)
        releases.append(Release(1.0 if share is None else share, ordered, home_rings))
    return Route(
        source,
        node_counts,
        ruleset,
        frozenset(weights),
        tuple(releases),
        reserve,
        ruleset.spill_policy(service),
    )


def _ring_number(target, place, order):
    """Return the ring of a target, or None if a rule leaves its region out."""
    if (target.region, target.dc) == place:
        return 0
    if target.region == place[0]:
        return 1
    if order is None:
        return 2
    return 2 + order.index(target.region) if target.region in order else None
