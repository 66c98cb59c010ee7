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

from ..logs import log_entry
from .bodies import CHUNK_BYTES, Body, BodyMemory, body_chunks

__all__ = ["Response", "ResponseError", "send_request", "write_message"]

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
    body : bytes or Body
    reusable : bool
        Whether the connection may carry another request.
    """

    status: int
    reason: str
    headers: object
    body: object
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


class _ResponseCollector(HTTPMessageDelegate):
    def __init__(self, max_bytes, memory):
        self.start_line = None
        self.headers = None
        self.body = Body(memory, self._reject)
        self.max_bytes = max_bytes
        self.finished = False

    def headers_received(self, start_line, headers):
        self.start_line = start_line
        self.headers = headers

    def data_received(self, chunk):
        self.body.append(chunk)
        if self.body.rejected:
            raise HTTPInputError("no memory for the response body")
        if len(self.body) > self.max_bytes:
            raise HTTPInputError(f"response body is too large: {len(self.body)} bytes")

    def _reject(self):
        # If the target sends no more, the call ends with its deadline.
        log_entry("response:no-memory")

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
    try:
        await http.read_response(collector)
    except (StreamClosedError, UnsatisfiableReadError, HTTPInputError) as exc:
        raise ResponseError(str(exc), collector.start_line is not None) from exc
    finally:
        collector.body.pin()
    if not collector.finished or collector.body.rejected:
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


def write_message(conn, start_line, headers, body):
    """Write the head and the body of a request or response.

    Parameters
    ----------
    conn : HTTP1Connection
    start_line : RequestStartLine or ResponseStartLine
    headers : HTTPHeaders
        With `Content-Length` if there is a body.
    body : bytes, Body or None
    """
    if not body:
        conn.write_headers(start_line, headers)
    elif len(body) <= CHUNK_BYTES:
        # One write for both.
        conn.write_headers(start_line, headers, bytes(body))
    else:
        conn.write_headers(start_line, headers)
        for chunk in body_chunks(body):
            conn.write(chunk)


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
    body : bytes, Body or None
    max_bytes : int
        Largest size of a response body, bytes.
    is_own_response : callable
        `is_own_response(headers)` returns whether a response with these headers belongs
        to this request. Other responses are discarded: a target may respond to an
        earlier request on the connection a second time, and late. Raises
        `ResponseError` if that cannot be told.
    memory : BodyMemory, optional
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
    memory = memory or BodyMemory(max_bytes)
    write_message(http, RequestStartLine(method, path, "HTTP/1.1"), headers, body)
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
            return Response(
                start_line.code,
                start_line.reason,
                collector.headers,
                collector.body,
                reusable,
            )
        if not reusable or stream.closed():
            break
        # Reads the next response without sending another request. `read_response` waits
        # until `finish` has been called; `sleep` lets other tasks run.
        http = HTTP1Connection(stream, True, http.params)
        http.finish()
        await asyncio.sleep(0)
    raise ResponseError("received only responses to other requests", False)
