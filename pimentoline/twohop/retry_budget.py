"""pimentoline.twohop.retry_budget: retries as a share of first attempts."""

from collections import deque

__all__ = ["RetryBudget"]

# Part of what is allowed that is spent here. Calls that a repeated run makes count as
# repeats too, and no node can tell them: with 0.3, a chain of three services whose
# runs each make 1.4 calls keeps the budget of each while all of them fail.
OWN_SHARE = 0.3


class RetryBudget:
    """Repeats that this node may send to one service, in every sliding window.

    All nodes share one allowance without talking about it: each takes the ratio of
    its own first attempts and an equal part of the fixed allowance.

    Parameters
    ----------
    limits : RetryLimits
    """

    def __init__(self, limits):
        self.set_limits(limits)
        self._firsts = deque()
        self._repeats = deque()

    def set_limits(self, limits):
        """Take changed limits."""
        self._limits = limits

    def first(self, now):
        """Count a first attempt."""
        self._firsts.append(now)
        self._trim(self._firsts, now)

    def take(self, now, nodes):
        """Return whether a repeat may be sent now, and count it if so.

        Parameters
        ----------
        now : float
            Monotonic time, seconds.
        nodes : int
            Nodes that share the fixed allowance.
        """
        self._trim(self._firsts, now)
        self._trim(self._repeats, now)
        earned = self._limits.ratio * len(self._firsts)
        allowed = OWN_SHARE * (earned + self._limits.allowance / max(nodes, 1))
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _trim(self, times, now):
        while times and times[0] <= now - self._limits.window_s:
            times.popleft()
