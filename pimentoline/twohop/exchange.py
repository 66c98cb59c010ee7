"""pimentoline.twohop.exchange: an HTTP request and its complete response.

The node on a target's host, the second of the two nodes that a call passes through,
sends requests to the target with it. The client of the store uses it too.
"""

import asyncio
from dataclasses import dataclass

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
)
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

__all__ = ["Response", "ResponseError", "ResponseMemory", "send_request"]

# `send_request` fails after this many responses to earlier requests.
MAX_STALE_RESPONSES = 4


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response.

    Attributes
    ----------
    status : int
    reason : str
        Reason phrase of the status line.
    headers : HTTPHeaders
    reusable : bool
        Whether the connection may carry another request.
    """

    status: int
    reason: str
    headers: object
    body: bytes
    reusable: bool


class ResponseError(Exception):
    """No complete response was received.

    Attributes
    ----------
    started : bool
        Whether the head of the response was received.
    """

    def __init__(self, detail, started=False):
        super().__init__(detail)
        self.started = started


class ResponseMemory:
    """Bounds the memory of all responses that are being read.

    If they exceed it together, the largest one is rejected.

    Parameters
    ----------
    max_bytes : int

    Attributes
    ----------
    used_bytes : int
    """

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._collectors = set()
        self.used_bytes = 0

    def add(self, collector):
        """Count a response from now on."""
        self._collectors.add(collector)

    def remove(self, collector):
        """Count a response no longer."""
        if collector in self._collectors:
            self._collectors.discard(collector)
            self.used_bytes -= collector.size

    def note_received(self, size):
        """Count received bytes; reject the largest response if they are too many."""
        self.used_bytes += size
        if self.used_bytes > self._max_bytes:
            largest = max(self._collectors, key=lambda collector: collector.size)
            self.remove(largest)
            largest.reject()


class _ResponseCollector(HTTPMessageDelegate):
    def __init__(self, max_bytes, memory):
        self.start_line = None
        self.headers = None
        self.chunks = []
        self.size = 0
        self.max_bytes = max_bytes
        self.memory = memory
        self.rejected = False
        self.finished = False

    def headers_received(self, start_line, headers):
        self.start_line = start_line
        self.headers = headers

    def data_received(self, chunk):
        if not self.rejected:
            self.size += len(chunk)
            self.chunks.append(chunk)
            self.memory.note_received(len(chunk))
        if self.rejected or self.size > self.max_bytes:
            raise HTTPInputError(f"response body is too large: {self.size} bytes")

    def reject(self):
        """Discard the body; reading more of it raises an error."""
        self.rejected = True
        self.chunks = []

    def finish(self):
        self.finished = True


async def _read_response(http, stream, method, max_bytes, memory):
    """Read the next response.

    Returns
    -------
    tuple of (_ResponseCollector, bool)
        The response, and whether the connection can be reused.

    Raises
    ------
    ResponseError
        If the response is not received completely.
    """
    collector = _ResponseCollector(max_bytes, memory)
    memory.add(collector)
    try:
        await http.read_response(collector)
    except (StreamClosedError, UnsatisfiableReadError, HTTPInputError) as exc:
        raise ResponseError(str(exc), collector.start_line is not None) from exc
    finally:
        memory.remove(collector)
    if not collector.finished or collector.rejected:
        raise ResponseError(
            "response is incomplete, malformed or too large",
            collector.start_line is not None,
        )
    headers = collector.headers
    bodiless = method == "HEAD" or collector.start_line.code in (204, 304)
    framed = "Content-Length" in headers or "Transfer-Encoding" in headers
    if not framed and not bodiless:
        # The end of the connection ends the response. A target that has not received
        # the whole request resets the connection, though it may seem to end it before.
        if stream.error is not None or stream.undelivered:
            raise ResponseError("connection reset before the end of the response", True)
    keep_alive = "close" not in headers.get("Connection", "").lower()
    reusable = (
        keep_alive
        and (framed or bodiless)
        and collector.start_line.version == "HTTP/1.1"
    )
    return collector, reusable


async def send_request(
    conn,
    method,
    path,
    headers,
    body,
    max_bytes,
    is_own_response=lambda h: True,
    memory=None,
):
    """Send a request and return its complete response.

    Parameters
    ----------
    conn : PooledConnection
        Open connection, which the caller of this function releases or closes.
    method, path : str
        `path` includes the query string.
    headers : HTTPHeaders
        With `Content-Length` if there is a body.
    body : bytes or None
    max_bytes : int
        Largest size of a response body, bytes.
    is_own_response : callable
        `is_own_response(headers)` returns whether a response with these headers belongs
        to this request. Other responses are discarded: a target may respond to an
        earlier request on the connection a second time, and late. Raises
        `ResponseError` if that cannot be told.
    memory : ResponseMemory, optional
        Bounds the responses that are read at the same time.

    Returns
    -------
    Response

    Raises
    ------
    ResponseError
        If no complete response to the request was received.
    """
    http = conn.http_client()
    stream = conn.stream
    memory = memory or ResponseMemory(max_bytes)
    http.write_headers(RequestStartLine(method, path, "HTTP/1.1"), headers, body)
    http.finish()
    for _ in range(MAX_STALE_RESPONSES):
        collector, reusable = await _read_response(
            http, stream, method, max_bytes, memory
        )
        if is_own_response(collector.headers):
            if stream.writing():
                # The response came before the request was sent completely.
                reusable = False
            start_line = collector.start_line
            data = b"".join(collector.chunks)
            return Response(
                start_line.code, start_line.reason, collector.headers, data, reusable
            )
        if not reusable or stream.closed():
            break
        # Reads the next response without sending another request. `read_response` waits
        # until `finish` has been called; `sleep` lets other tasks run.
        http = HTTP1Connection(stream, True, http.params)
        http.finish()
        await asyncio.sleep(0)
    raise ResponseError("received only responses to other requests", False)
