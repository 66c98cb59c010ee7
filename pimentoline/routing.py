"""pimentoline.routing: choice of a target for each attempt.

The targets of a service form locality rings around this node: its data centre, its
region, other regions. Calls go to the innermost ring with healthy targets. If its load
exceeds the threshold of the spill rule, a part of the calls spills to the next ring.
"""

from dataclasses import dataclass

from . import outliers
from .draws import fraction, mix
from .fast_replace import replace
from .model import ServiceStats, Target, TargetStats
from .policies import get_policy_by_name
from .routes import find_route

__all__ = ["Candidate", "choose_target", "ring_load"]

NO_STATS = TargetStats()
# A policy chooses among at most this many targets of a ring, sampled at random, which
# bounds the CPU time of a call.
MAX_CANDIDATES = 24
# Maximum age of a load report that counts towards the load of a ring.
MAX_REPORT_AGE_S = 1.0

# Salts that make the random choices derived from one draw independent.
RELEASE_SALT = 11
RING_SAMPLE_SALT = 12
POLICY_SALT = 13


@dataclass(frozen=True, slots=True)
class Candidate:
    """A routable target, its weight, and this node's statistics of it."""

    target: Target
    weight: float
    stats: TargetStats


def choose_target(state, record, tried, now, draw):
    """Choose the target of the next attempt.

    Parameters
    ----------
    state : State
    record : CallRecord
    tried : set of str
        Ids of the targets that earlier attempts of the call were sent to.
    now : float
        Monotonic time, seconds.
    draw : int
        Random 64-bit integer.

    Returns
    -------
    state : State
        With the updated route and spill statistics of the service.
    target : Target or None
        None if the service has no usable target. A target in `tried` is chosen only if
        there is no other.
    """
    service = record.call.req.service
    state, route = find_route(state, service, now)
    if not route.releases:
        return state, None
    stats = state.traffic.services.get(service) or ServiceStats()
    policy = get_policy_by_name(state.policy)
    finder = _CandidateFinder(state.traffic.targets, stats, policy, tried, now, draw)
    for release in _ordered_releases(route, draw):
        candidates, widest, credit = _choose_ring(finder, release, route.spill)
        if candidates:
            break
    else:
        # The subset has no healthy target that is untried.
        candidates = finder.healthy(route.reserve) or _last_resort(route, finder)
        widest, credit = stats.widest_ring, stats.spill_credit
    if widest != stats.widest_ring or credit != stats.spill_credit:
        stats = replace(stats, widest_ring=widest, spill_credit=credit)
        services = state.traffic.services.set(service, stats)
        state = replace(state, traffic=replace(state.traffic, services=services))
    if len(candidates) == 1:
        return state, candidates[0].target
    return state, policy.choose(candidates, stats, now, mix(draw, POLICY_SALT)).target


def _ordered_releases(route, draw):
    """Return the releases: first one drawn at random by share, then the others."""
    if len(route.releases) == 1:
        return route.releases
    point = fraction(draw, RELEASE_SALT)
    for release in route.releases:
        if point < release.share:
            break
        point -= release.share
    return (release, *(item for item in route.releases if item is not release))


@dataclass(slots=True)
class _CandidateFinder:
    """Finds the candidates of a ring for one attempt of a call.

    Parameters
    ----------
    targets : Map of str to TargetStats
        Statistics by target id.
    stats : ServiceStats
        Statistics of the called service.
    policy : load-balancing policy of `pimentoline.policies`
    tried : set of str
        Ids of the targets that earlier attempts of the call were sent to.
    now : float
        Monotonic time, seconds.
    draw : int
        Random 64-bit integer.
    """

    targets: object
    stats: ServiceStats
    policy: object
    tried: set
    now: float
    draw: int

    def healthy(self, ring):
        """Return the candidates of a ring that are untried and not ejected.

        Of a ring with more than `MAX_CANDIDATES` targets, only a sample is considered.
        """
        if len(ring) > MAX_CANDIDATES:
            ring = self._sample(ring)
        now, tried, targets = self.now, self.tried, self.targets
        candidates = []
        for target, weight in ring:
            if target.target_id in tried:
                continue
            stats = targets.get(target.target_id, NO_STATS)
            if stats.ejected_until > now:
                continue
            if now - stats.ready_at < outliers.SLOW_START_S:
                weight *= outliers.slow_start_share(stats, now)
            candidates.append(Candidate(target, weight, stats))
        return candidates

    def accepted(self, candidates):
        """Return the candidates that the policy accepts."""
        accepts, stats, now = self.policy.accepts, self.stats, self.now
        return [cand for cand in candidates if accepts(cand, stats, now)]

    def _sample(self, ring):
        step = len(ring) / MAX_CANDIDATES
        start = fraction(self.draw, RING_SAMPLE_SALT) * len(ring)
        indexes = {int(start + i * step) % len(ring) for i in range(MAX_CANDIDATES)}
        return [ring[index] for index in sorted(indexes)]


def ring_load(candidates, now):
    """Return the load of a ring in requests in flight per slot.

    Only targets with a recent load report count, and those whose slots are all taken
    by requests of this node.

    Parameters
    ----------
    candidates : list of Candidate
    now : float
        Monotonic time, seconds.

    Returns
    -------
    float
        0.0 if no target counts.
    """
    used = slots = 0.0
    for cand in candidates:
        stats = cand.stats
        if now - stats.reported_at <= MAX_REPORT_AGE_S:
            others = max(0.0, stats.reported_load - stats.own_in_report)
            used += stats.inflight + others
        elif stats.inflight >= cand.target.slots:
            used += stats.inflight
        else:
            continue
        slots += cand.target.slots
    return used / slots if slots else 0.0


def _choose_ring(finder, release, spill):
    """Choose the ring that an attempt uses.

    A ring becomes loaded above the `enter` load of the spill rule, and stays loaded
    until its load falls to `leave`. Of the calls to a loaded ring, just enough spill to
    the next ring to reduce the load to `leave`, but at most the rule's `share`.

    All calls skip a ring without healthy targets, because they would only fail there.
    If the policy accepts none of a ring's targets, all calls skip the ring as well,
    provided that the next ring is in this region. If the next ring is in another
    region, all retries skip the ring, but only the rule's `share` of the first
    attempts.

    Parameters
    ----------
    finder : _CandidateFinder
    release : Release
    spill : SpillPolicy

    Returns
    -------
    candidates : list of Candidate
        Candidates of the ring. If the policy accepts no target of the rings considered,
        the candidates of the rings in this region, or else of the nearest other ring.
        Empty if no ring has healthy targets.
    widest : int
        Number of the outermost ring in use, the new `widest_ring` of the service.
    credit : float
        New `spill_credit` of the service.
    """
    stats = finder.stats
    credit, widest, rejected = stats.spill_credit, 0, []
    for number, ring in enumerate(release.rings):
        candidates = finder.healthy(ring)
        if not candidates:
            continue
        accepted = finder.accepted(candidates)
        last = number + 1 == len(release.rings)
        if not accepted:
            # These are used if the policy accepts no candidate of any ring.
            if not rejected or number < release.home_rings:
                rejected = rejected + candidates
            if last:
                break
            widest = number + 1
            if finder.tried or widest < release.home_rings:
                continue
            credit = min(credit, 1.0) + spill.share
            if credit < 1.0:
                break
            credit -= 1.0
            continue
        # Retries do not spill because of load, and nothing spills from the last ring.
        if finder.tried or last:
            return (
                candidates,
                max(widest, number, stats.widest_ring if finder.tried else 0),
                credit,
            )
        load = ring_load(accepted, finder.now)
        loaded = load > (spill.leave if stats.widest_ring > number else spill.enter)
        if not loaded:
            return candidates, max(widest, number), credit
        widest = number + 1
        credit = min(credit, 1.0) + min(spill.share, 1.0 - spill.leave / load)
        next_accepted = finder.accepted(finder.healthy(release.rings[widest]))
        # Spilling to a ring with the same load gains nothing, and the nodes there would
        # spill their own calls back.
        if (
            credit < 1.0
            or not next_accepted
            or ring_load(next_accepted, finder.now) >= load
        ):
            return candidates, widest, credit
        credit -= 1.0
    return rejected, widest if rejected else stats.widest_ring, credit


def _last_resort(route, finder):
    """Return all untried targets of the rings as candidates, ejected ones included.

    If there are none, the targets that the call has tried are returned.
    """
    all_candidates = [
        Candidate(target, weight, finder.targets.get(target.target_id, NO_STATS))
        for release in route.releases
        for ring in release.rings
        for target, weight in ring
    ]
    untried = [c for c in all_candidates if c.target.target_id not in finder.tried]
    return untried or all_candidates
