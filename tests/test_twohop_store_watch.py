"""Tests of how nodes follow the store's tables when responses are missing or odd."""

import asyncio
import time

from .test_twohop_path import cluster_test, config

# The time without disruption after which a change must be in force again, seconds.
STABLE_S = 3.0


@cluster_test
async def test_change_is_in_force_in_time_after_all_watches_went_silent(cluster):
    """Guards against watches that all end together, long after they went silent."""
    nodes = [(await cluster.add(ready=False))[0] for _ in range(3)]
    await cluster.until(lambda: all(len(node.peers.members) == 3 for node in nodes))
    cluster.store.put_config(config(2))
    await cluster.until(lambda: all(node.config.version == 2 for node in nodes))
    # Each node has read the change and waits for the next one.
    await asyncio.sleep(0.1)
    cluster.store.silence_feeds()
    silent_at = time.monotonic()
    cluster.store.put_config(config(3))
    await cluster.until(lambda: all(node.config.version == 3 for node in nodes), 20.0)
    assert time.monotonic() - silent_at < STABLE_S
