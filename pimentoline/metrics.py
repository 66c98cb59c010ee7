"""pimentoline.metrics: counters and timings, kept in memory and sent to statsd."""

import time
from collections import Counter

from statsd import StatsClient

__all__ = ["Metrics"]

PREFIX = "pimentoline"
# Counters change with each call. Sending their sums at this interval takes one datagram
# instead of hundreds.
FLUSH_INTERVAL_S = 1.0


class Metrics:
    """Counters and timings of one node.

    Parameters
    ----------
    client : StatsClient or None
    clock : callable
        Monotonic clock, seconds.

    Attributes
    ----------
    counters : Counter
        Sums since the start, by name.
    timings : dict of str to dict
        `count`, `last_ms` and `max_ms` since the start, by name.
    """

    def __init__(self, client=None, clock=time.monotonic):
        self._client = client
        self._clock = clock
        self._unsent = Counter()
        self._flushed_at = clock()
        self.counters = Counter()
        self.timings = {}

    @classmethod
    def from_config(cls, cfg):
        """Return metrics that are sent to the statsd server in the settings, if any."""
        if cfg.statsd_addr is None:
            return cls()
        ip, port = cfg.statsd_addr
        return cls(StatsClient(ip, port, prefix=PREFIX))

    def count(self, name, amount=1):
        """Increase a counter, one of `metric_names.METRICS`."""
        self.counters[name] += amount
        if self._client is not None:
            self._unsent[name] += amount
            if self._clock() - self._flushed_at >= FLUSH_INTERVAL_S:
                self.flush()

    def timing(self, name, seconds):
        """Record a duration in seconds; statsd receives it in milliseconds."""
        ms = seconds * 1000.0
        stats = self.timings.setdefault(
            name, {"count": 0, "last_ms": 0.0, "max_ms": 0.0}
        )
        stats["count"] += 1
        stats["last_ms"] = ms
        stats["max_ms"] = max(stats["max_ms"], ms)
        if self._client is not None:
            self._client.timing(name, ms)

    def flush(self):
        """Send the counts since the last flush."""
        self._flushed_at = self._clock()
        if self._client is None or not self._unsent:
            return
        with self._client.pipeline() as pipe:
            for name, amount in self._unsent.items():
                pipe.incr(name, amount)
        self._unsent.clear()
