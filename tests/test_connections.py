"""Tests of connections to targets and callers, and of a paused process.

A "silent" connection stays open but no longer carries data. The argument `number` of a
`serve` function counts the connections to the target from 0.
"""

import http.client
import json
import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from pimentoline.streams import LINGER_RESET

from .conftest import wait_until
from .raw_sockets import connect, raw_target, read_all, read_head, serve_responses

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
STRAY = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"


@pytest.mark.parametrize("first", ["GET", "HEAD"])
def test_surplus_bytes_are_not_the_response_to_the_next_call(cluster, first):
    """Guards against a response that reaches the caller of another request."""
    cluster.start_node("n1")
    surplus = OK + STRAY if first == "GET" else STRAY
    with raw_target(cluster, serve_responses(surplus, OK)):
        cluster.call("n1", "/first", method=first)
        assert cluster.call("n1", "/second")[2] == b"ok"


def test_clean_connection_is_reused(cluster):
    """Guards against a pool that opens a connection for each call."""
    cluster.start_node("n1")
    with raw_target(cluster, serve_responses(OK)) as target:
        for _ in range(5):
            assert cluster.call("n1", "/")[0] == 200
        assert target.connections == 1


def test_response_before_the_end_of_an_upload_reaches_the_caller(cluster):
    """Guards against an early response that is lost with the caller's connection."""
    cluster.start_node("n1")
    refusal = b"HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig"
    with raw_target(cluster, serve_responses(refusal)) as target:
        conn = http.client.HTTPConnection(*cluster.nodes["n1"].info["data"], timeout=5)
        headers = {"Host": "hive-ledger", "Content-Length": "20000000"}
        conn.request("POST", "/", (bytes(1000_000) for _ in range(20)), headers)
        response = conn.getresponse()
        assert (response.status, response.read()) == (413, b"big")
        assert cluster.call("n1", "/")[0] == 413
        assert target.connections == 2


def _end_sending_and_reset(sock):
    sock.shutdown(socket.SHUT_WR)
    time.sleep(0.1)
    _reset(sock)


def _reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    sock.close()


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("end", [_reset, _end_sending_and_reset])
def test_response_cut_during_an_upload_is_a_failure(cluster, end, chunked):
    """Guards against a part of a body without a length, passed on as the whole one."""

    def serve(target, sock, number):
        if target.read_request(sock):
            sock.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
            # The node must have read the head, since the verdict depends on it.
            time.sleep(0.5)
            end(sock)

    def pieces():
        for _ in range(20):
            yield bytes(100_000)
            time.sleep(0.04)

    cluster.start_node("n1")
    with raw_target(cluster, serve):
        conn = http.client.HTTPConnection(*cluster.nodes["n1"].info["data"], timeout=5)
        headers = {"Host": "hive-ledger"}
        if not chunked:
            headers["Content-Length"] = "2000000"
        conn.request("POST", "/", pieces(), headers, encode_chunked=chunked)
        response = conn.getresponse()
        assert response.status == 502
        assert json.loads(response.read())["verdict"] == "ran"


def test_refusal_before_the_end_of_an_upload_reaches_the_caller(cluster):
    """Guards against a refusal that is lost because the caller is still sending."""
    cluster.start_node("n1")
    conn = http.client.HTTPConnection(*cluster.nodes["n1"].info["data"], timeout=5)
    for bad in ({"X-Deadline-Ms": "x"}, {"Host": "nowhere"}):
        headers = {"Host": "hive-ledger", "Content-Length": "20000000", **bad}
        conn.request("POST", "/", (bytes(1000_000) for _ in range(20)), headers)
        response = conn.getresponse()
        assert response.status in (400, 503)
        assert json.loads(response.read())["verdict"] == "not-run"


def test_expect_header_is_handled_by_the_node(cluster):
    """Guards against a missing 100 Continue, and `Expect` forwarded to a target."""
    cluster.start_node("n1")
    with raw_target(cluster, serve_responses(OK)) as target:
        with connect(cluster.nodes["n1"]) as sock:
            sock.sendall(
                b"POST / HTTP/1.1\r\nHost: hive-ledger\r\nContent-Length: 4\r\n"
                b"Expect: 100-Continue\r\n\r\n"
            )
            assert b" 100 " in read_head(sock)[0][0]
            sock.sendall(b"sale")
            assert read_head(sock)[0][0] == b"HTTP/1.1 200 OK"
        assert not any(b"expect" in line.lower() for line in target.heads[0])


def test_hop_by_hop_headers_are_not_forwarded(cluster):
    """Guards against forwarded hop-by-hop headers and a lost `Content-Length`.

    A caller could have `Content-Length` removed by naming it in `Connection`.
    """
    cluster.start_node("n1")
    response_with_hop = OK.replace(
        b"\r\n\r\n", b"\r\nConnection: X-Hop\r\nX-Hop: 1\r\n\r\n"
    )
    with raw_target(cluster, serve_responses(response_with_hop)) as target:
        headers = {
            "Host": "hive-ledger",
            "Connection": "x-secret, content-length",
            "X-Secret": "1",
            "Te": "trailers",
            "X-Deadline-Ms": "5000",
            "X-Kept": "1",
        }
        conn = http.client.HTTPConnection(*cluster.nodes["n1"].info["data"], timeout=5)
        conn.request("POST", "/", b"sale", headers)
        response = conn.getresponse()
        seen = dict(line.split(b": ", 1) for line in target.heads[0][1:])
    assert response.read() == b"ok" and response.getheader("X-Hop") is None
    assert seen[b"Content-Length"] == b"4" and seen[b"X-Kept"] == b"1"
    assert not {b"X-Secret", b"Te", b"Connection"} & set(seen)
    assert 4000 < int(seen[b"X-Deadline-Ms"]) <= 5000
    assert seen[b"X-Call-Depth"] == b"1"


def test_silent_connections_fail_one_call_and_eject_no_target(cluster):
    """Guards against one failed call per idle connection if several go silent at once.

    The first failure closes the other idle connections to the target.
    """
    cluster.start_node("n1")
    silent = threading.Event()

    def serve(target, sock, number):
        while target.read_request(sock):
            if silent.is_set() and number < 2:
                continue
            time.sleep(0.1)
            sock.sendall(OK)

    with raw_target(cluster, serve) as target:
        warm = [threading.Thread(target=cluster.call, args=("n1", "/")) for _ in "ab"]
        for thread in warm:
            thread.start()
        for thread in warm:
            thread.join()
        assert target.connections == 2
        silent.set()
        headers = {"X-Deadline-Ms": "1000"}
        status, received, body = cluster.call("n1", "/", method="POST", headers=headers)
        assert (status, received["X-Verdict"]) == (504, "may-have-run"), body
        assert json.loads(body)["error"] == "target-silent"
        assert cluster.call("n1", "/", method="POST", headers=headers)[0] == 200
        assert target.connections == 3


def test_idempotent_call_on_a_silent_connection_is_retried(cluster):
    """Guards against an attempt that waits for its response head until the deadline.

    Such an attempt would leave no time for the retry on another connection.
    """
    cluster.start_node("n1")
    silent = threading.Event()

    def serve(target, sock, number):
        while target.read_request(sock):
            if not (silent.is_set() and number == 0):
                sock.sendall(OK)

    with raw_target(cluster, serve):
        assert cluster.call("n1", "/")[0] == 200
        silent.set()
        # The deadline passes before the first hedge delay, 200 ms, so that only a retry
        # can complete the call.
        headers = {"X-Deadline-Ms": "190"}
        assert cluster.call("n1", "/", headers=headers)[0] == 200


def test_paused_node_does_not_send_a_late_call(cluster):
    """Guards against a node that resumes and sends calls after their deadlines.

    Two calls and the body of a third one arrive while the process is stopped.
    """
    node = cluster.start_node("n1")
    with raw_target(cluster, serve_responses(OK)) as target:
        assert cluster.call("n1", "/")[0] == 200
        with connect(node) as idle, connect(node) as partial:
            head = b"POST / HTTP/1.1\r\nHost: hive-ledger\r\nX-Deadline-Ms: 600\r\n"
            partial.sendall(head + b"Content-Length: 4\r\n\r\n")
            calls = lambda: cluster.admin("n1", "/v1/status")[1]["calls"]  # noqa: E731
            wait_until(lambda: calls() == 1, message="the call without its body")
            node.signal(signal.SIGSTOP)
            idle.sendall(head + b"Content-Length: 0\r\n\r\n")
            partial.sendall(b"sale")
            late = connect(node)
            late.sendall(head + b"Content-Length: 0\r\n\r\n")
            time.sleep(0.8)
            node.signal(signal.SIGCONT)
            for sock in (idle, partial, late):
                lines, _ = read_head(sock)
                assert b" 504 " in lines[0]
                assert b"X-Verdict: not-run" in lines
            late.close()
        assert len(target.heads) == 1
        # Requests read up to 0.25 s after a pause may have waited in the kernel, so
        # their deadlines count from a time before the pause.
        time.sleep(0.3)
        assert cluster.call("n1", "/", method="POST")[0] == 200


def test_calls_beyond_the_connection_limit_wait(cluster):
    """Guards against more connections than a target allows, and refused calls."""
    cluster.start_node("n1")

    def serve(target, sock, number):
        while target.read_request(sock):
            time.sleep(0.05)
            sock.sendall(OK)

    # The only node of a mesh may use nine tenths of a target's connection limit. The
    # rest is left for probes and for nodes that have a different view of the mesh.
    with (
        raw_target(cluster, serve, connections=10) as target,
        ThreadPoolExecutor(40) as callers,
    ):
        responses = list(callers.map(lambda path: cluster.call("n1", path), ["/"] * 90))
        assert [status for status, _, _ in responses] == [200] * 90
        assert target.connections == 9


def test_kept_alive_connection_closes_gracefully_when_the_node_stops(cluster):
    """Guards against a stopping node that closes a connection during a request."""
    node = cluster.start_node("n1")
    with raw_target(cluster, serve_responses(OK)):
        conn = http.client.HTTPConnection(*node.info["data"], timeout=5)
        for _ in range(2):
            conn.request("GET", "/", headers={"Host": "hive-ledger"})
            response = conn.getresponse()
            assert response.read() == b"ok" and not response.will_close
        with connect(node) as unused:
            node.signal(signal.SIGTERM)
            # The listening socket is closed once the node has handled the signal.
            wait_until(lambda: not accepts(node), message="the stop")
            conn.request("GET", "/", headers={"Host": "hive-ledger"})
            response = conn.getresponse()
            assert response.read() == b"ok" and response.will_close
            assert read_all(unused) == (b"", False)
        assert node.stop() == 0


def accepts(node):
    """Return whether the data port of a node accepts connections."""
    try:
        connect(node).close()
    except ConnectionRefusedError:
        return False
    return True


def test_refused_call_keeps_the_connection_alive(cluster):
    """Guards against a connection closed without `Connection: close` on a refusal."""
    node = cluster.start_node("n1")
    conn = http.client.HTTPConnection(*node.info["data"], timeout=5)
    conn.auto_open = False
    conn.connect()
    for method, body in [("GET", None), ("POST", b"sale"), ("GET", None)]:
        conn.request(method, "/", body, headers={"Host": "nowhere"})
        response = conn.getresponse()
        assert response.read() and response.status == 503 and not response.will_close
    conn.request("GET", "/", headers={"Host": "nowhere", "Expect": "nonsense"})
    response = conn.getresponse()
    assert response.read() and response.status == 417 and response.will_close
    conn.close()
