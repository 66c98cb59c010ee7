"""pimentoline.metrics: counters and timings, kept here and sent by statsd."""

from collections import Counter

from statsd import StatsClient

__all__ = ["Metrics"]


class Metrics:
    """Counters of one node.

    Parameters
    ----------
    client : StatsClient or None
    """

    def __init__(self, client=None):
        self._client = client
        self.counters = Counter()

    @classmethod
    def from_config(cls, cfg):
        """Make the metrics that the settings ask for."""
        if cfg.statsd_addr is None:
            return cls()
        ip, port = cfg.statsd_addr
        return cls(StatsClient(ip, port, prefix="pimentoline"))

    def count(self, name, amount=1):
        """Increase a counter."""
        self.counters[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)
