"""pimentoline.twohop.retry_budget: retries as a share of first attempts."""

from collections import deque

__all__ = ["RetryBudget"]

# Share of the allowed retries that nodes send themselves. When a service runs a retried
# call, its own calls to further services are retries too, but nodes cannot recognise
# them. With 0.3, a chain of three services that each make 1.4 further calls per call
# stays within the budget of each service while all of them fail.
DIRECT_RETRY_SHARE = 0.3


class RetryBudget:
    """Limits the retries from this node to one service in every sliding window.

    All nodes together stay within one limit without coordination: each may send retries
    for a share of its own first attempts, plus an equal part of the fixed allowance.

    Parameters
    ----------
    limits : RetryLimits
    """

    def __init__(self, limits):
        self.set_limits(limits)
        self._first_attempts = deque()
        self._retries = deque()

    def set_limits(self, limits):
        """Apply changed limits."""
        self._limits = limits

    def count_first_attempt(self, now):
        """Count a first attempt."""
        self._first_attempts.append(now)
        self._drop_expired(self._first_attempts, now)

    def try_acquire(self, now, nodes):
        """Return whether a retry may be sent now, and count it if so.

        Parameters
        ----------
        now : float
            Monotonic time, seconds.
        nodes : int
            Nodes that share the fixed allowance.
        """
        self._drop_expired(self._first_attempts, now)
        self._drop_expired(self._retries, now)
        from_ratio = self._limits.ratio * len(self._first_attempts)
        allowed = DIRECT_RETRY_SHARE * (
            from_ratio + self._limits.allowance / max(nodes, 1)
        )
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, times, now):
        while times and times[0] <= now - self._limits.window_s:
            times.popleft()
