"""pimentoline.policies.two_choices: the less loaded of two, as a baseline."""

from .base import Policy, weighted_sample

__all__ = ["TwoChoicesPolicy"]


class TwoChoicesPolicy(Policy):
    """Compares the last load reports of two random candidates."""

    name = "two-choices"

    def choose(self, found, service, now, draw):
        """Return the candidate with the lower reported load."""
        return min(
            weighted_sample(found, 2, draw), key=lambda cand: cand.stats.reported_load
        )
