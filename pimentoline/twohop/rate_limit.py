"""pimentoline.twohop.rate_limit: limits the calls to a target to a rate it names."""

__all__ = ["RateLimit"]

# The calls that a target could have received in this time, but has not, may start at
# once, seconds.
BURST_S = 0.5
# A target that names a lower rate still gets this many calls a second. Their responses
# tell when the limit ends.
MIN_RATE_PER_S = 0.5


class RateLimit:
    """Spaces the starts of calls at a target; without a rate, it limits nothing.

    The node on the target's host starts every call of the target, so one such object
    holds the limit for all nodes together.

    Attributes
    ----------
    rate_per_s : float or None
        Calls a second that the target takes, None without a limit.
    """

    def __init__(self):
        self.rate_per_s = None
        # When the next call may start if there is no burst, monotonic time in seconds.
        self._next_start_at = 0.0

    def set_rate(self, rate_per_s, now):
        """Set the rate that the target named at `now`; None ends the limit."""
        if rate_per_s is not None:
            rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
            if self.rate_per_s is None:
                # The calls that run already count as the burst.
                self._next_start_at = now
        self.rate_per_s = rate_per_s

    def wait_s(self, now, ahead=0):
        """Return when a call may start that has `ahead` others before it, seconds."""
        if self.rate_per_s is None:
            return 0.0
        next_start_at = max(self._next_start_at, now - BURST_S)
        return max(0.0, next_start_at + ahead / self.rate_per_s - now)

    def note_start(self, now):
        """Count a call that starts at `now`."""
        if self.rate_per_s is not None:
            next_start_at = max(self._next_start_at, now - BURST_S)
            self._next_start_at = next_start_at + 1.0 / self.rate_per_s
