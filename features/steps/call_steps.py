"""Steps for the contract of the data port."""

import http.client
import itertools
import json
import socket

from behave import given, then, when

from tests.conftest import wait_until
from tests.raw import RawTarget, answering, connect, read_all, read_head

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SERVICES = itertools.count(1)


def ending(answer):
    """Return a `serve` that sends `answer` to each request and closes."""

    def serve(target, sock, number):
        if target.request(sock):
            sock.sendall(answer)
            sock.shutdown(socket.SHUT_WR)
            sock.recv(65536)

    return serve


def silent(target, sock, number):
    """Read requests without an answer."""
    while target.request(sock):
        pass


def reading(target, sock, number):
    """Read one request and everything up to the end of its connection."""
    _, rest = read_head(sock)
    target.heads.append(rest)
    target.heads.append(read_all(sock)[0])


def status(line, *headers, body=b""):
    """Return an answer."""
    head = [b"HTTP/1.1 " + line, *headers, b"", body]
    return b"\r\n".join(head)


EMPTY = b"Content-Length: 0"
FAULTS = {
    "answers 200": answering(OK),
    "answers 500": answering(status(b"500 Failed", EMPTY)),
    "answers 204": answering(status(b"204 No Content")),
    "answers 304 with a length": answering(
        status(b"304 Not Modified", b"Content-Length: 9")
    ),
    "answers HEAD with a length": answering(status(b"200 OK", b"Content-Length: 9")),
    "answers 103 and 200": answering(status(b"103 Early Hints") + OK),
    "answers with a false verdict": answering(
        status(b"200 OK", EMPTY, b"X-Verdict: not-run", b"X-Error-Code: forged")
    ),
    "sheds": answering(status(b"503 Busy", EMPTY, b"X-Not-Run: 1")),
    "closes before its head": ending(b""),
    "closes within its head": ending(b"HTTP/1.1 200 OK\r\nContent-Le"),
    "sends no HTTP": ending(b"hello\r\n\r\n"),
    "sends an endless head": ending(b"HTTP/1.1 200 OK\r\n" + b"X-A: b\r\n" * 20000),
    "answers 503 without X-Not-Run": answering(status(b"503 Busy", EMPTY)),
    "answers 500 with X-Not-Run": answering(
        status(b"500 Failed", EMPTY, b"X-Not-Run: 1")
    ),
    "stays silent": silent,
    "reads to the end": reading,
    "answers without a length": ending(status(b"200 OK", body=b"perhaps cut")),
    "answers with two lengths": ending(
        status(b"200 OK", b"Content-Length: 2", b"Content-Length: 3", body=b"abc")
    ),
    "answers 204 with a body": ending(
        status(b"204 No Content", b"Content-Length: 2", body=b"ab")
    ),
    "cuts a body with length": ending(
        status(b"200 OK", b"Content-Length: 9", body=b"abc")
    ),
    "cuts a body in chunks": ending(
        status(b"200 OK", b"Transfer-Encoding: chunked", body=b"3\r\nabc\r\n")
    ),
}
HOST = "Host: {service}"
DEFECTS = {
    "no Host": ("GET", []),
    "a Host that is no service": ("GET", ["Host: a_b"]),
    "two Hosts": ("GET", [HOST, HOST]),
    "an unknown service": ("GET", ["Host: nowhere"]),
    "a deadline that is no number": ("GET", [HOST, "X-Deadline-Ms: 1e3"]),
    "a negative deadline": ("GET", [HOST, "X-Deadline-Ms: -5"]),
    "a deadline that has passed": ("POST", [HOST, "X-Deadline-Ms: 0"]),
    "an unknown class": ("GET", [HOST, "X-Call-Class: urgent"]),
    "a depth that is no number": ("GET", [HOST, "X-Call-Depth: deep"]),
    "an empty key": ("POST", [HOST, "Idempotency-Key:"]),
    "two keys": ("POST", [HOST, "Idempotency-Key: a", "Idempotency-Key: b"]),
    "a key of 256 characters": ("POST", [HOST, "Idempotency-Key: " + "k" * 256]),
    "a length that is no number": ("POST", [HOST, "Content-Length: ten"]),
    "two unequal lengths": ("POST", [HOST, "Content-Length: 1", "Content-Length: 2"]),
    "length and chunks": (
        "POST",
        [HOST, "Content-Length: 1", "Transfer-Encoding: chunked"],
    ),
    "an unknown coding": ("POST", [HOST, "Transfer-Encoding: gzip, chunked"]),
    "a chunked DELETE": ("DELETE", [HOST, "Transfer-Encoding: chunked"]),
    "an unknown expectation": ("POST", [HOST, "Content-Length: 1", "Expect: tea"]),
    "CONNECT": ("CONNECT", [HOST]),
    "a head of 100 KB": ("GET", [HOST, "X-Large: " + "x" * 100_000]),
}


@given("a target that {fault}")
def step_target(context, fault):
    """Announce a target of a service of its own."""
    number = next(SERVICES)
    context.service = f"service-{number}"
    context.target = RawTarget(FAULTS.get(fault, silent))
    context.add_cleanup(context.target.close)
    if fault == "refuses connections":
        context.target.close()
    body = {"service": context.service, "addr": context.target.addr}
    context.cluster.admin("n1", f"/v1/targets/raw-{number}", "PUT", body)


def send(context, method, headers, body=b"", version="HTTP/1.1"):
    """Send one request to the node; return the socket."""
    sock = connect(context.cluster.nodes["n1"])
    context.add_cleanup(sock.close)
    lines = [f"{method} / {version}", *headers, "", ""]
    head = "\r\n".join(lines).format(service=context.service)
    sock.sendall(head.encode() + body)
    return sock


def read_answer(context, sock, method):
    """Read one answer into the context."""
    answer = http.client.HTTPResponse(sock, method=method)
    answer.begin()
    context.answer, context.body = answer, answer.read()


@when("a caller sends {method} with 400 ms left")
def step_call(context, method):
    """Send one call, with a body if it is a POST."""
    headers = [HOST, "X-Deadline-Ms: 400"]
    body = b"sale" if method == "POST" else b""
    if body:
        headers.append("Content-Length: 4")
    read_answer(context, send(context, method, headers, body), method)


@when("a caller of {version} sends GET and reads to the end")
def step_read_to_end(context, version):
    """Read everything up to the end of the connection."""
    sock = send(context, "GET", [HOST, "Connection: close"], version=version)
    context.received = read_all(sock)


@when("a caller sends a request with {defect}")
def step_defect(context, defect):
    """Send a request head that is not allowed."""
    method, headers = DEFECTS[defect]
    read_answer(context, send(context, method, headers), method)


@when("a caller closes after 5 of 10 bytes of its body")
def step_break_off(context):
    """Send half of a request and wait until the target has seen its head."""
    sock = send(context, "POST", [HOST, "Content-Length: 10"], b"12345")
    wait_until(lambda: context.target.heads, message="the head at the target")
    sock.close()


@then("the answer is {status:d} with verdict {verdict} and code {code}")
def step_answer(context, status, verdict, code):
    """Check status, verdict and code, in the headers and in the body."""
    answer = context.answer
    seen = (
        answer.status,
        answer.getheader("X-Verdict", "none"),
        answer.getheader("X-Error-Code", "none"),
    )
    assert seen == (status, verdict, code), (seen, context.body)
    if code != "none":
        said = json.loads(context.body)
        assert (said["verdict"], said["error"]) == (verdict, code), said


@then("the caller sees a cut answer")
def step_cut(context):
    """Check for an error, or for a reset without the end of the body."""
    data, was_reset = context.received
    assert was_reset or b"X-Error-Code: answer-cut" in data, data
    assert not data.endswith(b"0\r\n\r\n"), data


@then("the target has received nothing")
def step_nothing(context):
    """Check that no request reached the target."""
    assert context.target.heads == []


@then("the target has received 5 bytes and the end of the connection")
def step_not_whole(context):
    """Check that the target's connection ended before the body did."""
    wait_until(lambda: len(context.target.heads) == 2, message="the end")
    assert b"".join(context.target.heads) == b"12345"
