"""Steps for requests to the data port of a node."""

import http.client
import itertools
import json

from behave import given, then, when

from tests.conftest import wait_until
from tests.raw_sockets import RawTarget, connect, read_all
from tests.target_faults import FAULTS, never_respond

SERVICE_NUMBERS = itertools.count(1)
# `send` replaces `{service}` by the service of the scenario.
HOST_LINE = "Host: {service}"
# Method and header lines of requests that the node must reject, by the text of the
# step "a caller sends a request with ...".
DEFECTS = {
    "no Host": ("GET", []),
    # A service name must not contain an underscore.
    "a Host that is no service": ("GET", ["Host: a_b"]),
    "two Hosts": ("GET", [HOST_LINE, HOST_LINE]),
    "an unknown service": ("GET", ["Host: nowhere"]),
    "a deadline that is no number": ("GET", [HOST_LINE, "X-Deadline-Ms: 1e3"]),
    "a negative deadline": ("GET", [HOST_LINE, "X-Deadline-Ms: -5"]),
    "a deadline that has passed": ("POST", [HOST_LINE, "X-Deadline-Ms: 0"]),
    "an unknown class": ("GET", [HOST_LINE, "X-Call-Class: urgent"]),
    "a depth that is no number": ("GET", [HOST_LINE, "X-Call-Depth: deep"]),
    "an empty key": ("POST", [HOST_LINE, "Idempotency-Key:"]),
    "two keys": ("POST", [HOST_LINE, "Idempotency-Key: a", "Idempotency-Key: b"]),
    "a key of 256 characters": ("POST", [HOST_LINE, "Idempotency-Key: " + "k" * 256]),
    "a length that is no number": ("POST", [HOST_LINE, "Content-Length: ten"]),
    "two unequal lengths": (
        "POST",
        [HOST_LINE, "Content-Length: 1", "Content-Length: 2"],
    ),
    "length and chunks": (
        "POST",
        [HOST_LINE, "Content-Length: 1", "Transfer-Encoding: chunked"],
    ),
    "an unknown coding": ("POST", [HOST_LINE, "Transfer-Encoding: gzip, chunked"]),
    # The node can forward a chunked body only with POST, PUT and PATCH.
    "a chunked DELETE": ("DELETE", [HOST_LINE, "Transfer-Encoding: chunked"]),
    "an unknown expectation": ("POST", [HOST_LINE, "Content-Length: 1", "Expect: tea"]),
    "CONNECT": ("CONNECT", [HOST_LINE]),
    "a head of 100 KB": ("GET", [HOST_LINE, "X-Large: " + "x" * 100_000]),
}


@given("a target that {fault}")
def step_target(context, fault):
    """Announce a target with a fault as the only target of a new service.

    A target that refuses connections is announced after it has closed its port. For
    this fault, `never_respond` is a placeholder that is never called.
    """
    number = next(SERVICE_NUMBERS)
    context.service = f"service-{number}"
    context.target = RawTarget(FAULTS.get(fault, never_respond))
    context.add_cleanup(context.target.close)
    if fault == "refuses connections":
        context.target.close()
    body = {"service": context.service, "addr": context.target.addr}
    context.cluster.admin("n1", f"/v1/targets/raw-{number}", "PUT", body)


def send(context, method, headers, body=b"", version="HTTP/1.1"):
    """Send one request to node n1 on a new connection, and return the socket."""
    sock = connect(context.cluster.nodes["n1"])
    context.add_cleanup(sock.close)
    lines = [f"{method} / {version}", *headers, "", ""]
    head = "\r\n".join(lines).format(service=context.service)
    sock.sendall(head.encode() + body)
    return sock


def read_response(context, sock, method):
    """Read one response and save it in the context."""
    response = http.client.HTTPResponse(sock, method=method)
    response.begin()
    context.response, context.body = response, response.read()


@when("a caller sends {method} with {deadline_ms:d} ms left")
def step_call(context, method, deadline_ms):
    """Send one call, with a body if it is a POST."""
    headers = [HOST_LINE, f"X-Deadline-Ms: {deadline_ms}"]
    body = b"sale" if method == "POST" else b""
    if body:
        headers.append("Content-Length: 4")
    read_response(context, send(context, method, headers, body), method)


@when("a caller of {version} sends GET and reads to the end")
def step_read_to_end(context, version):
    """Send a GET and read until the node closes or resets the connection."""
    sock = send(context, "GET", [HOST_LINE, "Connection: close"], version=version)
    context.received = read_all(sock)


@when("a caller sends a request with {defect}")
def step_invalid_request(context, defect):
    """Send a request that the node has to reject."""
    method, headers = DEFECTS[defect]
    read_response(context, send(context, method, headers), method)


@when("a caller closes after 5 of 10 bytes of its body")
def step_disconnect(context):
    """Send half of a body, and disconnect after the target has read the headers."""
    sock = send(context, "POST", [HOST_LINE, "Content-Length: 10"], b"12345")
    wait_until(
        lambda: context.target.heads, message="the request headers at the target"
    )
    sock.close()


@then("the answer is {status:d} with verdict {verdict} and code {code}")
def step_check_response(context, status, verdict, code):
    """Check status, verdict and code, in the headers and in the body."""
    response = context.response
    received = (
        response.status,
        response.getheader("X-Verdict", "none"),
        response.getheader("X-Error-Code", "none"),
    )
    assert received == (status, verdict, code), (received, context.body)
    if code != "none":
        error = json.loads(context.body)
        assert (error["verdict"], error["error"]) == (verdict, code), error


@then("the caller sees a cut answer")
def step_incomplete_response(context):
    """Check that the caller can tell that the response is incomplete.

    The response is an error, or the connection is reset before the end of the body.
    """
    data, was_reset = context.received
    assert was_reset or b"X-Error-Code: answer-cut" in data, data
    assert not data.endswith(b"0\r\n\r\n"), data


@then("the target has received nothing")
def step_no_request(context):
    """Check that no request reached the target."""
    assert context.target.heads == []


@then("the target has received 5 bytes and the end of the connection")
def step_incomplete_body(context):
    """Check that the target received a part of the body, then a closed connection.

    The target that "reads to the end" saves bytes of the body in `heads` instead of
    request heads: first those that arrived together with the request head, then those
    up to the end of the connection.
    """
    wait_until(
        lambda: len(context.target.heads) == 2, message="the end of the connection"
    )
    assert b"".join(context.target.heads) == b"12345"
