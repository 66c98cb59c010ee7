"""pimentoline.prober: sends load probes to targets and counts their bytes."""

import asyncio
import socket

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from .events import ProbeEnded
from .headers import parse_load
from .probing import MAX_RESPONSE_BYTES

__all__ = ["Prober"]

PROBE_TIMEOUT_S = 1.0
CONNECTION_PARAMS = HTTP1ConnectionParameters(
    max_header_size=MAX_RESPONSE_BYTES, max_body_size=MAX_RESPONSE_BYTES
)


class ByteCountingStream(IOStream):
    """Stream that counts the bytes sent and received, and limits the latter."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.sent_bytes = 0
        self.received_bytes = 0

    def read_from_fd(self, buf):
        """Read into the buffer, at most `MAX_RESPONSE_BYTES` in all reads together."""
        remaining = MAX_RESPONSE_BYTES - self.received_bytes
        if remaining <= 0:
            # The stream treats 0 as the end of the connection and closes.
            return 0
        count = super().read_from_fd(memoryview(buf)[:remaining])
        self.received_bytes += count or 0
        return count

    def write_to_fd(self, data):
        """Write, and count the bytes written."""
        count = super().write_to_fd(data)
        self.sent_bytes += count
        return count


class LoadReader(HTTPMessageDelegate):
    """Reads the load from the head of a response."""

    load = None

    def headers_received(self, start_line, headers):
        """Read the load from a successful response."""
        if start_line.code == 200:
            self.load = parse_load(headers.get("X-Target-Load"))


class Prober:
    """Executes `SendProbe` effects, each on a new connection.

    A target accepts few connections from a node. A pooled connection for probes would
    take one of them away from calls, even while no probe is sent.

    Parameters
    ----------
    dispatch : callable
        Passes an event to the reducer.
    clock : callable
        Monotonic clock, seconds.
    """

    def __init__(self, dispatch, clock):
        self._dispatch = dispatch
        self._clock = clock
        self._tasks = set()

    def send(self, effect):
        """Start a probe; it ends with a `ProbeEnded` event."""
        task = asyncio.get_running_loop().create_task(self._probe(effect))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, effect):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # The kernel buffers at most about this many received bytes.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_RESPONSE_BYTES)
        stream = ByteCountingStream(sock)
        reader = LoadReader()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await stream.connect(effect.addr)
                conn = HTTP1Connection(stream, True, CONNECTION_PARAMS)
                start = RequestStartLine("GET", effect.path, "HTTP/1.1")
                host = "{}:{}".format(*effect.addr)
                headers = HTTPHeaders({"Host": host, "Connection": "close"})
                conn.write_headers(start, headers)
                conn.finish()
                await conn.read_response(reader)
        except (OSError, StreamClosedError, HTTPInputError, asyncio.TimeoutError):
            pass
        finally:
            stream.close()
        self._dispatch(
            ProbeEnded(
                self._clock(),
                effect.target_id,
                reader.load,
                stream.sent_bytes,
                stream.received_bytes,
            )
        )
