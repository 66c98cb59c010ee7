"""pimentoline.twohop.noise: detects noisy neighbours of a target.

Noisy neighbours are other programs on a target's host that slow the target down for
short periods. A target reports its current slowdown: how many times as long as usual
its calls take. In the two known deployments of pimentoline, a call that starts during
noise is slow for its whole duration, even if the noise stops 20 ms after the start of
the call. A call therefore waits until the noise ends. If the last report is too old to
tell whether there is noise, the target is probed before a call starts.
"""

import enum

__all__ = ["NoiseDetector", "StartDecision"]

# Smallest reported slowdown that is taken for noise.
MIN_NOISE_SLOWDOWN = 1.8
# A report older than this does not permit a call to start, seconds. A period of noise
# lasts about 150 ms, so an older report is often wrong.
MAX_REPORT_AGE_S = 0.02
# Shortest time between two probes of a target, seconds. This limits each target to 40
# probes per second; the operators of both deployments allow 60.
MIN_PROBE_GAP_S = 0.025
# After a probe that failed or whose response did not contain the slowdown, the target
# is not probed for this long, seconds.
FAILED_PROBE_PAUSE_S = 2.0
# Calls are held for at most this long after the first of consecutive reports of noise,
# seconds. A target that is slow for longer is taken to be permanently slow, and calls
# start there.
MAX_HOLD_S = 0.8
# Expected remaining time of noise, seconds: half a period, plus a margin because the
# next period often follows at once.
EXPECTED_REMAINING_S = 0.1


class StartDecision(enum.Enum):
    """What to do with a call for which a slot is free.

    Attributes
    ----------
    START
        Start it.
    PROBE
        Probe the target for its slowdown first.
    HOLD
        Keep it waiting for the end of the noise or for the result of a probe.
    """

    START = "start"
    PROBE = "probe"
    HOLD = "hold"


class NoiseDetector:
    """Detects noise at a target from the slowdown that the target reports.

    Attributes
    ----------
    slowdown : float
        Last reported ratio of the duration of the target's calls to their usual
        duration; 1 at its usual speed.
    """

    def __init__(self):
        self.slowdown = 1.0
        self._reported_at = None
        self._probes_paused_until = 0.0
        self._probed_at = None
        self._noise_since = None

    def record_slowdown(self, slowdown, now):
        """Record the slowdown that the target reported at `now`, monotonic seconds."""
        self.slowdown = slowdown
        self._reported_at = now
        if slowdown < MIN_NOISE_SLOWDOWN:
            self._noise_since = None
        elif self._noise_since is None:
            self._noise_since = now

    def detects_noise(self, now):
        """Return whether noise slows the target down, so that calls should wait."""
        since = self._noise_since
        return since is not None and now - since < MAX_HOLD_S

    def remaining_s(self, now):
        """Return how much longer the noise is expected to last, seconds."""
        return EXPECTED_REMAINING_S if self.detects_noise(now) else 0.0

    def decide(self, now):
        """Return the `StartDecision` for the next call."""
        if now < self._probes_paused_until:
            return StartDecision.START
        is_current = (
            self._reported_at is not None
            and now - self._reported_at <= MAX_REPORT_AGE_S
        )
        if is_current:
            return (
                StartDecision.HOLD if self.detects_noise(now) else StartDecision.START
            )
        if self._probed_at is not None and now - self._probed_at < MIN_PROBE_GAP_S:
            return StartDecision.HOLD
        return StartDecision.PROBE

    def probe_started(self, now):
        """Record that a probe of the target has started."""
        self._probed_at = now

    def probe_failed(self, now):
        """Record that a probe failed or its response did not contain the slowdown.

        Calls start without a probe for the next `FAILED_PROBE_PAUSE_S`.
        """
        self._probes_paused_until = now + FAILED_PROBE_PAUSE_S
        self._noise_since = None
