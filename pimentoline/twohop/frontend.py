"""pimentoline.twohop.frontend: the HTTP server for the callers on this host."""

import asyncio
import time
from urllib.parse import urlsplit

from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from ..http_server import ConnectionServer
from ..logs import log_entry
from ..streams import abort
from .bodies import CHUNK_BYTES, NO_MEMORY_RETRY_AFTER_S, Body, head_bytes
from .caller_side import IncomingCall
from .chunked import BodyTooLarge, ChunkedReader
from .exchange import write_message
from .model import CallerLimits
from .target_side import headers_to_target

__all__ = ["Frontend"]

MS_PER_S = 1000.0
# When a caller may retry while the node has no configuration yet, seconds.
NO_CONFIG_RETRY_AFTER_S = 0.5
# When a caller may retry at another node while this one stops, seconds.
STOPPING_RETRY_AFTER_S = 0.02
# Idle connections are closed this long after the configured idle timeout, seconds.
# Callers know the timeout and stop using an idle connection by then.
IDLE_MARGIN_S = 1.0
# After an early response, the rest of the request is read and discarded for this long,
# seconds. If the connection were closed at once, the response could be lost.
LINGER_S = 1.0
# Most bytes that are read at once, except of a body with a length. What else a caller
# has sent waits in the kernel.
READ_BYTES = 16 * 1024
# Time for a body whose request has no route, seconds. Other bodies have the time that
# their call has.
UNROUTED_BODY_TIMEOUT_S = 5.0
# Longest text of a `Content-Length` that is read as a number.
MAX_LENGTH_DIGITS = 18


class _CallerServer(ConnectionServer):
    """Accepts the connections of callers that the frontend has room for."""

    def handle_stream(self, stream, address):
        """Serve a new connection, or close it."""
        if self.request_callback.admit(stream):
            super().handle_stream(stream, address)
        else:
            stream.close()


class Frontend(HTTPServerConnectionDelegate):
    """Reads requests of callers, routes them and writes the responses.

    Parameters
    ----------
    caller_side : CallerSide
        Sends the calls to the nodes of their targets. Its log is limited in rate.
    config : object
        Its attribute `current` is the `Configuration` in force, or None.
    header_names : HeaderNames
    memory : NodeMemory
        Bounds the bodies of requests and of the responses that callers have not read.
    connection_limit : callable
        Returns the maximum number of callers' connections.

    Attributes
    ----------
    stopping : bool
        Whether every response closes its connection.
    refusing : bool
        Whether all requests are refused.
    limits : CallerLimits
    open_requests : int
        Requests whose response has not been written.
    chunked_turn : asyncio.Lock
        Lets chunked bodies take turns.
    """

    def __init__(self, caller_side, config, header_names, memory, connection_limit):
        self.caller_side = caller_side
        self.config = config
        self.header_names = header_names
        self.memory = memory
        self.connection_limit = connection_limit
        self.stopping = False
        self.refusing = False
        self.limits = CallerLimits()
        self.open_requests = 0
        self.chunked_turn = asyncio.Lock()
        self._streams = set()
        # The connection that has waited for a request for the longest time comes first.
        self._requests_by_conn = {}
        self._server = _CallerServer(self)

    def listen(self, addr):
        """Accept callers at an address, a tuple of host and port."""
        self._server.listen(addr[1], addr[0], backlog=512)

    def configure(self, limits):
        """Apply the limits for callers from a new configuration."""
        self.limits = limits
        params = self._server.conn_params
        # tornado has one timeout for the wait for a request and for reading its head.
        params.header_timeout = limits.idle_timeout_s + IDLE_MARGIN_S
        params.max_header_size = limits.head_bytes + 1024

    def start_request(self, server_conn, request_conn):
        """Return the delegate that reads one request."""
        request = _CallerRequest(self, request_conn)
        request_conn.stream.read_chunk_size = READ_BYTES
        self._requests_by_conn.pop(server_conn, None)
        self._requests_by_conn[server_conn] = request
        return request

    def on_close(self, server_conn):
        """Remove a closed connection."""
        self._requests_by_conn.pop(server_conn, None)
        self._streams.discard(server_conn.stream)

    def admit(self, stream):
        """Return whether a new connection is served.

        If there are too many, the one that has waited for a request for the longest
        time is closed in its place.
        """
        limit = self.connection_limit()
        if len(self._streams) >= limit and not self._close_longest_waiting(limit):
            return False
        self._streams.add(stream)
        return True

    def _close_longest_waiting(self, limit):
        """Close a connection without a request; return whether there was one."""
        waiting = (
            server_conn
            for server_conn, request in self._requests_by_conn.items()
            if request.state == "new"
        )
        server_conn = next(waiting, None)
        self.caller_side.log.entry(
            "caller:too-many", limit=limit, closed_waiting=server_conn is not None
        )
        if server_conn is None:
            return False
        self.on_close(server_conn)
        server_conn.stream.close()
        return True

    def drain(self):
        """Send `Connection: close` with every response from now on."""
        self.stopping = True
        self._server.conn_params.no_keep_alive = True

    def refuse_all(self):
        """Accept no more connections, and refuse requests on open ones."""
        self.refusing = True
        self.stop_listening()

    def stop_listening(self):
        """Accept no more connections."""
        self._server.stop()

    @property
    def busy(self):
        """Whether a request has no response, or a response is being sent."""
        return bool(self.open_requests) or any(
            server_conn.stream.writing() for server_conn in self._requests_by_conn
        )

    def close_idle(self):
        """Close the connections without a request or a response in progress."""
        for server_conn, request in list(self._requests_by_conn.items()):
            if (
                request.state in ("new", "lingering", "done")
                and not server_conn.stream.writing()
            ):
                server_conn.stream.close()

    def close_all(self):
        """Close every connection."""
        for server_conn in list(self._requests_by_conn):
            server_conn.stream.close()


class _CallerRequest(HTTPMessageDelegate):
    """One request of a caller.

    `state` is "new" (no head received), "reading" (the body), "waiting" (for the
    outcome of the call), "lingering" (an early response was written, the rest of the
    request is discarded) or "done". `notify_disconnect` is the function to call when
    the caller disconnects, and None until the call is submitted.
    """

    def __init__(self, frontend, conn):
        self.frontend = frontend
        self.conn = conn
        self.state = "new"
        self.start_line = None
        self.headers = None
        self.body = None
        # Whether the body is not stored, because the request has no route.
        self.discards_body = False
        self.arrived_at = 0.0
        self.notify_disconnect = None
        self.max_bytes = 0
        # Ends the time for the body, later that for the rest of a refused request.
        self.read_timer = None

    def headers_received(self, start_line, headers):
        """Store the start line and headers, and prepare to read the body.

        Returns
        -------
        awaitable or None
            Reads the rest of a request that is refused at once.
        """
        self.frontend.open_requests += 1
        self.state = "reading"
        self.arrived_at = time.monotonic()
        self.start_line = start_line
        self.headers = headers
        self.max_bytes = self.frontend.limits.body_bytes
        # Larger bodies are refused below, because tornado does not respond with 413 at
        # its own limit.
        self.conn.set_max_body_size(self.max_bytes)
        if "Transfer-Encoding" in headers:
            # tornado's reader of chunked bodies rejects trailers, and tornado has no
            # public way to replace it.
            self.conn._read_chunked_body = self._read_chunked
            self._start_body_timeout()
        elif "Content-Length" in headers:
            self.conn.stream.read_chunk_size = CHUNK_BYTES
            self._start_body_timeout()
        head_size = head_bytes(headers.get_all())
        if head_size:
            self._create_body()
            self.body.count_head(head_size)
        length = headers.get("Content-Length", "")
        if self.state == "reading" and length.isascii() and length.isdigit():
            if len(length) > MAX_LENGTH_DIGITS or int(length) > self.max_bytes:
                self._refuse_too_large()
            elif int(length) > self.frontend.memory.requests.max_body_bytes:
                self._refuse_for_memory()
        return None if self.state == "reading" else self._discard_rest()

    def _start_body_timeout(self):
        """Limit the time for the body to the time that the call has."""
        route = self._find_route()
        self.discards_body = route is None
        timeout_s = UNROUTED_BODY_TIMEOUT_S if route is None else route.timeout_s
        remaining_s = self._remaining_s()
        if remaining_s is not None:
            timeout_s = min(timeout_s, remaining_s)
        self.read_timer = asyncio.get_running_loop().call_later(
            timeout_s, self._on_body_timeout
        )

    def _find_route(self):
        """Return the route of the request, or None."""
        config = self.frontend.config.current
        if config is None or self.frontend.refusing:
            return None
        host, request_target = self._host_and_request_target()
        return config.find_route(host, request_target.partition("?")[0])

    def _on_body_timeout(self):
        self._drop_body()
        self.frontend.caller_side.log.entry(
            "call:body-timeout",
            request=self.headers.get(self.frontend.header_names.request_id, ""),
            path=self.start_line.path[:80],
        )
        self._respond_early(408, "body-timeout")

    def _stop_read_timer(self):
        if self.read_timer is not None:
            self.read_timer.cancel()
            self.read_timer = None

    async def _read_chunked(self, delegate):
        # A reference cycle would keep the request until the garbage collector runs.
        del self.conn._read_chunked_body
        reader = ChunkedReader(
            self.conn.stream,
            self.data_received,
            self.max_bytes,
            self.frontend.chunked_turn,
        )
        try:
            await reader.read()
        except HTTPInputError as exc:
            if self.state == "reading" and isinstance(exc, BodyTooLarge):
                self._refuse_too_large()
            if self.state == "reading":
                raise
            # tornado would send a second response.
            await self._discard_rest()
            raise StreamClosedError from None

    async def _discard_rest(self):
        """Read and discard the rest of a refused request until its connection ends."""
        try:
            while True:
                await self.conn.stream.read_bytes(CHUNK_BYTES, partial=True)
                # Other tasks run in between, even if the caller sends all the time.
                await asyncio.sleep(0)
        except StreamClosedError:
            return

    def _refuse_too_large(self):
        self._drop_body()
        self._respond_early(413, "body-too-large")

    def _refuse_for_memory(self):
        self._drop_body()
        self.frontend.caller_side.log.entry(
            "call:no-memory",
            request=self.headers.get(self.frontend.header_names.request_id, ""),
            path=self.start_line.path[:80],
        )
        self._respond_early(503, "no-memory", NO_MEMORY_RETRY_AFTER_S)

    def _drop_body(self):
        body, self.body = self.body, None
        if body is not None:
            body.pin()

    def data_received(self, chunk):
        """Store a part of the body."""
        if self.state != "reading" or self.discards_body:
            return
        if self.body is None:
            self._create_body()
        self.body.append(chunk)

    def _create_body(self):
        self.body = Body(self.frontend.memory.requests, self._refuse_for_memory)

    def finish(self):
        """Route the complete request."""
        self._stop_read_timer()
        if self.state == "lingering":
            self.state = "done"
            self.conn.finish()
        if self.state != "reading":
            return
        self.state = "waiting"
        body = b"" if self.body is None else self.body
        self._drop_body()
        if self.conn.stream.closed():
            # tornado still parses the requests that it has received before the close.
            self._mark_done()
            return
        frontend = self.frontend
        if frontend.refusing:
            self._respond_with_error(503, "stopping", STOPPING_RETRY_AFTER_S)
            return
        config = frontend.config.current
        if config is None:
            self._respond_with_error(503, "no-configuration", NO_CONFIG_RETRY_AFTER_S)
            return
        host, request_target = self._host_and_request_target()
        path = request_target.partition("?")[0]
        route = config.find_route(host, path)
        if route is not None and self.discards_body:
            # The route came into force while the body was read.
            self._respond_with_error(503, "no-configuration", NO_CONFIG_RETRY_AFTER_S)
            return
        if route is None:
            self.frontend.caller_side.log.entry(
                "call:unrouted", host=host, path=path[:80], version=config.version
            )
            self._respond_with_error(404, "no-route")
            return
        incoming = IncomingCall(
            self.headers.get(frontend.header_names.request_id, ""),
            self.start_line.method,
            request_target,
            headers_to_target(self.headers, frontend.header_names),
            body,
            self._remaining_s(),
            self.arrived_at,
        )
        self.conn.set_close_callback(self.on_connection_close)
        notify_disconnect = frontend.caller_side.submit(route, incoming, self._respond)
        # `submit` may have called `_respond` already.
        if self.state == "waiting":
            self.notify_disconnect = notify_disconnect

    def _host_and_request_target(self):
        request_target = self.start_line.path
        host = self.headers.get("Host", "")
        if not request_target.startswith("/"):
            # A request target in absolute form replaces the `Host` header.
            parts = urlsplit(request_target)
            if parts.scheme and parts.netloc:
                host = parts.netloc
                request_target = parts.path or "/"
                if parts.query:
                    request_target += "?" + parts.query
        return host.partition(":")[0].lower(), request_target

    def _remaining_s(self):
        """Return the time from arrival to the caller's deadline, seconds, or None."""
        text = self.headers.get(self.frontend.header_names.deadline_ms)
        if text is None:
            return None
        try:
            return max(float(text), 0.0) / MS_PER_S
        except ValueError:
            log_entry("call:deadline-unreadable", value=text[:40])
            return None

    def _respond(self, outcome):
        if self.state != "waiting":
            return
        if outcome.response is None:
            self._respond_with_error(
                outcome.status, outcome.reason, outcome.retry_after_s
            )
            return
        headers = HTTPHeaders()
        for name, value in outcome.response.headers:
            headers.add(name, value)
        status = outcome.response.status
        if status not in (204, 304) and self.start_line.method != "HEAD":
            headers["Content-Length"] = str(len(outcome.body))
        self._write(status, outcome.response.reason, headers, outcome.body)

    def _respond_with_error(self, status, reason, retry_after_s=None):
        if status is None:
            # The caller has disconnected.
            self._mark_done()
            return
        self._write(*self._make_error(status, reason, retry_after_s))

    def _respond_early(self, status, reason, retry_after_s=None):
        """Respond before the request has been read completely, and discard its rest."""
        self.conn._disconnect_on_finish = True
        self._write_message(*self._make_error(status, reason, retry_after_s))
        # Empties the object, which tornado keeps as well. Deleting each item would not
        # free the memory.
        self.headers.__init__()
        self._mark_done("lingering")
        self._stop_read_timer()
        self.read_timer = asyncio.get_running_loop().call_later(
            LINGER_S, self.conn.stream.close
        )

    def _make_error(self, status, reason, retry_after_s):
        """Return the status, reason phrase, headers and body of a response."""
        body = f'{{"error":"{reason}"}}'.encode()
        headers = HTTPHeaders(
            {"Content-Type": "application/json", "Content-Length": str(len(body))}
        )
        request_id = self.headers.get(self.frontend.header_names.request_id)
        if request_id is not None:
            headers[self.frontend.header_names.request_id] = request_id
        if retry_after_s is not None:
            headers["Retry-After"] = f"{retry_after_s:.2f}"
        if self.start_line.method == "HEAD":
            body = b""
        return status, responses.get(status, "Unknown"), headers, body

    def _write(self, status, reason, headers, body):
        if self.frontend.stopping:
            headers["Connection"] = "close"
        self._mark_done()
        self._write_message(status, reason, headers, body)
        if self.frontend.stopping:
            # When tornado read the request, it decided whether to keep the connection
            # open. This overrides that decision.
            self.conn._disconnect_on_finish = True
        self.conn.finish()

    def _write_message(self, status, reason, headers, body):
        start_line = ResponseStartLine("HTTP/1.1", status, reason)
        write_message(self.conn, start_line, headers, body)
        if isinstance(body, Body) and self.conn.stream.writing():
            self._keep_until_sent(body)

    def _keep_until_sent(self, body):
        """Count a response body until it is sent; it may be rejected until then."""
        body.allow_rejection(self._abort_response)
        sent = self.conn.stream.write(b"")
        sent.add_done_callback(lambda fut: body.pin())

    def _abort_response(self):
        """Close the connection of a caller that does not read the response."""
        self.frontend.caller_side.log.entry(
            "caller:not-reading", path=self.start_line.path[:80]
        )
        abort(self.conn.stream)

    def _mark_done(self, state="done"):
        """Note that the response was written, or that the caller gets none."""
        if self.state in ("reading", "waiting"):
            self.frontend.open_requests -= 1
        self.notify_disconnect = None
        self.state = state

    def on_connection_close(self):
        """Cancel the call of a caller that has disconnected."""
        notify_disconnect = self.notify_disconnect
        self._drop_body()
        self._stop_read_timer()
        self._mark_done()
        if notify_disconnect is not None:
            notify_disconnect()
