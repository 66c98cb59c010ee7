"""pimentoline.policies.least_inflight: fewest requests in flight, a baseline."""

from .base import Policy, min_with_random_tie

__all__ = ["LeastInflightPolicy"]


class LeastInflightPolicy(Policy):
    """Prefers the target with the fewest requests of this node in flight."""

    name = "least-inflight"

    def choose(self, candidates, service, now, draw):
        """Return the candidate with the fewest requests of this node in flight."""
        return min_with_random_tie(
            candidates, lambda candidate: candidate.stats.inflight, draw
        )
