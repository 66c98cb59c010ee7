"""Responses and faults of targets, by their names in the Gherkin feature files.

A `RawTarget` is a target in a test, which runs a function `serve(target, sock, number)`
on each connection. `number` counts the connections from 0.
"""

import socket
import time

from .raw_sockets import read_all, read_head, serve_responses

OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def respond_and_close(response):
    """Return a `serve` that answers one request and then ends its sending side.

    `response` contains the bytes that are sent.
    """

    def serve(target, sock, number):
        if target.read_request(sock):
            sock.sendall(response)
            sock.shutdown(socket.SHUT_WR)
            sock.recv(65536)

    return serve


def never_respond(target, sock, number):
    """Read requests and send no response."""
    while target.read_request(sock):
        pass


def respond_after_250_ms(target, sock, number):
    """Respond after 250 ms, which is later than the first hedge delay of 200 ms."""
    while target.read_request(sock):
        time.sleep(0.25)
        sock.sendall(OK_RESPONSE)


def read_to_end(target, sock, number):
    """Record all bytes after a request head up to the end of the connection.

    `target.heads` normally has the lines of each request head. Here it has two items:
    the bytes that were received together with the head, and all later bytes.
    """
    _, rest = read_head(sock)
    target.heads.append(rest)
    target.heads.append(read_all(sock)[0])


def make_response(status, *headers, body=b""):
    """Return the bytes of a response with these header lines."""
    lines = [b"HTTP/1.1 " + status, *headers, b"", body]
    return b"\r\n".join(lines)


NO_BODY = b"Content-Length: 0"
# Functions `serve` by the text of the step "a target that ...".
FAULTS = {
    "answers 200": serve_responses(OK_RESPONSE),
    "answers 8 KB": serve_responses(
        make_response(b"200 OK", b"Content-Length: 8000", body=b"r" * 8000)
    ),
    "answers 500": serve_responses(make_response(b"500 Failed", NO_BODY)),
    "answers 204": serve_responses(make_response(b"204 No Content")),
    "answers 304 with a length": serve_responses(
        make_response(b"304 Not Modified", b"Content-Length: 9")
    ),
    "answers HEAD with a length": serve_responses(
        make_response(b"200 OK", b"Content-Length: 9")
    ),
    "answers 103 and 200": serve_responses(
        make_response(b"103 Early Hints") + OK_RESPONSE
    ),
    # Only the load balancer may set X-Verdict, which tells the caller whether the
    # request may have run on a target.
    "answers with a false verdict": serve_responses(
        make_response(
            b"200 OK", NO_BODY, b"X-Verdict: not-run", b"X-Error-Code: forged"
        )
    ),
    # By the status 503 with X-Not-Run: 1, a target declares that it did not run the
    # request.
    "sheds": serve_responses(make_response(b"503 Busy", NO_BODY, b"X-Not-Run: 1")),
    "closes before its head": respond_and_close(b""),
    "closes within its head": respond_and_close(b"HTTP/1.1 200 OK\r\nContent-Le"),
    "sends no HTTP": respond_and_close(b"hello\r\n\r\n"),
    "sends an endless head": respond_and_close(
        b"HTTP/1.1 200 OK\r\n" + b"X-A: b\r\n" * 20000
    ),
    "answers with status 000": serve_responses(make_response(b"000 Odd", NO_BODY)),
    "answers with status 099": serve_responses(make_response(b"099 Odd", NO_BODY)),
    "answers with status 600": serve_responses(make_response(b"600 Odd", NO_BODY)),
    "answers with status 000 without a length": respond_and_close(
        make_response(b"000 Odd", body=b"odd")
    ),
    "answers with a blank in a field name": serve_responses(
        make_response(b"200 OK", NO_BODY, b"X Field: 1")
    ),
    "answers with a blank before a field name": serve_responses(
        make_response(b"200 OK", b"X-A: 1", b" Content-Length: 0", NO_BODY)
    ),
    "answers with a blank after a field name": serve_responses(
        make_response(b"200 OK", b"Content-Length : 0", NO_BODY)
    ),
    "answers with a control byte in a field name": serve_responses(
        make_response(b"200 OK", NO_BODY, b"X-\x01Field: 1")
    ),
    "answers 503 without X-Not-Run": serve_responses(
        make_response(b"503 Busy", NO_BODY)
    ),
    "answers 500 with X-Not-Run": serve_responses(
        make_response(b"500 Failed", NO_BODY, b"X-Not-Run: 1")
    ),
    "stays silent": never_respond,
    "answers after 250 ms": respond_after_250_ms,
    "reads to the end": read_to_end,
    "answers without a length": respond_and_close(
        make_response(b"200 OK", body=b"perhaps cut")
    ),
    "answers with two lengths": respond_and_close(
        make_response(
            b"200 OK", b"Content-Length: 2", b"Content-Length: 3", body=b"abc"
        )
    ),
    "answers 204 with a body": respond_and_close(
        make_response(b"204 No Content", b"Content-Length: 2", body=b"ab")
    ),
    "cuts a body with length": respond_and_close(
        make_response(b"200 OK", b"Content-Length: 9", body=b"abc")
    ),
    "cuts a body in chunks": respond_and_close(
        make_response(b"200 OK", b"Transfer-Encoding: chunked", body=b"3\r\nabc\r\n")
    ),
}
