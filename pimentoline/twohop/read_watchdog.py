"""pimentoline.twohop.read_watchdog: notices that no node has read a table for long."""

import asyncio
import random

from . import watch_schedule

__all__ = ["ReadWatchdog"]


class ReadWatchdog:
    """Calls a function when no read of a table has been noted for too long.

    Parameters
    ----------
    on_overdue : callable
        `on_overdue(silent_s)` is called with the time without a read, seconds, and
        again each time that as much time passes without one.
    """

    def __init__(self, on_overdue):
        self._on_overdue = on_overdue
        self._random = random.Random()
        self._timer = None
        # Time of the event loop, seconds.
        self._last_read_at = 0.0
        self._fired_at = 0.0
        self._overdue_after_s = 0.0

    def start(self):
        """Begin to wait for reads."""
        loop = asyncio.get_running_loop()
        self._last_read_at = self._fired_at = loop.time()
        self._arm(loop)

    def stop(self):
        """Call the function no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def note_read(self):
        """Note a read by this node or another; return the time since the last one."""
        now = asyncio.get_running_loop().time()
        since_last_s, self._last_read_at = now - self._last_read_at, now
        return since_last_s

    def _overdue_at(self):
        return max(self._last_read_at, self._fired_at) + self._overdue_after_s

    def _arm(self, loop):
        self._overdue_after_s = watch_schedule.overdue_after_s(self._random.random())
        self._timer = loop.call_at(self._overdue_at(), self._check)

    def _check(self):
        loop = asyncio.get_running_loop()
        now, overdue_at = loop.time(), self._overdue_at()
        if now < overdue_at:
            # A read does not move the timer, which would cost more than this.
            self._timer = loop.call_at(overdue_at, self._check)
            return
        self._fired_at = now
        self._arm(loop)
        self._on_overdue(now - self._last_read_at)
