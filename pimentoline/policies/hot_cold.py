"""pimentoline.policies.hot_cold: lowest latency among lightly loaded targets.

This is the hot-cold rule of Prequal (NSDI 2024). Targets whose load is above a high
quantile of a random sample are hot, the others cold. The fastest cold target is chosen.
If all sampled targets are full, the least loaded one is chosen; if all are slow, the
one with the shortest expected wait.
"""

import math

from .base import Policy, weighted_sample

__all__ = ["HotColdPolicy", "latency_estimate_s", "load_estimate"]

# Targets compared per decision.
SAMPLE_SIZE = 4
HOT_QUANTILE = 0.75
# Requests in flight per slot; a target serves one request per slot at a time. At this
# load, further calls queue at the target.
FULL_LOAD = 1.0
# Targets slower than this multiple of the service's median latency are avoided. The
# usual variation of service times stays below it.
SLOW_FACTOR = 3.0
# As a target's load report ages, the number of other nodes' requests in it is assumed
# to decay with this half-life.
REPORT_HALF_LIFE_S = 0.5
# Time constant with which a latency estimate approaches the median without new samples.
LATENCY_DECAY_S = 2.0
LN2 = math.log(2.0)


def load_estimate(candidate, now):
    """Return the estimated requests in flight per slot of a target.

    The estimate adds this node's requests in flight and those of other nodes. The
    latter are the last load report less this node's requests at that time; they decay
    with the age of the report.
    """
    stats = candidate.stats
    inflight = stats.inflight
    others_inflight = stats.reported_load - stats.own_in_report
    if others_inflight > 0.0:
        age_s = now - stats.reported_at
        inflight += others_inflight * math.exp(-LN2 / REPORT_HALF_LIFE_S * age_s)
    return inflight / candidate.target.slots


def latency_estimate_s(stats, service, now):
    """Return the expected latency of a target in seconds.

    Without new samples, the estimate decays to the median of the service, so that a
    target that was slow once is tried again, and a target without samples counts as
    average and not as the fastest. The estimate is at least the mean age of this
    node's requests to the target that wait for a response head, which shows a slowdown
    before the first slow response arrives.
    """
    median_s = service.median_latency_s
    latency_s = median_s
    if stats.latency_s:
        weight = math.exp((stats.latency_at - now) / LATENCY_DECAY_S)
        latency_s += (stats.latency_s - median_s) * weight
    if stats.waiting:
        latency_s = max(latency_s, now - stats.waiting_since_sum / stats.waiting)
    return latency_s


class HotColdPolicy(Policy):
    """Prefers the fastest of the candidates that are not hot."""

    name = "hot-cold"

    def accepts(self, candidate, service, now):
        """Return whether a candidate is not much slower than the service's median.

        A target whose average latency exceeded the limit at its last sample gets only
        one request of this node at a time.
        """
        limit_s = SLOW_FACTOR * service.median_latency_s
        stats = candidate.stats
        # The median is 0 while it is unknown.
        if not limit_s:
            return True
        if latency_estimate_s(stats, service, now) > limit_s:
            return False
        return stats.latency_s <= limit_s or not stats.waiting

    def choose(self, candidates, service, now, draw):
        """Return the fastest cold candidate of a sample drawn with the random `draw`.

        If all accepted candidates of the sample are full, the least loaded of them is
        returned; if none is accepted, the one with the shortest expected wait.
        """
        sampled = weighted_sample(candidates, SAMPLE_SIZE, draw)
        with_loads = [
            (candidate, load_estimate(candidate, now)) for candidate in sampled
        ]
        accepted = [pair for pair in with_loads if self.accepts(pair[0], service, now)]
        not_full = [pair for pair in accepted if pair[1] < FULL_LOAD]
        if not_full:
            loads = sorted(load for _, load in not_full)
            hot_limit = loads[int(HOT_QUANTILE * (len(not_full) - 1))]
            return min(
                (candidate for candidate, load in not_full if load <= hot_limit),
                key=lambda candidate: latency_estimate_s(candidate.stats, service, now),
            )
        if accepted:
            return min(accepted, key=lambda pair: pair[1])[0]
        # Above a load of 1, a call waits about load times the service time.
        return min(
            with_loads,
            key=lambda pair: (
                max(FULL_LOAD, pair[1])
                * latency_estimate_s(pair[0].stats, service, now)
            ),
        )[0]
