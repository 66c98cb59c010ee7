"""pimentoline.routing: candidates of a call and the choice among them."""

from dataclasses import dataclass

from . import outliers
from .draws import fraction, mix
from .frozen import replace
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
    view = _View(state.traffic.targets, tried, now, draw)
    for release in _releases(route, draw):
        found, ring, credit = _spill(view, release.rings, route.spill, stats)
        if found:
            break
    else:
        found = _last_resort(route, view)
        ring, credit = stats.ring, stats.spill_credit
    if ring != stats.ring or credit != stats.spill_credit:
        stats = replace(stats, ring=ring, spill_credit=credit)
        services = state.traffic.services.set(service, stats)
        state = replace(state, traffic=replace(state.traffic, services=services))
    policy = get_policy_by_name(state.policy)
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


@dataclass(frozen=True, slots=True)
class _View:
    """What the choice of a ring looks at."""

    targets: object
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
            since = min(stats.sent_since, stats.inflight)
            used += max(stats.inflight, stats.reported + since)
        elif stats.inflight >= cand.target.slots:
            used += stats.inflight
        else:
            continue
        slots += cand.target.slots
    return used / slots if slots else 0.0


def _spill(view, rings, spill, stats):
    """Return the candidates of the ring to use, the widest ring and the credit.

    The load that leaves a ring is the part that brings it back to the `leave` load,
    but not more than the rule's share of the calls. A ring without healthy targets is
    passed over whole, because holding its calls back would only fail them.
    """
    credit, widest = stats.spill_credit, 0
    for number, ring in enumerate(rings):
        found = view.healthy(ring)
        if not found:
            continue
        if view.tried or number + 1 == len(rings):
            return found, max(widest, number, stats.ring if view.tried else 0), credit
        load = ring_load(found, view.now)
        hot = load > (spill.leave if stats.ring > number else spill.enter)
        if not hot:
            return found, max(widest, number), credit
        widest = number + 1
        credit = min(credit, 1.0) + min(spill.share, 1.0 - spill.leave / load)
        wider = view.healthy(rings[number + 1])
        # A ring that is as loaded gains nothing from the calls and would send its own
        # calls back.
        if credit < 1.0 or not wider or ring_load(wider, view.now) >= load:
            return found, widest, credit
        credit -= 1.0
    return [], stats.ring, credit


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
