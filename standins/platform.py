"""Stand-ins of the users' platform in one event loop: its store and its instances.

The store answers `rows-tx`, `rows-get` and `rows-feed` as the platform's pages say,
for rows with an empty part. An instance answers requests by a function of the test,
so that it can break the protocol at any byte.
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

HISTORY_GONE = 410
EOF_CHECK_S = 0.01
# Ends below 32768, where Linux begins with the ports that it chooses itself.
PORTS = range(20000, 32000)
# Test processes that run at once begin at different places.
_next_port = itertools.count(os.getpid() * 97)
STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"


def free_port():
    """Return a port that nothing listens at and no connection is given.

    It is not one that the system chooses for the near end of a connection, since such
    a port may be taken before the caller of this function listens there.
    """
    for _ in range(len(PORTS)):
        port = PORTS[next(_next_port) % len(PORTS)]
        try:
            for sock in bind_sockets(port, "127.0.0.1"):
                sock.close()
        except OSError:
            continue
        return port
    raise OSError(f"no free port in {PORTS}")


class StoreStandIn:
    """Rows in memory; faults are attributes that a test sets.

    Attributes
    ----------
    down : bool
        Every call is answered 503.
    silent : bool
        Calls have no effect and are never answered.
    lose_answers : int
        So many writes take effect without an answer.
    calls : list of str
        Paths of the calls that came.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.oldest = 0
        self.down = False
        self.silent = False
        self.lose_answers = 0
        self.calls = []
        self.changed = asyncio.Event()
        handlers = [(r"/v1/(rows-\w+)", _StoreHandler, {"store": self})]
        self._server = HTTPServer(Application(handlers))
        (sock,) = bind_sockets(0, "127.0.0.1")
        self.addr = sock.getsockname()
        self._server.add_sockets([sock])

    def put(self, table, key, value):
        """Write a row as the operator does; None removes it."""
        self.version += 1
        self.rows[table, key] = (value, self.version)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put_config(self, config):
        """Write the operator's configuration."""
        self.put("op", "config", json.dumps(config).encode())

    def forget_history(self):
        """Drop the changes up to now."""
        self.oldest = self.version + 1

    def row(self, table, key):
        """Return the JSON form of a row."""
        value, version = self.rows[table, key]
        item = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return {**item, "deleted": True}
        return {**item, "value": base64.b64encode(value).decode()}

    def version_of(self, table, key):
        """Return the version of a row, 0 if it does not exist."""
        value, version = self.rows.get((table, key), (None, 0))
        return version if value is not None else 0

    def close(self):
        """Stop serving."""
        self._server.stop()


class _StoreHandler(RequestHandler):
    def initialize(self, store):
        self.store = store

    async def prepare(self):
        self.store.calls.append(self.request.path)
        if self.store.silent:
            await asyncio.Event().wait()
        if self.store.down:
            self.set_status(503)
            self.finish()

    def _result(self, rows=None, **more):
        item = {"ver": self.store.version, "now": f"{int(time.monotonic() * 1000)}ms"}
        if rows is not None:
            item["rows"] = rows
        self.finish(json.dumps(item | more))

    async def get(self, call):
        """Read rows, or wait for their changes."""
        store = self.store
        table = self.get_query_argument("table")
        if call == "rows-get":
            found = [
                store.row(*place)
                for place, (value, _) in sorted(store.rows.items())
                if place[0] == table and value is not None
            ]
            self._result(found, has_more=False)
            return
        after = int(self.get_query_argument("after"))
        until = time.monotonic() + int(self.get_query_argument("wait_ms")) / 1000
        while True:
            if after + 1 < store.oldest:
                self.set_status(HISTORY_GONE)
                self.finish("{}")
                return
            changed = store.changed
            found = sorted(
                (version, place)
                for place, (_, version) in store.rows.items()
                if place[0] == table and version > after
            )
            left = until - time.monotonic()
            if found or left <= 0:
                self._result([store.row(*place) for _, place in found])
                return
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    async def post(self, call):
        """Apply a transaction, or none of it."""
        store = self.store
        body = json.loads(self.request.body)
        expected = body["expected_rev"]
        if any(store.version_of(i["table"], i["key"]) != i["ver"] for i in expected):
            rows = [
                store.row(i["table"], i["key"])
                for i in expected
                if store.version_of(i["table"], i["key"])
            ]
            self.set_status(412)
            self._result(rows)
            return
        for item in body["writes"]:
            value = base64.b64decode(item["value"])
            store.put(item["table"], item["key"], value)
        for item in body["remove"]:
            store.put(item["table"], item["key"], None)
        if store.lose_answers:
            store.lose_answers -= 1
            self.request.connection.stream.close()
            return
        self._result()


@dataclass(slots=True)
class ReceivedRequest:
    """A request that reached an instance."""

    method: str
    path: str
    headers: dict
    body: bytes
    closed: bool = False
    at: float = field(default_factory=time.monotonic)

    @property
    def request_id(self):
        """Id of the request."""
        return self.headers.get("x-request-id", "")


async def _closed(reader):
    """Wait for the end of a connection without reading from it."""
    while not reader.at_eof():
        await asyncio.sleep(EOF_CHECK_S)


class ScriptedTarget:
    """A target that answers requests by `serve(seen, writer)`.

    Parameters
    ----------
    name : str
        Its id; requests that expect another one get 421.
    """

    def __init__(self, name, service):
        self.name = name
        self.service = service
        self.received = []
        self.running = 0
        self.max_running = 0
        self.delay_s = 0.0
        self.serve = self.answer
        self.slots = 12
        self.percent = 100
        self.health_checks = 0
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.draining = False
        self._server = None
        self._writers = set()
        self.addr = None

    async def start(self):
        """Listen at a port that the system chooses."""
        self._server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        self.addr = self._server.sockets[0].getsockname()

    async def take_over(self, other):
        """End another instance and listen at its address in its place."""
        other.close()
        await other._server.wait_closed()
        self.addr = other.addr
        self._server = await asyncio.start_server(self._client, *self.addr)

    async def answer(self, seen, writer, body=b"whole answer", **headers):
        """Answer as a sound target does."""
        await asyncio.sleep(self.delay_s)
        self.write(seen, writer, body, **headers)

    def write(self, seen, writer, body, status="200 OK", **headers):
        """Write a whole answer."""
        lines = {
            "X-Request-Id": seen.request_id,
            "X-Response-Stamp": STAMP,
            "X-Server-Load": f"{self.running},0,{self.slots},{self.percent}",
            "Content-Length": str(len(body)),
        }
        lines |= {name.replace("_", "-"): value for name, value in headers.items()}
        head = f"HTTP/1.1 {status}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        writer.write(head.encode() + b"\r\n" + body)

    async def _client(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                seen = await self._read(reader)
                await self._run(seen, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        first, *lines = head.strip().split("\r\n")
        method, path, _ = first.split(" ")
        headers = {
            name.lower(): value
            for name, value in (line.split(": ", 1) for line in lines)
        }
        length = int(headers.get("content-length", 0))
        return ReceivedRequest(method, path, headers, await reader.readexactly(length))

    async def _run(self, seen, reader, writer):
        if seen.path == "/healthz":
            self.health_checks += 1
            self.write(seen, writer, b"", X_Instance_Id=self.name)
            return
        if seen.headers.get("x-expect-instance") != self.name:
            self.write(
                seen, writer, b"", "421 Misdirected Request", X_Instance_Id=self.name
            )
            return
        self.received.append(seen)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        work = asyncio.ensure_future(self.serve(seen, writer))
        gone = asyncio.ensure_future(_closed(reader))
        try:
            await asyncio.wait([work, gone], return_when=asyncio.FIRST_COMPLETED)
            if gone.done() and not work.done():
                seen.closed = True
                raise ConnectionResetError
            await work
        finally:
            self.running -= 1
            work.cancel()
            gone.cancel()

    async def send_heartbeat(self, node, state="ready", **changes):
        """Send a heartbeat to a node; return the status of its answer."""
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

    async def send_sign_off(self, node):
        """Sign off at a node."""
        path = f"/v1/rpc?call=instances.leave&of={self.name}"
        return await self._post(node, path, {"born": self.born_ms})

    async def _post(self, node, path, body):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        reader, writer = await asyncio.open_connection(*node.cfg.heartbeats_addr)
        head = f"POST {path} HTTP/1.1\r\nHost: node\r\nContent-Length: {len(data)}"
        writer.write(head.encode() + b"\r\nConnection: close\r\n\r\n" + data)
        answer = await reader.read()
        writer.close()
        return int(answer.split(b" ")[1])

    def close(self):
        """Stop listening and reset what is open."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
