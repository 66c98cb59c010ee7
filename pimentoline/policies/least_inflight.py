"""pimentoline.policies.least_inflight: least own requests in flight, as a baseline."""

from .base import Policy, min_with_random_tie

__all__ = ["LeastInflightPolicy"]


class LeastInflightPolicy(Policy):
    """Prefers the target with the fewest requests of this node in flight."""

    name = "least-inflight"

    def choose(self, found, service, now, draw):
        """Return a candidate with the least own requests in flight."""
        return min_with_random_tie(found, lambda cand: cand.stats.inflight, draw)
