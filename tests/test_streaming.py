"""Tests that a node streams bodies in both directions."""

import http.client
import json
import time

from .conftest import wait_until

BODY_BYTES = 200 * 1000 * 1000
MAX_GROWTH_KIB = 8 * 1024


def peak_memory_kib(process):
    """Return the peak resident memory of a process in KiB."""
    with open(f"/proc/{process.popen.pid}/status") as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1])


def start_node_and_target(cluster):
    """Start a node and a target; return the node and a connection to it."""
    node = cluster.start_node("n1")
    cluster.start_target("t1", "n1")
    wait_until(lambda: cluster.knows_target("n1", "t1"))
    cluster.call("n1", "/?size=65536")
    return node, http.client.HTTPConnection(*node.info["data"], timeout=30)


def test_upload_of_200_mb_keeps_memory_constant(cluster):
    """Guards against a node that buffers an upload until the target reads it."""
    node, conn = start_node_and_target(cluster)
    before = peak_memory_kib(node)
    piece = bytes(1000 * 1000)
    headers = {"Host": "hive-ledger", "Content-Length": str(BODY_BYTES)}
    conn.request("POST", "/", (piece for _ in range(200)), headers)
    response = conn.getresponse()
    assert json.loads(response.read())["received"] == BODY_BYTES
    assert peak_memory_kib(node) - before < MAX_GROWTH_KIB


def test_slow_reader_of_200_mb_keeps_memory_constant(cluster):
    """Guards against a node that buffers a response until the caller reads it."""
    node, conn = start_node_and_target(cluster)
    before = peak_memory_kib(node)
    conn.request("GET", f"/?size={BODY_BYTES}", headers={"Host": "hive-ledger"})
    response = conn.getresponse()
    received = len(response.read(64 * 1024))
    # The caller pauses for longer than the 1.5 s in which a node without back-pressure
    # reads the whole body.
    paused_until = time.monotonic() + 2.0
    while time.monotonic() < paused_until:
        assert peak_memory_kib(node) - before < MAX_GROWTH_KIB
        time.sleep(0.05)
    while piece := response.read(64 * 1024):
        received += len(piece)
    assert received == BODY_BYTES
    assert peak_memory_kib(node) - before < MAX_GROWTH_KIB
