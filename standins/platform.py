"""Stand-ins for the platform's store and for its targets, inside one event loop.

The store serves `rows-tx`, `rows-get` and `rows-feed` as the platform specifies them,
for rows with an empty `part`, a field of the row key that nodes do not use. A target,
which the platform calls an instance, responds through a function of the test, so that
it can violate the protocol at any byte.
"""

import asyncio
import base64
import itertools
import json
import os
import time
from dataclasses import dataclass, field

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

__all__ = ["ReceivedRequest", "ScriptedTarget", "StoreStandIn", "free_port"]

# Status of the feed for a reader that missed changes which the feed no longer has.
HISTORY_EXPIRED_STATUS = 410
EOF_POLL_INTERVAL_S = 0.01
# Ends below 32768, where the ephemeral ports of Linux begin by default.
PORT_RANGE = range(20000, 32000)
# Starts at a different port in each process, so that parallel tests do not collide.
_next_port = itertools.count(os.getpid() * 97)
# Nodes require `X-Response-Stamp` in each response and accept any value.
RESPONSE_STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"


def free_port():
    """Return a port at which nothing listens.

    It is not an ephemeral port, since the system may give such a port to an outgoing
    connection before the caller of this function listens there.
    """
    for _ in range(len(PORT_RANGE)):
        port = PORT_RANGE[next(_next_port) % len(PORT_RANGE)]
        try:
            for sock in bind_sockets(port, "127.0.0.1"):
                sock.close()
        except OSError:
            continue
        return port
    raise OSError(f"no free port in {PORT_RANGE}")


class StoreStandIn:
    """A store that keeps its rows in memory and serves them over HTTP.

    Tests inject faults by setting `down`, `silent`, `lose_responses` and `stale_rows`,
    by calling `silence_feeds`, `cut_feeds` and `expire_history`, and by going back to
    an earlier state with `copy` and `restore`.

    Attributes
    ----------
    rows : dict
        Tuple (value, version) of each row, by tuple (table, key); the value of a
        deleted row is None.
    version : int
        Version of the latest change of any row.
    oldest_version : int
        Version of the oldest change that the feed still has.
    down : bool
        Every request is rejected with status 503.
    silent : bool
        Requests have no effect and get no response.
    lose_responses : int
        Number of further writes that take effect but whose responses are lost.
    silenced_feeds, cuts : int
        Number of calls of `silence_feeds` and of `cut_feeds`.
    stale_rows : dict or None
        Earlier value of `rows` that `rows-get` sends in place of the current one.
    odd_fields : dict
        Fields that replace those of a row in responses, by tuple (table, key).
    era : int or None
        Value of the header `Store-Era` of all responses; None to send no such header.
    calls : list of str
        Paths of the requests received.
    changed : asyncio.Event
        Set at the next change of any row; each change replaces the event.
    addr : tuple
        Address at which the store listens.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.oldest_version = 0
        self.down = False
        self.silent = False
        self.lose_responses = 0
        self.silenced_feeds = 0
        self.cuts = 0
        self.stale_rows = None
        self.odd_fields = {}
        self.era = 1
        self.calls = []
        self.changed = asyncio.Event()
        handlers = [(r"/v1/(rows-\w+)", _StoreHandler, {"store": self})]
        self._server = HTTPServer(Application(handlers))
        (sock,) = bind_sockets(0, "127.0.0.1")
        self.addr = sock.getsockname()
        self._server.add_sockets([sock])

    def put(self, table, key, value):
        """Write a row and wake the readers of the feed; None deletes the row."""
        self.version += 1
        self.rows[table, key] = (value, self.version)
        self._wake_feeds()

    def put_config(self, config):
        """Write the operator's configuration, given as JSON data."""
        self.put("op", "config", json.dumps(config).encode())

    def expire_history(self):
        """Remove all changes up to now from the feed."""
        self.oldest_version = self.version + 1

    def silence_feeds(self):
        """Never respond to the readers of the feed that wait now; serve later ones."""
        self.silenced_feeds += 1
        self._wake_feeds()

    def copy(self):
        """Return a copy of all rows, for `restore`."""
        return dict(self.rows), self.version

    def restore(self, copy):
        """Go back to a copy: later writes are gone, and their versions are reused.

        Feeds that wait meanwhile respond in the new era, unless `cut_feeds` is called.
        """
        rows, self.version = copy
        self.rows = dict(rows)
        if self.era is not None:
            self.era += 1
        self._wake_feeds()

    def cut_feeds(self):
        """Close the connections of the readers of the feed that wait now."""
        self.cuts += 1
        self._wake_feeds()

    def _wake_feeds(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def row(self, table, key, rows=None):
        """Return a row as JSON data; `rows` replaces the current ones."""
        value, version = (self.rows if rows is None else rows)[table, key]
        item = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return {**item, "deleted": True}
        item["value"] = base64.b64encode(value).decode()
        return item | self.odd_fields.get((table, key), {})

    def version_of(self, table, key):
        """Return the version of a row; 0 if it does not exist."""
        value, version = self.rows.get((table, key), (None, 0))
        return version if value is not None else 0

    def close(self):
        """Stop accepting connections."""
        self._server.stop()


class _StoreHandler(RequestHandler):
    def initialize(self, store):
        self.store = store

    async def prepare(self):
        self.store.calls.append(self.request.path)
        self.set_era_header()
        if self.store.silent:
            await asyncio.Event().wait()
        if self.store.down:
            self.set_status(503)
            self.finish()

    def set_era_header(self):
        """Set the header with the current era, unless the store sends none."""
        if self.store.era is not None:
            self.set_header("Store-Era", str(self.store.era))

    def _respond(self, rows=None, **extra):
        self.set_era_header()
        response = {
            "ver": self.store.version,
            "now": f"{int(time.monotonic() * 1000)}ms",
        }
        if rows is not None:
            response["rows"] = rows
        self.finish(json.dumps(response | extra))

    async def get(self, call):
        """Send the rows of a table, or wait for its changes and send these.

        `call` is `rows-get` for the rows, or else `rows-feed` for the changes.
        """
        store = self.store
        table = self.get_query_argument("table")
        if call == "rows-get":
            found = store.rows if store.stale_rows is None else store.stale_rows
            rows = [
                store.row(*row_id, found)
                for row_id, (value, _) in sorted(found.items())
                if row_id[0] == table and value is not None
            ]
            self._respond(rows, has_more=False)
            return
        after = int(self.get_query_argument("after"))
        deadline = time.monotonic() + int(self.get_query_argument("wait_ms")) / 1000
        silenced_feeds, cuts = store.silenced_feeds, store.cuts
        while True:
            if cuts != store.cuts:
                self.request.connection.stream.close()
                return
            if silenced_feeds != store.silenced_feeds:
                await asyncio.Event().wait()
            if after + 1 < store.oldest_version or after > store.version:
                self.set_era_header()
                self.set_status(HISTORY_EXPIRED_STATUS)
                self.finish("{}")
                return
            changed = store.changed
            changes = sorted(
                (version, row_id)
                for row_id, (_, version) in store.rows.items()
                if row_id[0] == table and version > after
            )
            remaining_s = deadline - time.monotonic()
            if changes or remaining_s <= 0:
                self._respond([store.row(*row_id) for _, row_id in changes])
                return
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def post(self, call):
        """Apply a transaction, or reject it if a row has an unexpected version.

        `call` is not used; all requests of this method are `rows-tx`.
        """
        store = self.store
        body = json.loads(self.request.body)
        expected = body["expected_rev"]
        if any(
            store.version_of(check["table"], check["key"]) != check["ver"]
            for check in expected
        ):
            rows = [
                store.row(check["table"], check["key"])
                for check in expected
                if store.version_of(check["table"], check["key"])
            ]
            self.set_status(412)
            self._respond(rows)
            return
        for item in body["writes"]:
            value = base64.b64decode(item["value"])
            store.put(item["table"], item["key"], value)
        for item in body["remove"]:
            store.put(item["table"], item["key"], None)
        if store.lose_responses:
            store.lose_responses -= 1
            self.request.connection.stream.close()
            return
        self._respond()


@dataclass(slots=True)
class ReceivedRequest:
    """A request that a target received.

    `disconnected` is true if the caller closed the connection before the response. `at`
    is the time of arrival on the monotonic clock, seconds.
    """

    method: str
    path: str
    headers: dict
    body: bytes
    disconnected: bool = False
    at: float = field(default_factory=time.monotonic)

    @property
    def request_id(self):
        """Id of the request."""
        return self.headers.get("x-request-id", "")


async def _wait_for_eof(reader):
    """Wait until the peer closes a connection, without reading from it."""
    while not reader.at_eof():
        await asyncio.sleep(EOF_POLL_INTERVAL_S)


class ScriptedTarget:
    """A target that responds through `serve(request, writer)`, which tests may replace.

    Parameters
    ----------
    name : str
        Id of the target; a request for another target is rejected with status 421.
    service : str
        Service that the target reports.

    Attributes
    ----------
    received : list of ReceivedRequest
        Requests in the order of arrival, without health checks.
    running, max_running : int
        Number of requests that run now, and the highest number that ran at once.
    delay_s : float
        Time from a request to the response of `respond`, seconds.
    max_read_bytes : int or None
        The target responds after this many bytes of a body, without the rest.
    slots : int
        Maximum number of requests at once that the target reports.
    slowdown_percent : int
        Duration of requests that the target reports, in percent of the usual one.
    health_checks : int
        Number of health checks received.
    healthy : bool
        Whether the target says that it is healthy when its health is checked.
    sequence : int
        Sequence number of the last heartbeat.
    born_ms : int
        Start time that the target reports, milliseconds since the epoch.
    addr : tuple
        Address at which the target listens; None before `start`.
    draining : bool
        Whether `soak` has begun to drain the target. `soak` then sends no more `ready`
        heartbeats for it. The state that a heartbeat reports does not depend on this:
        it is an argument of `send_heartbeat`.
    """

    def __init__(self, name, service):
        self.name = name
        self.service = service
        self.received = []
        self.running = 0
        self.max_running = 0
        self.delay_s = 0.0
        self.serve = self.respond
        self.max_read_bytes = None
        self.slots = 12
        self.slowdown_percent = 100
        self.health_checks = 0
        self.healthy = True
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.draining = False
        self._server = None
        self._writers = set()
        self.addr = None

    async def start(self):
        """Listen at an ephemeral port."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        self.addr = self._server.sockets[0].getsockname()

    async def take_over(self, other):
        """Close another target and listen at its address."""
        other.close()
        await other._server.wait_closed()
        self.addr = other.addr
        self._server = await asyncio.start_server(self._handle_connection, *self.addr)

    async def respond(self, request, writer, body=b"whole answer", **headers):
        """Send a correct response after `delay_s`."""
        await asyncio.sleep(self.delay_s)
        self.write_response(request, writer, body, **headers)

    def write_response(self, request, writer, body, status="200 OK", **headers):
        """Write a complete response.

        `headers` are added to the usual ones or replace them; underscores in their
        names stand for hyphens.
        """
        # The values of `X-Server-Load` are the numbers of running requests, of waiting
        # requests and of slots, and the slowdown in percent.
        lines = {
            "X-Request-Id": request.request_id,
            "X-Response-Stamp": RESPONSE_STAMP,
            "X-Server-Load": f"{self.running},0,{self.slots},{self.slowdown_percent}",
            "Content-Length": str(len(body)),
        }
        lines |= {name.replace("_", "-"): value for name, value in headers.items()}
        head = f"HTTP/1.1 {status}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        writer.write(head.encode() + b"\r\n" + body)

    async def _handle_connection(self, reader, writer):
        """Serve the requests of one connection."""
        self._writers.add(writer)
        try:
            while True:
                request = await self._read_request(reader)
                await self._handle_request(request, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read_request(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        request_line, *lines = head.strip().split("\r\n")
        method, path, _ = request_line.split(" ")
        headers = {
            name.lower(): value
            for name, value in (line.split(": ", 1) for line in lines)
        }
        length = int(headers.get("content-length", 0))
        if self.max_read_bytes is not None:
            length = min(length, self.max_read_bytes)
        return ReceivedRequest(method, path, headers, await reader.readexactly(length))

    async def _handle_request(self, request, reader, writer):
        """Respond to one request; `serve` is cancelled if the caller disconnects."""
        if request.path == "/healthz":
            self.health_checks += 1
            status = "200 OK" if self.healthy else "503 Service Unavailable"
            self.write_response(request, writer, b"", status, X_Instance_Id=self.name)
            return
        if request.headers.get("x-expect-instance") != self.name:
            self.write_response(
                request, writer, b"", "421 Misdirected Request", X_Instance_Id=self.name
            )
            return
        self.received.append(request)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        work = asyncio.ensure_future(self.serve(request, writer))
        disconnect = asyncio.ensure_future(_wait_for_eof(reader))
        try:
            await asyncio.wait([work, disconnect], return_when=asyncio.FIRST_COMPLETED)
            if disconnect.done() and not work.done():
                request.disconnected = True
                raise ConnectionResetError
            await work
        finally:
            self.running -= 1
            work.cancel()
            disconnect.cancel()

    async def send_heartbeat(self, node, state="ready", **changes):
        """Send a heartbeat to a node; return the status of the response.

        `changes` are keys of the JSON body to add or replace, with their values.
        """
        self.sequence += 1
        body = {
            "address": "{}:{}".format(*self.addr),
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "kerio",
                "slots": self.slots,
            },
            "status": {"state": state, "sequence": self.sequence, "cold_left": "0ms"},
        }
        path = f"/v1/rpc?call=instances.heartbeat&of={self.name}"
        return await self._post(node, path, body | changes)

    async def send_leave(self, node):
        """Tell a node that the target leaves; return the status of the response."""
        path = f"/v1/rpc?call=instances.leave&of={self.name}"
        return await self._post(node, path, {"born": self.born_ms})

    async def _post(self, node, path, body):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        reader, writer = await asyncio.open_connection(*node.cfg.heartbeats_addr)
        head = f"POST {path} HTTP/1.1\r\nHost: node\r\nContent-Length: {len(data)}"
        writer.write(head.encode() + b"\r\nConnection: close\r\n\r\n" + data)
        response = await reader.read()
        writer.close()
        return int(response.split(b" ")[1])

    def close(self):
        """Stop listening and abort the open connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
