"""pimentoline.routes: the targets of each service, filtered and ordered for routing.

Routes are derived from the members and the rules. They are cached in the state and
rebuilt only if these change, because filtering and ordering the targets for every call
would cost more CPU time than choosing one of them.
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
    """The targets of a service that run one version.

    All versions without a canary rule together form one `Release`.

    Parameters
    ----------
    share : float
        Share of the calls that a canary rule gives to the version; 1.0 without such a
        rule.
    rings : tuple of tuple of (Target, float)
        Targets and weights by locality: this data centre, this region, other regions.
        Rings without targets are left out.
    home_rings : int
        Number of rings in this node's region.
    """

    share: float
    rings: tuple
    home_rings: int


@dataclass(frozen=True, slots=True)
class Route:
    """Releases and rings of a service, and the data from which they were derived.

    The route is outdated if `source`, `node_counts` or `ruleset` changes.

    Parameters
    ----------
    source : tuple of Target
        Routable targets of the service.
    node_counts : NodeCounts
    ruleset : RuleSet
    up : frozenset of str
        Ids of the targets that are up.
    releases : tuple of Release
        The targets of this node's subset. Releases with a canary rule come first.
    reserve : tuple of (Target, float)
        Targets and weights outside the subset. They are used only if no target of the
        subset is healthy, because each use takes a connection that the subsets leave
        to other nodes.
    spill : SpillPolicy
    """

    source: tuple[Target, ...]
    node_counts: NodeCounts
    ruleset: RuleSet
    up: frozenset
    releases: tuple[Release, ...]
    reserve: tuple
    spill: SpillPolicy

    def target_ids(self):
        """Return the ids of the targets that this node may use."""
        rings = [ring for release in self.releases for ring in release.rings]
        rings.append(self.reserve)
        return [target.target_id for ring in rings for target, _ in ring]


@dataclass(frozen=True, slots=True)
class RoutePlan:
    """The routes of all services, and the data that all of them depend on.

    Parameters
    ----------
    members : Map of str to Member
        Members that the plan was derived from.
    node_counts : NodeCounts
        Number of nodes by location, from which the subsets of the targets follow.
    node_not_alive : frozenset of str
        Ids of the targets whose node is suspect, leaving or dead.
    routes : Map of str to Route
        By service.
    """

    members: Map
    node_counts: NodeCounts
    node_not_alive: frozenset
    routes: Map


def find_route(state, service, now):
    """Return the state and the route of a service, rebuilt if it is outdated.

    For a target that came up since the previous route of the service was built, the
    statistics record `now` as the beginning of its slow start.
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
    previous_up = route.up if route is not None else None
    route = _build_route(state, service, source, plan.node_counts)
    if previous_up is not None and route.up - previous_up:
        targets = state.traffic.targets
        for target_id in sorted(route.up - previous_up):
            stats = targets.get(target_id) or TargetStats()
            targets = targets.set(target_id, replace(stats, ready_at=now))
        state = replace(state, traffic=replace(state.traffic, targets=targets))
    return _with_route(state, service, route)


def _with_route(state, service, route):
    traffic = state.traffic
    plan = replace(traffic.plan, routes=traffic.plan.routes.set(service, route))
    return replace(state, traffic=replace(traffic, plan=plan)), route


def _with_plan(state):
    """Return the state with a new plan, and without statistics of removed targets."""
    members, traffic = state.mesh.members, state.traffic
    plan = traffic.plan
    node_counts = count_nodes(members, state.identity)
    node_not_alive = frozenset(
        target.target_id
        for record in members.values()
        if record.status is not MemberStatus.ALIVE
        for target in record.targets
    )
    if plan is None:
        plan = RoutePlan(members, node_counts, node_not_alive, Map())
    else:
        if plan.node_counts == node_counts:
            node_counts = plan.node_counts
        plan = replace(
            plan,
            members=members,
            node_counts=node_counts,
            node_not_alive=node_not_alive,
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


def _build_route(state, service, source, node_counts):
    ruleset = state.rules.ruleset
    by_id = {}
    for target in source:
        # Two nodes may announce the same target for a while. If one of them announces
        # it as draining, it gets no calls.
        other = by_id.get(target.target_id)
        if other is None or other.state is TargetState.UP:
            by_id[target.target_id] = target
    up = [target for target in by_id.values() if target.state is TargetState.UP]
    weights = {target.target_id: ruleset.target_weight(target) for target in up}
    usable = [target for target in up if weights[target.target_id] > 0.0]
    subset = choose_subset(usable, node_counts) if usable else []
    regions = ruleset.region_order(service, node_counts.location[0])
    # Shares and rings by version; the key None stands for all versions without a canary
    # rule.
    by_version = {}
    for target in subset:
        share = ruleset.canary_share(service, target.version)
        version = target.version if share is not None else None
        number = _ring_number(target, node_counts.location, regions)
        if number is not None:
            _, rings = by_version.setdefault(version, (share, {}))
            ring = rings.setdefault(number, [])
            ring.append((target, weights[target.target_id]))
    in_subset = {target.target_id for target in subset}
    reserve = tuple(
        (target, weights[target.target_id])
        for target in sorted(usable, key=lambda target: target.target_id)
        if target.target_id not in in_subset
        and _ring_number(target, node_counts.location, regions) is not None
    )
    releases = []
    for version in sorted(by_version, key=lambda version: (version is None, version)):
        share, rings = by_version[version]
        ordered = tuple(tuple(rings[number]) for number in sorted(rings))
        # Rings 0 and 1 are this data centre and the rest of this region.
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


def _ring_number(target, location, regions):
    """Return the number of a target's ring, or None if a rule excludes its region."""
    if (target.region, target.dc) == location:
        return 0
    if target.region == location[0]:
        return 1
    if regions is None:
        return 2
    return 2 + regions.index(target.region) if target.region in regions else None
