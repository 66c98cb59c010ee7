"""pimentoline.policies.least_inflight: least own requests in flight, as a baseline."""

from .base import Policy, least

__all__ = ["LeastInflightPolicy"]


class LeastInflightPolicy(Policy):
    """Prefers the target with the fewest requests of this node in flight."""

    name = "least-inflight"

    def choose(self, found, service, now, draw):
        """Return a candidate with the least own requests in flight."""
        return least(found, lambda cand: cand.stats.inflight, draw)
