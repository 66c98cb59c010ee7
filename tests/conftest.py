"""Shared fixtures, and helpers for child processes that many tests import."""

import pytest

from standins.cluster import Cluster, Process, http, wait_until

__all__ = ["Cluster", "Process", "cluster", "http", "wait_until"]


@pytest.fixture
def cluster():
    """Yield a `Cluster` without processes; kill those that the test started."""
    empty = Cluster()
    yield empty
    empty.close()
