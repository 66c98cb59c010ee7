"""pimentoline.twohop.noise: whether a call may start at a target now.

Deals with noisy neighbours, other programs on a target's host that slow it down for
moments. A target reports its current slowdown. At the targets of both known
deployments, a call that starts during noise is slowed down until its end, even if the
noise ends 20 ms after its start. A call therefore waits until the noise ends, and the
target is probed first if its last report is too old.
"""

import enum

__all__ = ["NoiseDetector", "StartDecision"]

# Slowdown from which on calls wait for the end of the noise.
NOISY_SLOWDOWN = 1.8
# Age at which a report is too old, seconds. A period of noise lasts about 150 ms, so
# that an older report is often wrong.
MAX_REPORT_AGE_S = 0.02
# Shortest time between two probes of a target, seconds. This allows 40 a second for
# each target; operators allow 60.
MIN_PROBE_GAP_S = 0.025
# A target that did not report a slowdown when probed is not probed for this long,
# seconds.
FAILED_PROBE_PAUSE_S = 2.0
# A target that has been slow for longer than this is not noisy but permanently slow,
# and calls start there, seconds.
MAX_HOLD_S = 0.8
# Expected remaining time of a period of noise, seconds: half of such a period, and the
# next one often follows at once.
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
        Let it wait for the end of noise or for the result of a probe.
    """

    START = "start"
    PROBE = "probe"
    HOLD = "hold"


class NoiseDetector:
    """Tells noise at a target from its reports of slowdown.

    Attributes
    ----------
    slowdown : float
        Last reported slowdown, 1 at the target's usual speed.
    """

    def __init__(self):
        self.slowdown = 1.0
        self._reported_at = None
        self._probes_paused_until = 0.0
        self._probed_at = None
        self._noisy_since = None

    def note(self, slowdown, now):
        """Record a slowdown that the target has just reported."""
        self.slowdown = slowdown
        self._reported_at = now
        if slowdown < NOISY_SLOWDOWN:
            self._noisy_since = None
        elif self._noisy_since is None:
            self._noisy_since = now

    def is_noisy(self, now):
        """Return whether calls should wait because of noise."""
        since = self._noisy_since
        return since is not None and now - since < MAX_HOLD_S

    def remaining_s(self, now):
        """Return how much longer the noise is expected to last, seconds."""
        return EXPECTED_REMAINING_S if self.is_noisy(now) else 0.0

    def decide(self, now):
        """Return the `StartDecision` for a call."""
        if now < self._probes_paused_until:
            return StartDecision.START
        is_current = (
            self._reported_at is not None
            and now - self._reported_at <= MAX_REPORT_AGE_S
        )
        if is_current:
            return StartDecision.HOLD if self.is_noisy(now) else StartDecision.START
        if self._probed_at is not None and now - self._probed_at < MIN_PROBE_GAP_S:
            return StartDecision.HOLD
        return StartDecision.PROBE

    def probe_started(self, now):
        """Record that a probe of the target has started."""
        self._probed_at = now

    def probe_failed(self, now):
        """Record that a probe gave no slowdown; calls start without one for a time."""
        self._probes_paused_until = now + FAILED_PROBE_PAUSE_S
        self._noisy_since = None
