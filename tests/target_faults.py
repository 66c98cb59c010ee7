"""Faults of targets, by the names that the features use."""

import socket
import time

from .raw_sockets import read_all, read_head, serve_responses

OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def ending(answer):
    """Return a `serve` that sends `answer` to each request and closes."""

    def serve(target, sock, number):
        if target.request(sock):
            sock.sendall(answer)
            sock.shutdown(socket.SHUT_WR)
            sock.recv(65536)

    return serve


def never_respond(target, sock, number):
    """Read requests without an answer."""
    while target.request(sock):
        pass


def slow(target, sock, number):
    """Answer later than the first hedge delay, 200 ms."""
    while target.request(sock):
        time.sleep(0.25)
        sock.sendall(OK_RESPONSE)


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
    "answers 200": serve_responses(OK_RESPONSE),
    "answers 8 KB": serve_responses(
        status(b"200 OK", b"Content-Length: 8000", body=b"r" * 8000)
    ),
    "answers 500": serve_responses(status(b"500 Failed", EMPTY)),
    "answers 204": serve_responses(status(b"204 No Content")),
    "answers 304 with a length": serve_responses(
        status(b"304 Not Modified", b"Content-Length: 9")
    ),
    "answers HEAD with a length": serve_responses(
        status(b"200 OK", b"Content-Length: 9")
    ),
    "answers 103 and 200": serve_responses(status(b"103 Early Hints") + OK_RESPONSE),
    "answers with a false verdict": serve_responses(
        status(b"200 OK", EMPTY, b"X-Verdict: not-run", b"X-Error-Code: forged")
    ),
    "sheds": serve_responses(status(b"503 Busy", EMPTY, b"X-Not-Run: 1")),
    "closes before its head": ending(b""),
    "closes within its head": ending(b"HTTP/1.1 200 OK\r\nContent-Le"),
    "sends no HTTP": ending(b"hello\r\n\r\n"),
    "sends an endless head": ending(b"HTTP/1.1 200 OK\r\n" + b"X-A: b\r\n" * 20000),
    "answers 503 without X-Not-Run": serve_responses(status(b"503 Busy", EMPTY)),
    "answers 500 with X-Not-Run": serve_responses(
        status(b"500 Failed", EMPTY, b"X-Not-Run: 1")
    ),
    "stays silent": never_respond,
    "answers after 250 ms": slow,
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
