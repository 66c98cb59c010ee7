"""pimentoline.arrivals: when a request may have arrived at a paused process."""

import asyncio

__all__ = ["ArrivalClock"]

BEAT_S = 0.1
# The event loop of a loaded process beats later than planned; only a longer gap
# is taken for a pause.
PAUSE_S = 0.5
# Requests that waited in the kernel are read within this time after a pause.
AFTER_PAUSE_S = 0.25


class ArrivalClock:
    """Tells the earliest time at which a request just read may have arrived.

    A request that reaches a stopped process (SIGSTOP) waits in the kernel, and its
    `X-Deadline-Ms` is read only after the process has resumed. The time of the
    last beat before the pause is then the only safe start of its deadline.

    Parameters
    ----------
    clock : callable
        Monotonic clock, seconds.
    """

    def __init__(self, clock):
        self._clock = clock
        self._last = clock()
        self._paused_at = self._last
        self._paused_until = self._last
        self._handle = None

    def start(self):
        """Begin to beat."""
        self.beat()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(BEAT_S, self.start)

    def stop(self):
        """Stop beating."""
        if self._handle is not None:
            self._handle.cancel()

    def beat(self):
        """Note that the event loop runs."""
        now = self._clock()
        if now - self._last > PAUSE_S:
            self._paused_at = self._last
            self._paused_until = now + AFTER_PAUSE_S
        self._last = now

    def earliest(self, now):
        """Return the earliest arrival of a request read at `now`, seconds."""
        if now - self._last > PAUSE_S:
            return self._last
        return self._paused_at if now < self._paused_until else now
