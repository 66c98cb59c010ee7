"""pimentoline.twohop.durations: how long calls take at a target, and where its knee is.

Answers targets that slow down when they are nearly full: some do, some don't, and no
one says so. Calls that began with most slots in use are compared with those that
began with few.
"""

__all__ = ["DurationEstimator"]

# Mean duration before the first answer, seconds; the work times of both users are
# near this.
FIRST_S = 0.12
# A kind of call that has not been seen takes this part of its objective at most: the
# objectives of both users are 2.5 to 4.5 times the work.
GOAL_SHARE = 0.4
# Weight of the newest duration in a mean.
WEIGHT = 0.08
# Longer durations become the plain one over this time, seconds, and shorter ones at
# once: the users' targets turn slow for 3 to 15 s.
RISE_S = 60.0
# Without an answer a mean goes back to the plain duration over this time, seconds:
# what made a target slow is mostly gone by then, and only calls can tell.
FADE_S = 5.0
# Parts of the slots: calls that begin below the first show the plain duration, those
# that begin above the second show what the last slots cost. The users' targets with a
# knee have it at 0.8.
LIGHT = 0.6
KNEE = 0.8
# Answers that are needed on either side before they are believed.
MIN_SAMPLES = 20
# The last slots are used while calls there take at most this many times as long; 1.25
# would be even, and other calls of the target get slower as well.
WORTHWHILE = 1.15


class DurationEstimator:
    """Mean durations by kind of call.

    A kind is any hashable value that separates short calls from long ones.
    """

    def __init__(self):
        self._means = {}
        self._plain = {}
        self._noted_at = 0.0
        self._light = {}
        self._light_samples = 0
        self._full_ratio = 1.0
        self._full_samples = 0
        self._mean_s = FIRST_S
        self._plain_s = FIRST_S

    def note(self, kind, taken_s, running, slots, now):
        """Take the duration of a call that began with `running` calls in all."""
        rise = min(WEIGHT, (now - self._noted_at) / RISE_S)
        self._noted_at = now
        before = self._means.get(kind, taken_s)
        self._means[kind] = before + WEIGHT * (taken_s - before)
        self._mean_s += WEIGHT * (taken_s - self._mean_s)
        before = self._plain.get(kind, taken_s)
        self._plain[kind] = before + (taken_s - before) * _weight(before, taken_s, rise)
        before = self._plain_s
        self._plain_s = before + (taken_s - before) * _weight(before, taken_s, rise)
        if running <= slots * LIGHT:
            before = self._light.get(kind, taken_s)
            self._light[kind] = before + WEIGHT * (taken_s - before)
            self._light_samples += 1
        elif running > slots * KNEE and kind in self._light:
            ratio = taken_s / max(self._light[kind], 0.001)
            self._full_ratio += WEIGHT * (ratio - self._full_ratio)
            self._full_samples += 1

    def expected_s(self, kind, now, goal_s=None):
        """Return the expected duration of a call of a kind, seconds.

        Parameters
        ----------
        kind : object
            None for calls of any kind.
        now : float
            Monotonic time, seconds.
        goal_s : float or None
            Objective of the call, seconds; says something of a kind not seen yet.
        """
        mean_s, plain_s = self._mean_s, self._plain_s
        if kind is not None and kind in self._means:
            mean_s, plain_s = self._means[kind], self._plain[kind]
        elif kind is not None and goal_s is not None:
            mean_s = min(mean_s, max(goal_s, 0.0) * GOAL_SHARE)
            plain_s = min(plain_s, mean_s)
        fresh = max(0.0, 1.0 - (now - self._noted_at) / FADE_S)
        return plain_s + (mean_s - plain_s) * fresh

    def concurrency_limit(self, slots, cold):
        """Return how many calls to let run at once.

        While nothing is known, the last slots are tried, but not at a cold target,
        whose answers are late anyway.
        """
        known = min(self._full_samples, self._light_samples) >= MIN_SAMPLES
        if (known and self._full_ratio > WORTHWHILE) or (cold and not known):
            return max(1, int(slots * KNEE))
        return slots


def _weight(plain_s, taken_s, rise):
    return WEIGHT if taken_s < plain_s else rise
