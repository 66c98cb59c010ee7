"""pimentoline.policies.hot_cold: least latency among lightly loaded targets.

The rule is that of Prequal (NSDI 2024): targets with a load above a high quantile are
hot; the fastest of the cold ones is chosen, or the least loaded if all are hot.
"""

import math

from .base import Policy, sample

__all__ = ["HotColdPolicy", "latency_estimate_s", "load_estimate"]

SAMPLE_SIZE = 4
HOT_QUANTILE = 0.75
# At this load every slot of a target is in use and calls queue there.
FULL_LOAD = 1.0
REPORT_HALF_LIFE_S = 0.5
LATENCY_DECAY_S = 2.0
LN2 = math.log(2.0)


def load_estimate(cand, now):
    """Return the estimated requests in flight for each slot of a target.

    A report loses its weight with its age; own requests sent since and still in
    flight are added to it.
    """
    stats = cand.stats
    used = stats.inflight
    if stats.reported:
        age_s = now - stats.reported_at
        reported = stats.reported * math.exp(-LN2 / REPORT_HALF_LIFE_S * age_s)
        used = max(used, reported + min(stats.sent_since, used))
    return used / cand.target.slots


def latency_estimate_s(stats, service, now):
    """Return the expected latency of a target, seconds.

    Without new samples it returns to the median of the service. A target that was
    slow once is then tried again, and an unknown target counts as an ordinary one
    and not as the fastest.
    """
    typical_s = service.typical_s
    if not stats.latency_s:
        return typical_s
    part = math.exp((stats.latency_at - now) / LATENCY_DECAY_S)
    return typical_s + (stats.latency_s - typical_s) * part


class HotColdPolicy(Policy):
    """Prefers the fastest of the candidates that are not hot."""

    name = "hot-cold"

    def choose(self, found, service, now, draw):
        """Return the fastest cold candidate, or the least loaded one."""
        chosen = sample(found, SAMPLE_SIZE, draw)
        loads = [load_estimate(cand, now) for cand in chosen]
        limit = sorted(loads)[int(HOT_QUANTILE * (len(loads) - 1))]
        best, least = None, math.inf
        for cand, load in zip(chosen, loads):
            if load <= limit and load < FULL_LOAD:
                latency_s = latency_estimate_s(cand.stats, service, now)
                if latency_s < least:
                    best, least = cand, latency_s
        return best or chosen[loads.index(min(loads))]
