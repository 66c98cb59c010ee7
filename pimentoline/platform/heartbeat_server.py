"""pimentoline.platform.heartbeat_server: server for heartbeats and readiness checks."""

from urllib.parse import parse_qs

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
    responses,
)

from .. import strict_json
from ..logs import log_entry
from ..settings import parse_addr
from ..tasks import start_task
from ..twohop.target_status import (
    MAX_BORN_MS,
    MAX_NAME_CHARS,
    MAX_SLOTS,
    Heartbeat,
    TargetState,
)
from .settings import parse_duration, parse_whole_number

__all__ = ["HeartbeatServer", "parse_heartbeat"]

STATES = {"ready": TargetState.READY, "draining": TargetState.DRAINING}
READY_PATH = "/v1/ready"
RPC_PATH = "/v1/rpc"


def _check_incarnation(target_id, born_ms):
    """Raise `ValueError` if an incarnation of a target cannot be stored."""
    if not 1 <= len(target_id) <= MAX_NAME_CHARS:
        raise ValueError(f"found an id of {len(target_id)} characters")
    if not 0 <= parse_whole_number(born_ms) <= MAX_BORN_MS:
        raise ValueError(f"found start time {born_ms}; allowed: 0 to {MAX_BORN_MS}")


def parse_heartbeat(target_id, body):
    """Return the `Heartbeat` in the JSON body of a request.

    Raises
    ------
    ValueError, KeyError, TypeError
        If the body is invalid.
    """
    item = strict_json.loads(body)
    info, status = item["info"], item["status"]
    # `born` is when the target's process started, Unix time in milliseconds.
    sequence, born_ms, slots = status["sequence"], item.get("born", 0), info["slots"]
    _check_incarnation(target_id, born_ms)
    for number in (sequence, slots):
        parse_whole_number(number)
    if not 1 <= slots <= MAX_SLOTS:
        raise ValueError(f"found {slots} slots; allowed: 1 to {MAX_SLOTS}")
    if not isinstance(info["service"], str):
        raise TypeError("service is not a string")
    return Heartbeat(
        target_id,
        parse_addr(item["address"]),
        info["service"],
        born_ms,
        sequence,
        STATES[status["state"]],
        slots,
        parse_duration(status.get("cold_left", "0s")),
    )


class HeartbeatServer(HTTPServerConnectionDelegate):
    """Receives the target's heartbeats and answers the platform's readiness checks.

    Parameters
    ----------
    node : HostNode
    """

    def __init__(self, node):
        self.node = node

    def start_request(self, server_conn, request_conn):
        """Return the delegate that handles a new request."""
        return _RequestHandler(self, request_conn)

    async def respond(self, method, path, body):
        """Return the status and body of the response to a request."""
        path, _, query = path.partition("?")
        if method == "GET" and path == READY_PATH:
            return (200, b"{}") if self.node.ready else (503, b"{}")
        if method != "POST" or path != RPC_PATH:
            return 404, b"{}"
        parameters = parse_qs(query)
        call, target_id = parameters.get("call", [""])[0], parameters.get("of", [""])[0]
        try:
            match call:
                case "instances.heartbeat":
                    kept = await self._handle_heartbeat(
                        parse_heartbeat(target_id, body)
                    )
                case "instances.leave":
                    kept = await self._handle_leave(target_id, body)
                case _:
                    return 404, b"{}"
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            log_entry("target:report-unreadable", detail=f"{exc!r:.120}")
            return 400, b"{}"
        if not kept:
            log_entry("target:not-acknowledged", target=target_id, call=call)
        return (200 if kept else 503), b"{}"

    async def _handle_heartbeat(self, heartbeat):
        """Process a heartbeat; return whether it may be acknowledged."""
        # The result is whether the target or its state changed.
        changed = self.node.target.handle_heartbeat(heartbeat)
        if heartbeat.state is not TargetState.READY:
            return await self.node.store_sync.keep_status()
        if changed:
            self.node.store_sync.save_in_background()
        await self.node.target.wait_for_proof()
        return True

    async def _handle_leave(self, target_id, body):
        """Process a leave request; return whether it may be acknowledged.

        As for a heartbeat with the state DRAINING, the acknowledgement promises that
        the target gets no more calls, which must hold after a restart of this node too.
        """
        item = strict_json.loads(body) if body else {}
        born_ms = item.get("born") if isinstance(item, dict) else None
        _check_incarnation(target_id, 0 if born_ms is None else born_ms)
        self.node.target.handle_leave(target_id, born_ms)
        return await self.node.store_sync.keep_status()


class _RequestHandler(HTTPMessageDelegate):
    """Reads one request and writes the response of the server."""

    def __init__(self, server, conn):
        self._server = server
        self.conn = conn
        self.start = None
        self.chunks = []

    def headers_received(self, start_line, headers):
        self.start = start_line

    def data_received(self, chunk):
        self.chunks.append(chunk)

    def finish(self):
        start_task(self._respond(), "respond to heartbeat")

    async def _respond(self):
        status, body = await self._server.respond(
            self.start.method, self.start.path, b"".join(self.chunks)
        )
        headers = HTTPHeaders(
            {"Content-Type": "application/json", "Content-Length": str(len(body))}
        )
        start = ResponseStartLine("HTTP/1.1", status, responses[status])
        self.conn.write_headers(start, headers, body)
        self.conn.finish()
