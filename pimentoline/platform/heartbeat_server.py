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
from ..twohop.target_status import MAX_SLOTS, Heartbeat, TargetState
from .settings import parse_duration, parse_whole_number

__all__ = ["HeartbeatServer", "parse_heartbeat"]

STATES = {"ready": TargetState.READY, "draining": TargetState.DRAINING}
READY_PATH = "/v1/ready"
RPC_PATH = "/v1/rpc"


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
    for number in (sequence, born_ms, slots):
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
                    await self._handle_heartbeat(parse_heartbeat(target_id, body))
                case "instances.leave":
                    await self._handle_leave(target_id, body)
                case _:
                    return 404, b"{}"
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            log_entry("target:report-unreadable", detail=f"{exc!r:.120}")
            return 400, b"{}"
        return 200, b"{}"

    async def _handle_heartbeat(self, heartbeat):
        # The result is whether the target or its state changed.
        if self.node.target.handle_heartbeat(heartbeat):
            await self._store_state(heartbeat.state)

    async def _handle_leave(self, target_id, body):
        item = strict_json.loads(body) if body else {}
        born_ms = item.get("born") if isinstance(item, dict) else None
        # The result is whether the target's state changed.
        if self.node.target.handle_leave(target_id, born_ms):
            await self._store_state(TargetState.LEFT)

    async def _store_state(self, state):
        """Store the target's new `state`, so that the node knows it after a restart.

        Unless it is READY, the response to the target waits for the write, up to a
        timeout: a node that restarted with an older stored state could take a target
        that drains or has left for ready.
        """
        if state is TargetState.READY:
            self.node.store_sync.save_in_background()
        else:
            await self.node.store_sync.save_with_timeout()


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
