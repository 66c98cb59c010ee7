"""Shared fixtures: processes of the system, started and ended by id."""

import pytest

from standins.cluster import Cluster, Process, http, wait_until

__all__ = ["Cluster", "Process", "cluster", "http", "wait_until"]


@pytest.fixture
def cluster():
    """Yield an empty `Cluster` and end its processes afterwards."""
    found = Cluster()
    yield found
    found.close()
