"""pimentoline.policies.two_choices: less loaded of two candidates, a baseline."""

from .base import Policy, weighted_sample

__all__ = ["TwoChoicesPolicy"]


class TwoChoicesPolicy(Policy):
    """Compares the last load reports of two random candidates."""

    name = "two-choices"

    def choose(self, candidates, service, now, draw):
        """Return the candidate with the lower reported load."""
        return min(
            weighted_sample(candidates, 2, draw),
            key=lambda candidate: candidate.stats.reported_load,
        )
