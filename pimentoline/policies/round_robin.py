"""pimentoline.policies.round_robin: one candidate after the other, as a baseline."""

from .base import Policy

__all__ = ["RoundRobinPolicy"]


class RoundRobinPolicy(Policy):
    """Goes through the candidates in their fixed order."""

    name = "round-robin"

    def choose(self, found, service, now, draw):
        """Return the candidates in turn, by the number of calls sent."""
        return found[service.calls_sent % len(found)]
