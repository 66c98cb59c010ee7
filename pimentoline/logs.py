"""pimentoline.logs: structured logs through eliot, on standard error."""

import sys
import time

import eliot

__all__ = ["RateLimitedLog", "configure_logs", "log_entry"]

# Above this rate, an overloaded node would spend more time on log entries than on the
# calls that it refuses.
MAX_ENTRIES_PER_S = 40


def configure_logs():
    """Write log entries as lines of JSON to standard error."""
    eliot.to_file(sys.stderr)


def log_entry(name, **fields):
    """Write one entry; names and fields are listed in docs/operations.md."""
    eliot.log_message(message_type=name, **fields)


class RateLimitedLog:
    """Writes log entries about calls, up to a limit per second.

    The field `suppressed` of the next entry has the number of entries left out.

    Parameters
    ----------
    clock : callable
        Monotonic clock, seconds.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._second = None
        self._written = 0
        self._suppressed = 0

    def entry(self, name, **fields):
        """Write an entry, or only count it if the limit of this second is reached."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written = 0
        if self._written >= MAX_ENTRIES_PER_S:
            self._suppressed += 1
            return
        self._written += 1
        if self._suppressed:
            fields["suppressed"], self._suppressed = self._suppressed, 0
        log_entry(name, **fields)
