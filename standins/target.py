"""Stand-in of a target: an HTTP server that announces itself to its node.

Faults are set by `POST /faults`: `delay_s`, `fail`, `shed`, `silent`. `GET /runs`
lists the identifiers (`X-Run-Id`) of the requests that ran, in order.
"""

import asyncio
import json
import signal
from dataclasses import dataclass, field

from absl import app, flags
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler, stream_request_body

RENEW_S = 1.0


@dataclass
class TargetModel:
    """What the stand-in does with requests."""

    target_id: str
    service: str
    slots: int = 12
    connections: int = 260
    delay_s: float = 0.0
    fail: bool = False
    shed: bool = False
    silent: bool = False
    state: str = "up"
    inflight: int = 0
    runs: list = field(default_factory=list)
    slot_free: asyncio.Semaphore = None

    def load(self):
        """Return the value of the load header."""
        return f"{self.inflight}/{self.slots}"


@stream_request_body
class WorkHandler(RequestHandler):
    """Serves every path that is not of the stand-in itself."""

    def initialize(self, model):
        """Take the model."""
        self.model = model
        self.received = 0

    def data_received(self, chunk):
        """Count the body."""
        self.received += len(chunk)

    async def _work(self):
        model = self.model
        if model.silent:
            await asyncio.Event().wait()
        if model.shed:
            self.set_status(503)
            self.set_header("X-Not-Run", "1")
            return
        if model.fail:
            self.set_status(500)
            return
        model.inflight += 1
        try:
            async with model.slot_free:
                run_id = self.request.headers.get("X-Run-Id")
                if run_id:
                    model.runs.append(run_id)
                if model.delay_s:
                    await asyncio.sleep(model.delay_s)
        finally:
            model.inflight -= 1
        self.set_header("X-Target-Load", model.load())
        self.set_header("X-Target-Id", model.target_id)
        size = int(self.get_query_argument("size", "0"))
        body = {"run": run_id, "target": model.target_id, "received": self.received}
        self.write(b"x" * size if size else json.dumps(body))

    get = post = put = delete = _work


class LoadHandler(RequestHandler):
    """The load endpoint."""

    def initialize(self, model):
        """Take the model."""
        self.model = model

    def get(self):
        """Answer the load."""
        self.set_header("X-Target-Load", self.model.load())
        self.write({"inflight": self.model.inflight, "slots": self.model.slots})


class RunsHandler(LoadHandler):
    """Requests that ran."""

    def get(self):
        """Answer the run identifiers in order."""
        self.write({"runs": self.model.runs})


class FaultsHandler(LoadHandler):
    """Sets the faults in force."""

    def post(self):
        """Set the given faults and keep the others."""
        for name, value in json.loads(self.request.body).items():
            setattr(self.model, name, value)


async def announce(model, addr, node_admin):
    """Announce the target to its node, and again every second."""
    client = AsyncHTTPClient()
    url = f"http://{node_admin}/v1/targets/{model.target_id}"
    while True:
        body = {
            "service": model.service,
            "addr": addr,
            "slots": model.slots,
            "connections": model.connections,
            "state": model.state,
        }
        try:
            await client.fetch(url, method="PUT", body=json.dumps(body))
        except OSError:
            pass
        except Exception as exc:
            print(f"announcement refused: {exc}", flush=True)
        await asyncio.sleep(RENEW_S)


async def serve(model, port, node_admin):
    """Serve until SIGTERM, then drain, finish what is in flight and end."""
    model.slot_free = asyncio.Semaphore(model.slots)
    sockets = bind_sockets(port, "127.0.0.1")
    args = {"model": model}
    server = HTTPServer(
        Application(
            [
                (r"/load", LoadHandler, args),
                (r"/runs", RunsHandler, args),
                (r"/faults", FaultsHandler, args),
                (r"/.*", WorkHandler, args),
            ],
            log_function=lambda handler: None,
        ),
        max_body_size=16 * 1024**3,
    )
    server.add_sockets(sockets)
    addr = sockets[0].getsockname()[:2]
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    task = loop.create_task(announce(model, addr, node_admin)) if node_admin else None
    print(json.dumps({"target": model.target_id, "addr": addr}), flush=True)
    await stopping.wait()
    if task is not None:
        task.cancel()
        base = f"http://{node_admin}/v1/targets/{model.target_id}"
        client = AsyncHTTPClient()
        await client.fetch(base + "/drain", method="POST", body="")
        await asyncio.sleep(1.0)
        while model.inflight:
            await asyncio.sleep(0.05)
        await client.fetch(base, method="DELETE")
    server.stop()


def main(argv):
    """Run one target."""
    args = flags.FLAGS
    model = TargetModel(args.target_id, args.service, args.slots, args.connections)
    model.delay_s = args.delay_s
    asyncio.run(serve(model, args.port, args.node_admin))


if __name__ == "__main__":
    flags.DEFINE_string("target_id", "t1", "Name of the target.")
    flags.DEFINE_string("service", "hive-ledger", "Service of the target.")
    flags.DEFINE_integer("slots", 12, "Requests served at once.")
    flags.DEFINE_integer("connections", 260, "Connections accepted.")
    flags.DEFINE_float("delay_s", 0.0, "Time of service in seconds.")
    flags.DEFINE_integer("port", 0, "Port; chosen by the system if 0.")
    flags.DEFINE_string("node_admin", "", "Admin address of the node on this host.")
    app.run(main)
