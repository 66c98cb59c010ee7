"""pimentoline.policies.hot_cold: least latency among lightly loaded targets.

The rule is that of Prequal (NSDI 2024): targets with a load above a high quantile are
hot; the fastest of the cold ones is chosen, or the least loaded if all are full. If all
are slow, the one with the shortest expected wait is chosen.
"""

import math

from .base import Policy, weighted_sample

__all__ = ["HotColdPolicy", "latency_estimate_s", "load_estimate"]

SAMPLE_SIZE = 4
HOT_QUANTILE = 0.75
# At this load every slot of a target is in use and calls queue there.
FULL_LOAD = 1.0
# A target slower than this multiple of the service's median is avoided. Ordinary
# variation of service times stays below it.
SLOW_FACTOR = 3.0
REPORT_HALF_LIFE_S = 0.5
LATENCY_DECAY_S = 2.0
LN2 = math.log(2.0)


def load_estimate(cand, now):
    """Return the estimated requests in flight for each slot of a target.

    To the own requests in flight, the requests of other nodes are added: the last
    report without the own requests of that time. It loses its weight with its age.
    """
    stats = cand.stats
    used = stats.inflight
    others = stats.reported_load - stats.own_in_report
    if others > 0.0:
        age_s = now - stats.reported_at
        used += others * math.exp(-LN2 / REPORT_HALF_LIFE_S * age_s)
    return used / cand.target.slots


def latency_estimate_s(stats, service, now):
    """Return the expected latency of a target, seconds.

    Without new samples it returns to the median of the service. A target that was
    slow once is then tried again, and an unknown target counts as an ordinary one
    and not as the fastest. It is at least the mean age of the requests that wait at
    the target, which tells of a slowdown before the first slow answer.
    """
    typical_s = service.median_latency_s
    latency_s = typical_s
    if stats.latency_s:
        part = math.exp((stats.latency_at - now) / LATENCY_DECAY_S)
        latency_s += (stats.latency_s - typical_s) * part
    if stats.waiting:
        latency_s = max(latency_s, now - stats.waiting_since_sum / stats.waiting)
    return latency_s


class HotColdPolicy(Policy):
    """Prefers the fastest of the candidates that are not hot."""

    name = "hot-cold"

    def accepts(self, cand, service, now):
        """Return whether a candidate is not much slower than the service's median.

        A target whose last sample was slow is tried with one request at a time.
        """
        limit_s = SLOW_FACTOR * service.median_latency_s
        stats = cand.stats
        if not limit_s:
            return True
        if latency_estimate_s(stats, service, now) > limit_s:
            return False
        return stats.latency_s <= limit_s or not stats.waiting

    def choose(self, found, service, now, draw):
        """Return the fastest cold candidate, or the least loaded one."""
        chosen = weighted_sample(found, SAMPLE_SIZE, draw)
        loaded = [(cand, load_estimate(cand, now)) for cand in chosen]
        fit = [pair for pair in loaded if self.accepts(pair[0], service, now)]
        cold = [pair for pair in fit if pair[1] < FULL_LOAD]
        if cold:
            ordered = sorted(load for _, load in cold)
            limit = ordered[int(HOT_QUANTILE * (len(cold) - 1))]
            return min(
                (cand for cand, load in cold if load <= limit),
                key=lambda cand: latency_estimate_s(cand.stats, service, now),
            )
        if fit:
            return min(fit, key=lambda pair: pair[1])[0]
        # Beyond a load of 1, calls wait about as many times the service time.
        return min(
            loaded,
            key=lambda pair: (
                max(FULL_LOAD, pair[1])
                * latency_estimate_s(pair[0].stats, service, now)
            ),
        )[0]
