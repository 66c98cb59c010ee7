"""pimentoline.policies.round_robin: one candidate after another, a baseline."""

from .base import Policy

__all__ = ["RoundRobinPolicy"]


class RoundRobinPolicy(Policy):
    """Uses the candidates in turn, without regard to their weights."""

    name = "round-robin"

    def choose(self, candidates, service, now, draw):
        """Return the next candidate, by the number of calls sent so far."""
        return candidates[service.calls_sent % len(candidates)]
