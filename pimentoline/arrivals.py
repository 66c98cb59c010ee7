"""pimentoline.arrivals: arrival times of requests that waited for a paused process."""

import asyncio

__all__ = ["ArrivalClock"]

CHECK_INTERVAL_S = 0.1
# Shorter gaps between checks do not count as a pause, because the event loop of a
# loaded process runs late.
MIN_PAUSE_S = 0.5
# Requests read within this time after a pause may have waited in the kernel.
AFTER_PAUSE_S = 0.25


class ArrivalClock:
    """Determines the earliest time at which a request just read may have arrived.

    A request that reaches a stopped process (SIGSTOP) waits in the kernel, and its
    `X-Deadline-Ms`, the time in which it must be answered, is read only after the
    process has resumed. It is then only safe to count this time from the last check
    before the pause.

    Parameters
    ----------
    clock : callable
        Monotonic clock, seconds.
    """

    def __init__(self, clock):
        self._clock = clock
        self._checked_at = clock()
        self._paused_at = self._checked_at
        self._after_pause_until = self._checked_at
        self._handle = None

    def start(self):
        """Check for pauses now and every `CHECK_INTERVAL_S`."""
        self.check()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(CHECK_INTERVAL_S, self.start)

    def stop(self):
        """Stop the checks."""
        if self._handle is not None:
            self._handle.cancel()

    def check(self):
        """Detect a pause since the last check."""
        now = self._clock()
        if now - self._checked_at > MIN_PAUSE_S:
            self._paused_at = self._checked_at
            self._after_pause_until = now + AFTER_PAUSE_S
        self._checked_at = now

    def earliest(self, now):
        """Return the earliest arrival time of a request read at `now`, seconds."""
        if now - self._checked_at > MIN_PAUSE_S:
            # The process has just resumed, and `check` has not run since.
            return self._checked_at
        return self._paused_at if now < self._after_pause_until else now
