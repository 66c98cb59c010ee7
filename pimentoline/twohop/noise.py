"""pimentoline.twohop.noise: whether a call should start at a target now.

Answers noisy neighbours. A target tells how long work takes at this moment; trials
of both users' targets showed that a call takes that many times as long until its end,
even if the noise ends 20 ms after its start. So a call waits until the noise ends,
and an old figure is asked for anew before a call starts on it.
"""

import enum

__all__ = ["NoiseDetector", "StartDecision"]

# Work that takes this many times as long as usual is worth waiting for its end.
NOISY = 1.8
# Noise comes in stretches of 150 ms; an older figure than this is often wrong.
FRESH_S = 0.02
# Shortest time between two questions to the target, seconds: 40 a second and target
# at most, under the 60 that the users allow.
MIN_PROBE_GAP_S = 0.025
# A target that answers without a figure is not asked again for this long, seconds.
MUTE_S = 2.0
# A target that has been slow for this long is not noisy but slow; calls start there.
MAX_HOLD_S = 0.8
# Expected rest of a stretch of noise, seconds: half of one, and often another.
REST_S = 0.1


class StartDecision(enum.Enum):
    """What to do with a call that could start."""

    START = "start"
    PROBE = "probe"
    HOLD = "hold"


class NoiseDetector:
    """The newest figure of a target and its age.

    Attributes
    ----------
    slowdown : float
        How many times as long as usual work takes.
    """

    def __init__(self):
        self.slowdown = 1.0
        self._told_at = None
        self._mute_until = 0.0
        self._probed_at = None
        self._noisy_since = None

    def note(self, slowdown, now):
        """Take a figure that has just come."""
        self.slowdown = slowdown
        self._told_at = now
        if slowdown < NOISY:
            self._noisy_since = None
        elif self._noisy_since is None:
            self._noisy_since = now

    def is_noisy(self, now):
        """Return whether a call should not start because of noise."""
        since = self._noisy_since
        return since is not None and now - since < MAX_HOLD_S

    def rest_s(self, now):
        """Return how long the noise is expected to go on, seconds."""
        return REST_S if self.is_noisy(now) else 0.0

    def decide(self, now):
        """Return whether a call may start, must wait, or the target must be asked."""
        if now < self._mute_until:
            return StartDecision.START
        fresh = self._told_at is not None and now - self._told_at <= FRESH_S
        if fresh:
            return StartDecision.HOLD if self.is_noisy(now) else StartDecision.START
        if self._probed_at is not None and now - self._probed_at < MIN_PROBE_GAP_S:
            return StartDecision.HOLD
        return StartDecision.PROBE

    def probe_started(self, now):
        """Note that the target is being asked."""
        self._probed_at = now

    def probe_failed(self, now):
        """Note that the target gave no figure; calls start without one."""
        self._mute_until = now + MUTE_S
        self._noisy_since = None
