"""pimentoline.twohop.retry_budget: retries as a share of first attempts."""

from collections import deque

__all__ = ["RetryBudget"]

# Share of the allowed retries that nodes may send. The rest is left for indirect
# retries: a service that runs a retried call also repeats its own calls to further
# services, and nodes cannot recognise these as retries. With 0.3, a chain of three
# services that each make 1.4 further calls per call stays within the limits of every
# service, even while all of them fail.
DIRECT_RETRY_SHARE = 0.3


class RetryBudget:
    """Limits the retries from this node to one service in every sliding window.

    All nodes together stay within the limits without coordination: each may send
    retries for a share of its own first attempts, plus an equal part of the allowance
    that does not depend on traffic.

    Parameters
    ----------
    limits : RetryLimits
        Limits for all nodes together.
    """

    def __init__(self, limits):
        self.set_limits(limits)
        self._first_attempts = deque()
        self._retries = deque()

    def set_limits(self, limits):
        """Apply changed limits; the attempts counted so far still count."""
        self._limits = limits

    def count_first_attempt(self, now):
        """Count a first attempt that is sent at `now`, monotonic seconds."""
        self._first_attempts.append(now)
        self._drop_expired(self._first_attempts, now)

    def try_acquire(self, now, nodes):
        """Return whether a retry may be sent now, and count it if so.

        Parameters
        ----------
        now : float
            Monotonic time, seconds.
        nodes : int
            Number of nodes that share the allowance.
        """
        self._drop_expired(self._first_attempts, now)
        self._drop_expired(self._retries, now)
        allowed_by_ratio = self._limits.ratio * len(self._first_attempts)
        allowed = DIRECT_RETRY_SHARE * (
            allowed_by_ratio + self._limits.allowance / max(nodes, 1)
        )
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, times, now):
        while times and times[0] <= now - self._limits.window_s:
            times.popleft()
