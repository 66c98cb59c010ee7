"""pimentoline.twohop.durations: how long calls take at a target, and where its knee is.

Answers targets that slow down when they are nearly full: some do, some don't, and no
one says so. Calls that began with most slots in use are compared with those that
began with few.
"""

__all__ = ["Durations"]

# Mean duration before the first answer, seconds; the work times of both users are
# near this.
FIRST_S = 0.12
# Weight of the newest duration in a mean.
WEIGHT = 0.08
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


class Durations:
    """Mean durations by kind of call.

    A kind is any hashable value that separates short calls from long ones.
    """

    def __init__(self):
        self._means = {}
        self._light = {}
        self._light_samples = 0
        self._full_ratio = 1.0
        self._full_samples = 0
        self.mean_s = FIRST_S

    def note(self, kind, taken_s, running, slots):
        """Take the duration of a call that began with `running` calls in all."""
        before = self._means.get(kind, taken_s)
        self._means[kind] = before + WEIGHT * (taken_s - before)
        self.mean_s += WEIGHT * (taken_s - self.mean_s)
        if running <= slots * LIGHT:
            before = self._light.get(kind, taken_s)
            self._light[kind] = before + WEIGHT * (taken_s - before)
            self._light_samples += 1
        elif running > slots * KNEE and kind in self._light:
            ratio = taken_s / max(self._light[kind], 0.001)
            self._full_ratio += WEIGHT * (ratio - self._full_ratio)
            self._full_samples += 1

    def of(self, kind):
        """Return the expected duration of a call of a kind, seconds."""
        return self._means.get(kind, self.mean_s)

    def limit(self, slots, cold):
        """Return how many calls to let run at once.

        While nothing is known, the last slots are tried, but not at a cold target,
        whose answers are late anyway.
        """
        known = min(self._full_samples, self._light_samples) >= MIN_SAMPLES
        if (known and self._full_ratio > WORTHWHILE) or (cold and not known):
            return max(1, int(slots * KNEE))
        return slots
