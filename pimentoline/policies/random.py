"""pimentoline.policies.random: weighted random choice, a baseline."""

from .base import Policy, weighted_sample

__all__ = ["RandomPolicy"]


class RandomPolicy(Policy):
    """Chooses at random, in proportion to the weights."""

    name = "random"

    def choose(self, candidates, service, now, draw):
        """Return a random candidate."""
        return weighted_sample(candidates, 1, draw)[0]
