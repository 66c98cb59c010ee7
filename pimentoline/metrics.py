"""pimentoline.metrics: counters and timings, kept here and sent by statsd."""

import time
from collections import Counter

from statsd import StatsClient

__all__ = ["Metrics"]

PREFIX = "pimentoline"
# Counters change with each call; sending sums costs one datagram instead of hundreds.
FLUSH_S = 1.0


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
        """Make the metrics that the settings ask for."""
        if cfg.statsd_addr is None:
            return cls()
        ip, port = cfg.statsd_addr
        return cls(StatsClient(ip, port, prefix=PREFIX))

    def count(self, name, amount=1):
        """Increase a counter of `metric_names.METRICS`."""
        self.counters[name] += amount
        if self._client is not None:
            self._unsent[name] += amount
            if self._clock() - self._flushed_at >= FLUSH_S:
                self.flush()

    def timing(self, name, seconds):
        """Record one duration, sent in milliseconds."""
        ms = seconds * 1000.0
        held = self.timings.setdefault(
            name, {"count": 0, "last_ms": 0.0, "max_ms": 0.0}
        )
        held["count"] += 1
        held["last_ms"] = ms
        held["max_ms"] = max(held["max_ms"], ms)
        if self._client is not None:
            self._client.timing(name, ms)

    def flush(self):
        """Send what was counted since the last time."""
        self._flushed_at = self._clock()
        if self._client is None or not self._unsent:
            return
        with self._client.pipeline() as pipe:
            for name, amount in self._unsent.items():
                pipe.incr(name, amount)
        self._unsent.clear()
