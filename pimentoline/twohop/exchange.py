"""pimentoline.twohop.exchange: one request and its whole answer on a connection."""

import asyncio
from dataclasses import dataclass

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
)
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

__all__ = ["Response", "ResponseError", "send_request"]

# Answers to earlier requests that are read over before the connection is given up.
MAX_FOREIGN_ANSWERS = 4


@dataclass(frozen=True, slots=True)
class Response:
    """A whole answer; `reusable` if the connection may carry another request."""

    status: int
    reason: str
    headers: object
    body: bytes
    reusable: bool


class ResponseError(Exception):
    """No whole answer came; `started` if at least its head did."""

    def __init__(self, detail, started=False):
        super().__init__(detail)
        self.started = started


class _Collector(HTTPMessageDelegate):
    def __init__(self, max_bytes):
        self.start = None
        self.headers = None
        self.chunks = []
        self.size = 0
        self.max_bytes = max_bytes
        self.finished = False

    def headers_received(self, start_line, headers):
        self.start = start_line
        self.headers = headers

    def data_received(self, chunk):
        self.size += len(chunk)
        if self.size > self.max_bytes:
            raise HTTPInputError(f"answer of more than {self.max_bytes} bytes")
        self.chunks.append(chunk)

    def finish(self):
        self.finished = True


async def _read_answer(http, stream, method, max_bytes):
    found = _Collector(max_bytes)
    try:
        await http.read_response(found)
    except (StreamClosedError, UnsatisfiableReadError, HTTPInputError) as exc:
        raise ResponseError(str(exc), found.start is not None) from exc
    if not found.finished:
        raise ResponseError("answer cut short", found.start is not None)
    headers = found.headers
    bodiless = method == "HEAD" or found.start.code in (204, 304)
    framed = "Content-Length" in headers or "Transfer-Encoding" in headers
    if not framed and not bodiless and stream.error is not None:
        raise ResponseError("answer ended with a reset", True)
    keep = "close" not in headers.get("Connection", "").lower()
    reusable = keep and (framed or bodiless) and found.start.version == "HTTP/1.1"
    return found, reusable


async def send_request(
    conn, method, path, headers, body, max_bytes, own=lambda h: True
):
    """Send a request and return its whole answer.

    Parameters
    ----------
    conn : PooledConnection
    headers : HTTPHeaders
        With `Content-Length` if there is a body.
    max_bytes : int
        Largest body of an answer.
    own : callable
        Tells from its headers whether an answer belongs to this request; others are
        late answers to earlier requests and are read over.

    Returns
    -------
    Response

    Raises
    ------
    ResponseError
    """
    http = conn.http_client()
    stream = conn.stream
    http.write_headers(RequestStartLine(method, path, "HTTP/1.1"), headers, body)
    http.finish()
    for _ in range(MAX_FOREIGN_ANSWERS):
        found, reusable = await _read_answer(http, stream, method, max_bytes)
        if own(found.headers):
            if stream.writing():
                # The answer came before the request had left this process.
                reusable = False
            start = found.start
            data = b"".join(found.chunks)
            return Response(start.code, start.reason, found.headers, data, reusable)
        if not reusable or stream.closed():
            break
        http = HTTP1Connection(stream, True, http.params)
        http.finish()
        await asyncio.sleep(0)
    raise ResponseError("only answers to other requests came", False)
