"""pimentoline.twohop.success_rate: share of a target's calls that succeed.

Keeps traffic away from targets that fail part of their calls while their health check
succeeds, and from those that fail fast and therefore look idle.
"""

__all__ = ["SuccessRate", "decayed_rate"]

# Weight of the newest outcome in the moving average. About twenty calls are enough to
# recognise a target that fails half of them.
NEWEST_WEIGHT = 0.08
# Without new outcomes, the rate returns to 1 over this time, seconds.
DECAY_S = 5.0
# Lower bound of the rate, so that a target that always fails still gets a few calls,
# which show when it has recovered.
MIN_RATE = 0.1


def decayed_rate(rate, age_s):
    """Return the present value of a success rate that is `age_s` seconds old."""
    return 1.0 - (1.0 - rate) * max(0.0, 1.0 - age_s / DECAY_S)


class SuccessRate:
    """Moving average of the outcomes of a target's calls, kept by the target's node."""

    def __init__(self):
        self._rate = 1.0
        self._updated_at = 0.0

    def note(self, success, now):
        """Count a call that succeeded or failed; a missing response is a failure."""
        rate = decayed_rate(self._rate, now - self._updated_at)
        self._rate = rate + NEWEST_WEIGHT * (float(success) - rate)
        self._updated_at = now

    def rate(self, now):
        """Return the success rate, from `MIN_RATE` to 1."""
        return max(MIN_RATE, decayed_rate(self._rate, now - self._updated_at))
