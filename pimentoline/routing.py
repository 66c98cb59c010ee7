"""pimentoline.routing: candidates of a call and the choice among them."""

from dataclasses import dataclass

from . import outliers
from .draws import fraction, mix
from .fast_replace import replace
from .model import ServiceStats, Target, TargetStats
from .policies import get_policy_by_name
from .routes import find_route

__all__ = ["Candidate", "pick", "ring_load"]

UNKNOWN = TargetStats()
# A policy sees at most this many targets of a ring, chosen at random, which bounds
# the processor time of a call.
MAX_CANDIDATES = 24
# A load report older than this says nothing of the load of a ring.
REPORT_VALID_S = 1.0

# Salts of the decisions that are taken from one draw.
RELEASE_SALT = 11
RING_SALT = 12
POLICY_SALT = 13


@dataclass(frozen=True, slots=True)
class Candidate:
    """A routable target, its weight and what this node has observed of it."""

    target: Target
    weight: float
    stats: TargetStats


def pick(state, record, tried, now, draw):
    """Choose the target of the next attempt.

    Parameters
    ----------
    state : State
    record : CallRecord
    tried : set of str
        Targets that earlier attempts of the call were sent to.
    now : float
        Monotonic time, seconds.
    draw : int
        Random 64-bit integer.

    Returns
    -------
    state : State
    target : Target or None
    """
    service = record.call.req.service
    state, route = find_route(state, service, now)
    if not route.releases:
        return state, None
    stats = state.traffic.services.get(service) or ServiceStats()
    policy = get_policy_by_name(state.policy)
    view = _View(state.traffic.targets, stats, policy, tried, now, draw)
    for release in _releases(route, draw):
        found, ring, credit = _spill(view, release, route.spill)
        if found:
            break
    else:
        found = view.healthy(route.reserve) or _last_resort(route, view)
        ring, credit = stats.widest_ring, stats.spill_credit
    if ring != stats.widest_ring or credit != stats.spill_credit:
        stats = replace(stats, widest_ring=ring, spill_credit=credit)
        services = state.traffic.services.set(service, stats)
        state = replace(state, traffic=replace(state.traffic, services=services))
    if len(found) == 1:
        return state, found[0].target
    return state, policy.choose(found, stats, now, mix(draw, POLICY_SALT)).target


def _releases(route, draw):
    """Return the releases in the order of their use for this call."""
    if len(route.releases) == 1:
        return route.releases
    point = fraction(draw, RELEASE_SALT)
    for release in route.releases:
        if point < release.share:
            break
        point -= release.share
    return (release, *(item for item in route.releases if item is not release))


@dataclass(slots=True)
class _View:
    """What the choice of a ring looks at; it lives for one choice."""

    targets: object
    stats: ServiceStats
    policy: object
    tried: set
    now: float
    draw: int

    def healthy(self, ring):
        """Return the candidates of a ring that are untried and not ejected."""
        if len(ring) > MAX_CANDIDATES:
            ring = self._part(ring)
        now, tried, targets = self.now, self.tried, self.targets
        found = []
        for target, weight in ring:
            if target.target_id in tried:
                continue
            stats = targets.get(target.target_id, UNKNOWN)
            if stats.ejected_until > now:
                continue
            if now - stats.ready_at < outliers.SLOW_START_S:
                weight *= outliers.slow_start(stats, now)
            found.append(Candidate(target, weight, stats))
        return found

    def fit(self, found):
        """Return the candidates that the policy accepts."""
        accepts, stats, now = self.policy.accepts, self.stats, self.now
        return [cand for cand in found if accepts(cand, stats, now)]

    def _part(self, ring):
        step = len(ring) / MAX_CANDIDATES
        start = fraction(self.draw, RING_SALT) * len(ring)
        places = {int(start + i * step) % len(ring) for i in range(MAX_CANDIDATES)}
        return [ring[place] for place in sorted(places)]


def ring_load(found, now):
    """Return the load of a ring in requests for each slot.

    Parameters
    ----------
    found : list of Candidate
    now : float
        Monotonic time, seconds.

    Returns
    -------
    float
        Over the targets with a valid report, or with own requests in flight that
        fill them; 0.0 if nothing is known.
    """
    used = slots = 0.0
    for cand in found:
        stats = cand.stats
        if now - stats.reported_at <= REPORT_VALID_S:
            others = max(0.0, stats.reported_load - stats.own_in_report)
            used += stats.inflight + others
        elif stats.inflight >= cand.target.slots:
            used += stats.inflight
        else:
            continue
        slots += cand.target.slots
    return used / slots if slots else 0.0


def _spill(view, release, spill):
    """Return the candidates of the ring to use, the widest ring and the credit.

    The load that leaves a ring is the part that brings it back to the `leave` load,
    but not more than the rule's share of the calls. A ring without healthy targets is
    passed over whole, because holding its calls back would only fail them. A ring
    whose targets are all unfit is passed over whole within the region; other regions
    get the rule's share of its calls.
    """
    stats = view.stats
    credit, widest, unfit = stats.spill_credit, 0, []
    for number, ring in enumerate(release.rings):
        found = view.healthy(ring)
        if not found:
            continue
        fit = view.fit(found)
        last = number + 1 == len(release.rings)
        if not fit:
            if not unfit or number < release.home_rings:
                unfit = unfit + found
            if last:
                break
            widest = number + 1
            if view.tried or widest < release.home_rings:
                continue
            credit = min(credit, 1.0) + spill.share
            if credit < 1.0:
                break
            credit -= 1.0
            continue
        if view.tried or last:
            return (
                found,
                max(widest, number, stats.widest_ring if view.tried else 0),
                credit,
            )
        load = ring_load(fit, view.now)
        hot = load > (spill.leave if stats.widest_ring > number else spill.enter)
        if not hot:
            return found, max(widest, number), credit
        widest = number + 1
        credit = min(credit, 1.0) + min(spill.share, 1.0 - spill.leave / load)
        wider = view.fit(view.healthy(release.rings[widest]))
        # A ring that is as loaded gains nothing from the calls and would send its own
        # calls back.
        if credit < 1.0 or not wider or ring_load(wider, view.now) >= load:
            return found, widest, credit
        credit -= 1.0
    return unfit, widest if unfit else stats.widest_ring, credit


def _last_resort(route, view):
    """Return candidates if no healthy one is untried: ejected ones, then tried ones."""
    everything = [
        Candidate(target, weight, view.targets.get(target.target_id, UNKNOWN))
        for release in route.releases
        for ring in release.rings
        for target, weight in ring
    ]
    untried = [c for c in everything if c.target.target_id not in view.tried]
    return untried or everything
