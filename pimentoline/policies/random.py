"""pimentoline.policies.random: a uniform random choice, as a baseline."""

from .base import Policy

__all__ = ["RandomPolicy"]


class RandomPolicy(Policy):
    """Chooses uniformly."""

    name = "random"

    def choose(self, found, service, now, draw):
        """Return a random candidate."""
        return found[draw % len(found)]
