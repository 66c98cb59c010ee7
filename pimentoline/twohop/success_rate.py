"""pimentoline.twohop.success_rate: how often a target answers well.

Answers targets that fail part of their calls while they say that they are healthy,
and those that fail fast and look idle.
"""

__all__ = ["SuccessRate", "decayed"]

# Weight of the newest outcome; some twenty calls show a target that fails half.
WEIGHT = 0.08
# Without news a target is trusted again over this time, seconds.
FADE_S = 5.0
# Even a target that fails always is given this part of its plain value, so that some
# calls find out when it is sound again.
LEAST = 0.1


def decayed(rate, age_s):
    """Return a rate of good answers that was known `age_s` seconds ago."""
    return 1.0 - (1.0 - rate) * max(0.0, 1.0 - age_s / FADE_S)


class SuccessRate:
    """Rate of good answers of one target, as its own node counts them."""

    def __init__(self):
        self._rate = 1.0
        self._at = 0.0

    def note(self, good, now):
        """Count an answer, or the lack of one."""
        rate = decayed(self._rate, now - self._at)
        self._rate = rate + WEIGHT * (float(good) - rate)
        self._at = now

    def rate(self, now):
        """Return the rate of good answers, `LEAST` to 1."""
        return max(LEAST, decayed(self._rate, now - self._at))
