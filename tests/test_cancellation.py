"""Tests that a call is cancelled when its caller disconnects."""

import socket

from .conftest import wait_until


def test_caller_that_disconnects_cancels_its_call(cluster):
    """Guards against a node that keeps calls whose callers have disconnected."""
    cluster.start_node("n1")
    cluster.start_target("t1", "n1", delay_s=5)
    wait_until(lambda: cluster.knows_target("n1", "t1"))
    with socket.create_connection(tuple(cluster.nodes["n1"].info["data"])) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: hive-ledger\r\n\r\n")
        calls = lambda: cluster.admin("n1", "/v1/status")[1]["calls"]  # noqa: E731
        wait_until(lambda: calls() == 1, 2, "the call in flight")
    wait_until(lambda: calls() == 0, 2, "the call to be cancelled")
