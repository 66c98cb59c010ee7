"""pimentoline.policies.random: a random choice by weight, as a baseline."""

from .base import Policy, weighted_sample

__all__ = ["RandomPolicy"]


class RandomPolicy(Policy):
    """Chooses at random, with chances by weight."""

    name = "random"

    def choose(self, found, service, now, draw):
        """Return a random candidate."""
        return weighted_sample(found, 1, draw)[0]
