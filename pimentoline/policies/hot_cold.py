"""pimentoline.policies.hot_cold: least latency among lightly loaded targets."""

from .base import Policy, sample

__all__ = ["HotColdPolicy"]

SAMPLE_SIZE = 3
REPORT_HALF_LIFE_S = 0.5


def load_estimate(cand, now):
    """Return the estimated requests in flight at a target."""
    stats = cand.stats
    age_s = now - stats.reported_at
    reported = stats.reported * 0.5 ** (age_s / REPORT_HALF_LIFE_S)
    return max(stats.inflight, reported + stats.sent_since)


class HotColdPolicy(Policy):
    """Prefers the fastest of the candidates that are not hot."""

    name = "hot-cold"

    def choose(self, found, service, now, draw):
        """Return the candidate with the least latency times load."""
        return min(
            sample(found, SAMPLE_SIZE, draw),
            key=lambda cand: (load_estimate(cand, now) + 1.0) * cand.stats.latency_s,
        )
