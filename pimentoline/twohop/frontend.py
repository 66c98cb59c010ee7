"""pimentoline.twohop.frontend: the HTTP interface for callers."""

import time
from urllib.parse import urlsplit

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from ..logs import log_entry
from .caller_side import IncomingCall
from .chunked import BodyTooLarge, read_chunked
from .frames import MAX_BODY_BYTES
from .model import CallerLimits
from .target_side import headers_to_target

__all__ = ["Frontend"]

MS = 1000.0
# Used while no configuration says otherwise.
NO_CONFIG_RETRY_S = 0.5
# A caller of a stopping node finds another at once.
STOPPING_RETRY_S = 0.02
# The idle limit of a connection ends a little after the one that callers know.
IDLE_MARGIN_S = 1.0
# Bytes of a body that is read although it is too large, before the connection ends.
MAX_READ_BYTES = 4 * MAX_BODY_BYTES


class Frontend(HTTPServerConnectionDelegate):
    """Reads calls, hands them to the caller's side and writes the answers.

    Parameters
    ----------
    caller_side : CallerSide
    config : object
        `current`, the `Configuration` in force or None.
    dialect : HeaderNames
    """

    def __init__(self, caller_side, config, dialect):
        self.caller_side = caller_side
        self.config = config
        self.dialect = dialect
        self.stopping = False
        self.refusing = False
        self.limits = CallerLimits()
        self.open_requests = 0
        self._conns = {}
        self._server = HTTPServer(self)

    def listen(self, addr):
        """Accept callers at `addr`."""
        self._server.listen(addr[1], addr[0], backlog=512)

    def configure(self, limits):
        """Take the limits for callers of a new configuration."""
        self.limits = limits
        params = self._server.conn_params
        params.header_timeout = limits.idle_timeout_s + IDLE_MARGIN_S
        params.max_header_size = limits.head_bytes + 1024

    def start_request(self, server_conn, request_conn):
        """Return the reader of one call."""
        self._conns[server_conn] = _Request(self, request_conn)
        return self._conns[server_conn]

    def on_close(self, server_conn):
        """Forget a connection."""
        self._conns.pop(server_conn, None)

    def drain(self):
        """Ask callers to use other connections from now on."""
        self.stopping = True
        self._server.conn_params.no_keep_alive = True

    def refuse_all(self):
        """Accept no more connections, and refuse what still comes on open ones."""
        self.refusing = True
        self.stop_listening()

    def stop_listening(self):
        """Accept no more connections."""
        self._server.stop()

    def close_idle(self):
        """Close the connections on which no call is in progress."""
        for server_conn, request in list(self._conns.items()):
            if request.state in ("new", "done"):
                server_conn.stream.close()

    def close_all(self):
        """Close every connection."""
        for server_conn in list(self._conns):
            server_conn.stream.close()


class _Request(HTTPMessageDelegate):
    """One call of a caller."""

    def __init__(self, frontend, conn):
        self.frontend = frontend
        self.conn = conn
        self.state = "new"
        self.start = None
        self.headers = None
        self.chunks = []
        self.arrived = 0.0
        self.left = None
        self.max_bytes = 0

    def headers_received(self, start_line, headers):
        """Note the head; the body follows."""
        self.frontend.open_requests += 1
        self.state = "reading"
        self.arrived = time.monotonic()
        self.start = start_line
        self.headers = headers
        self.max_bytes = self.frontend.limits.body_bytes
        # The limit is checked here, where it is answered with 413.
        self.conn.set_max_body_size(MAX_READ_BYTES)
        # tornado has no other place for the reader of chunks.
        self.conn._read_chunked_body = self._read_chunked
        length = headers.get("Content-Length", "")
        if length.isascii() and length.isdigit() and int(length) > self.max_bytes:
            self._too_large()

    async def _read_chunked(self, delegate):
        try:
            await read_chunked(self.conn.stream, self.data_received, self.max_bytes)
        except BodyTooLarge:
            self._too_large()
            raise StreamClosedError from None

    def _too_large(self):
        self.chunks = []
        self._own(413, "body-too-large")

    def data_received(self, chunk):
        """Collect the body."""
        if self.state == "reading":
            self.chunks.append(chunk)

    def finish(self):
        """Route the call, now that it is whole."""
        if self.state != "reading":
            return
        self.state = "waiting"
        frontend = self.frontend
        if frontend.refusing:
            self._own(503, "stopping", STOPPING_RETRY_S)
            return
        cfg = frontend.config.current
        if cfg is None:
            self._own(503, "no-configuration", NO_CONFIG_RETRY_S)
            return
        host, target = self._host_and_target()
        path = target.partition("?")[0]
        route = cfg.find_route(host, path)
        if route is None:
            self.frontend.caller_side.log.entry(
                "call:unrouted", host=host, path=path[:80], version=cfg.version
            )
            self._own(404, "no-route")
            return
        incoming = IncomingCall(
            self.headers.get(frontend.dialect.request_id, ""),
            self.start.method,
            target,
            headers_to_target(self.headers, frontend.dialect),
            b"".join(self.chunks),
            self._left_s(),
            self.arrived,
        )
        self.chunks = []
        self.conn.set_close_callback(self.on_connection_close)
        left = frontend.caller_side.submit(route, incoming, self._respond)
        if self.state == "waiting":
            self.left = left

    def _host_and_target(self):
        target = self.start.path
        host = self.headers.get("Host", "")
        if not target.startswith("/"):
            # The absolute form names the host itself.
            parts = urlsplit(target)
            if parts.scheme and parts.netloc:
                host = parts.netloc
                target = parts.path or "/"
                if parts.query:
                    target += "?" + parts.query
        return host.partition(":")[0].lower(), target

    def _left_s(self):
        text = self.headers.get(self.frontend.dialect.deadline_ms)
        if text is None:
            return None
        try:
            return max(float(text), 0.0) / MS
        except ValueError:
            log_entry("call:deadline-unreadable", value=text[:40])
            return None

    def _respond(self, outcome):
        if self.state != "waiting":
            return
        if outcome.response is None:
            self._own(outcome.status, outcome.reason, outcome.retry_after_s)
            return
        headers = HTTPHeaders()
        for name, value in outcome.response.headers:
            headers.add(name, value)
        status = outcome.response.status
        if status not in (204, 304) and self.start.method != "HEAD":
            headers["Content-Length"] = str(len(outcome.body))
        self._write(status, outcome.response.reason, headers, outcome.body)

    def _own(self, status, reason, retry_after_s=None):
        if status is None:
            self._ended()
            return
        body = f'{{"error":"{reason}"}}'.encode()
        headers = HTTPHeaders(
            {"Content-Type": "application/json", "Content-Length": str(len(body))}
        )
        wanted = self.headers.get(self.frontend.dialect.request_id)
        if wanted is not None:
            headers[self.frontend.dialect.request_id] = wanted
        if retry_after_s is not None:
            headers["Retry-After"] = f"{retry_after_s:.2f}"
        if self.start.method == "HEAD":
            body = b""
        self._write(status, responses.get(status, "Unknown"), headers, body)

    def _write(self, status, reason, headers, body):
        if self.frontend.stopping:
            headers["Connection"] = "close"
        self._ended()
        start = ResponseStartLine("HTTP/1.1", status, reason)
        self.conn.write_headers(start, headers, body or None)
        if self.frontend.stopping:
            self.conn._disconnect_on_finish = True
        self.conn.finish()

    def _ended(self):
        if self.state != "done":
            self.state = "done"
            self.frontend.open_requests -= 1

    def on_connection_close(self):
        """Withdraw the call of a caller that has gone."""
        left, self.left = self.left, None
        if self.state in ("waiting", "reading"):
            self._ended()
        if left is not None:
            left()
