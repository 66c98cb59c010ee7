"""Stand-in of a target: an HTTP server that announces itself to its node.

Faults are set by `POST /faults` with fields of `TargetModel`; `{"reset": true}` sets
all back and clears the counters, which `GET /faults` answers. `GET /runs` lists the
identifiers (`X-Run-Id`) of the requests that ran, in order. `/load` and `/health` are
the endpoints of a target that probes and checks ask.
"""

import asyncio
import dataclasses
import json
import signal
from collections import Counter, deque
from dataclasses import dataclass, field

from absl import app, flags
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler, stream_request_body

from .work import Overloaded, WorkQueue, make_noise, service_times

RENEW_S = 1.0
QUIET_S = 1.0
LOAD_SAMPLE_S = 0.02


@dataclass
class TargetModel:
    """What the stand-in does with requests.

    Parameters
    ----------
    slots, queue, connections : int
        Requests that run at once, wait (unlimited if negative) and connections held.
    delay_s : float
        Fixed time of service, unless `mean_s` is set.
    mean_s, sigma, seed : float, float, int
        Log-normal time of service.
    fail, shed, silent : bool
        Answer 500 at once; answer 503 with `X-Not-Run: 1`; never answer.
    silence_open : bool
        The connections open now never answer again; new ones work.
    slowdown : float
        Factor on the time of service.
    noise : dict
        Arguments of `make_noise` for a noisy neighbour.
    cold_s, cold_factor : float
        Length of a cold start that begins when `cold_s` is set, and its slowdown.
    load_lag_s : float
        Age of the load and of the health that are reported.
    load_report : str
        Load that is reported instead of the true one; `none` leaves it out.
    health_status : int
        Status that `/health` answers whatever the state is.
    """

    target_id: str
    service: str
    region: str = ""
    slots: int = 12
    queue: int = -1
    connections: int = 260
    delay_s: float = 0.0
    mean_s: float = 0.0
    sigma: float = 0.5
    seed: int = 1
    fail: bool = False
    shed: bool = False
    silent: bool = False
    silence_open: bool = False
    slowdown: float = 1.0
    noise: dict = field(default_factory=dict)
    cold_s: float = 0.0
    cold_factor: float = 10.0
    load_lag_s: float = 0.0
    load_report: str = ""
    health_status: int = 0
    state: str = "up"

    def __post_init__(self):
        """Keep the initial values for a reset."""
        self.initial = dataclasses.asdict(self)
        self.runs = []
        self.counters = Counter()
        self.open = set()
        self.silenced = set()
        self.calls = set()
        self.stopping = False
        self.called_at = 0.0
        self.work = WorkQueue(self.slots, self.queue)
        self._samples = deque(maxlen=500)
        self.changed = asyncio.Event()
        self._noise_task = None
        self._apply()

    @property
    def inflight(self):
        """Requests in slots or waiting for one."""
        return self.work.inflight

    def update(self, values):
        """Set the given fields and keep the others.

        Raises
        ------
        TypeError
            If a field is unknown.
        """
        values = dict(values)
        if values.pop("reset", False):
            self.counters.clear()
            self.work.work_s = 0.0
            values = self.initial | values
        unknown = values.keys() - self.initial.keys()
        if unknown:
            raise TypeError(f"unknown faults: {', '.join(sorted(unknown))}")
        for name, value in values.items():
            setattr(self, name, value)
        self._apply(values)
        self.changed.set()

    def _apply(self, values=()):
        self.work.slots, self.work.queue = self.slots, self.queue
        self.work.slow_down("slowdown", self.slowdown)
        if "cold_s" in values:
            self.work.slow_down("cold", self.cold_factor if self.cold_s else 1.0)
            if self.cold_s:
                loop = asyncio.get_running_loop()
                loop.call_later(self.cold_s, self.work.slow_down, "cold", 1.0)
        if not values or {"mean_s", "sigma", "seed"} & values.keys():
            mean_s = self.mean_s
            self.next_time = (
                service_times(mean_s, self.sigma, self.seed)
                if mean_s
                else lambda: self.delay_s
            )
        if "noise" in values:
            if self._noise_task is not None:
                self._noise_task.cancel()
                self._noise_task = None
            if self.noise:
                loop = asyncio.get_running_loop()
                self._noise_task = loop.create_task(make_noise(self.work, **self.noise))
        if self.silence_open:
            self.silence_open = False
            self.silenced |= self.open

    def sample(self, now):
        """Keep the load and health of this moment for lagging reports."""
        self._samples.append((now, self.inflight, self.fail))

    def load(self):
        """Return the value of the load header, None if it is left out."""
        if self.load_report == "none":
            return None
        inflight, _ = self._reported()
        return f"{self.load_report or inflight}/{self.slots}"

    def health(self):
        """Return the status that `/health` answers."""
        _, fails = self._reported()
        return self.health_status or (500 if fails else 200)

    def _reported(self):
        """Return the load and whether requests fail, as old as reports are."""
        if not self.load_lag_s:
            return self.inflight, self.fail
        then = asyncio.get_running_loop().time() - self.load_lag_s
        found = (item[1:] for item in reversed(self._samples) if item[0] <= then)
        return next(found, (0, False))


class TargetServer(HTTPServer):
    """Server with a connection limit that counts the bytes of each connection."""

    def initialize(self, *args, model, **kwargs):
        """Take the model."""
        super().initialize(*args, **kwargs)
        self.model = model

    def handle_stream(self, stream, address):
        """Serve a connection, or close it at once above the limit."""
        model = self.model
        if len(model.open) >= model.connections:
            model.counters["connections_refused"] += 1
            stream.close()
            return
        model.open.add(stream)
        stream.bytes_in = stream.bytes_out = 0
        read, write = stream.read_from_fd, stream.write_to_fd

        def read_from_fd(buf):
            count = read(buf)
            stream.bytes_in += count or 0
            return count

        def write_to_fd(data):
            count = write(data)
            stream.bytes_out += count
            return count

        stream.read_from_fd, stream.write_to_fd = read_from_fd, write_to_fd
        super().handle_stream(stream, address)

    def on_close(self, server_conn):
        """Forget a connection."""
        super().on_close(server_conn)
        self.model.open.discard(server_conn.stream)
        self.model.silenced.discard(server_conn.stream)


class ModelHandler(RequestHandler):
    """Base of the handlers."""

    kind = "admin"

    def initialize(self, model):
        """Take the model."""
        self.model = model

    async def prepare(self):
        """Never answer on a connection that went silent."""
        self.stream = self.request.connection.stream
        if self.model.silent or self.stream in self.model.silenced:
            await asyncio.Event().wait()

    def on_finish(self):
        """Count the bytes of this exchange, and those that crossed regions."""
        stream, counters = self.stream, self.model.counters
        counters[f"{self.kind}_bytes_in"] += stream.bytes_in
        counters[f"{self.kind}_bytes_out"] += stream.bytes_out
        caller = self.request.headers.get("X-Caller-Region", self.model.region)
        if caller != self.model.region:
            counters[f"{self.kind}_bytes_cross"] += stream.bytes_in + stream.bytes_out
        stream.bytes_in = stream.bytes_out = 0

    def set_load(self):
        """Set the load header, unless it is left out."""
        load = self.model.load()
        if load is not None:
            self.set_header("X-Target-Load", load)


@stream_request_body
class WorkHandler(ModelHandler):
    """Serves every path that is not of the stand-in itself."""

    kind = "call"
    received = 0
    task = None

    async def prepare(self):
        """Count the call as in progress from its head on."""
        self.model.calls.add(self)
        self.model.called_at = asyncio.get_running_loop().time()
        if self.model.stopping:
            self.set_header("Connection", "close")
        await super().prepare()

    def on_finish(self):
        """Count the call as done."""
        super().on_finish()
        self.model.calls.discard(self)

    def data_received(self, chunk):
        """Count the body."""
        self.received += len(chunk)

    def on_connection_close(self):
        """Cancel the work, because nobody waits for the answer."""
        self.model.calls.discard(self)
        if self.task is not None:
            self.task.cancel()

    def _on_start(self):
        self.model.counters["ran"] += 1
        run_id = self.request.headers.get("X-Run-Id")
        if run_id:
            self.model.runs.append(run_id)

    async def _work(self):
        model, counters = self.model, self.model.counters
        counters["attempts"] += 1
        counters["repeats"] += "X-Retry-Attempt" in self.request.headers
        if model.fail:
            counters["failed"] += 1
            self.set_status(500)
            return
        self.task = asyncio.current_task()
        try:
            if model.shed:
                raise Overloaded()
            await model.work.run(model.next_time(), self._on_start)
        except Overloaded:
            counters["shed"] += 1
            self.set_status(503)
            self.set_header("X-Not-Run", "1")
            self.set_load()
            return
        except asyncio.CancelledError:
            counters["cancelled"] += 1
            # An empty answer would look like that of a call that has run.
            self.stream.close()
            return
        finally:
            self.task = None
        self.set_load()
        self.set_header("X-Target-Id", model.target_id)
        size = int(self.get_query_argument("size", "0"))
        run_id = self.request.headers.get("X-Run-Id")
        fill = int(self.get_query_argument("fill", "0"))
        body = {"run": run_id, "target": model.target_id, "received": self.received}
        if fill:
            # A body that belongs to this request only.
            pattern = f"{run_id}|".encode()
            self.write((pattern * (fill // len(pattern) + 1))[:fill])
        else:
            self.write(b"x" * size if size else json.dumps(body))

    get = post = put = delete = _work


class LoadHandler(ModelHandler):
    """The load endpoint."""

    kind = "probe"

    def get(self):
        """Answer the load."""
        self.model.counters["probes"] += 1
        self.set_load()
        self.write({"inflight": self.model.inflight, "slots": self.model.slots})


class HealthHandler(ModelHandler):
    """The health endpoint."""

    kind = "health"

    def get(self):
        """Answer 200 if the target works, unless the status is set."""
        self.set_status(self.model.health())


class RunsHandler(ModelHandler):
    """Requests that ran."""

    def get(self):
        """Answer the run identifiers in order."""
        self.write({"runs": self.model.runs})


class FaultsHandler(ModelHandler):
    """Sets the faults in force."""

    async def prepare(self):
        """Answer on a silent target as well."""
        self.stream = self.request.connection.stream

    def get(self):
        """Answer the counters."""
        model = self.model
        extra = {"work_s": model.work.work_s, "inflight": model.inflight}
        self.write(dict(model.counters) | extra)

    def post(self):
        """Set the given faults and keep the others."""
        try:
            self.model.update(json.loads(self.request.body))
        except TypeError as exc:
            self.set_status(400)
            self.write({"error": str(exc)})


async def announce(model, addr, node_admin):
    """Announce the target to its node every second, and when its state changes."""
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
        model.changed.clear()
        try:
            await asyncio.wait_for(model.changed.wait(), RENEW_S)
        except asyncio.TimeoutError:
            pass


async def withdraw(model, node_admin):
    """Drain at the node, finish what is in flight and withdraw.

    Calls of nodes that have not heard of the drain yet are served; the target leaves
    after `QUIET_S` without a new call.
    """
    loop = asyncio.get_running_loop()
    base = f"http://{node_admin}/v1/targets/{model.target_id}"
    client = AsyncHTTPClient()
    await client.fetch(base + "/drain", method="POST", body="")
    drained_at = loop.time()
    while model.calls or loop.time() < max(model.called_at, drained_at) + QUIET_S:
        await asyncio.sleep(0.05)
    await client.fetch(base, method="DELETE")


async def sample_loads(model):
    """Record the load for reports that lag."""
    loop = asyncio.get_running_loop()
    while True:
        model.sample(loop.time())
        await asyncio.sleep(LOAD_SAMPLE_S)


async def serve(model, port, node_admins):
    """Serve until SIGTERM, then drain, finish what is in flight and end."""
    sockets = bind_sockets(port, "127.0.0.1")
    args = {"model": model}
    application = Application(
        [
            (r"/load", LoadHandler, args),
            (r"/health", HealthHandler, args),
            (r"/runs", RunsHandler, args),
            (r"/faults", FaultsHandler, args),
            (r"/.*", WorkHandler, args),
        ],
        log_function=lambda handler: None,
    )
    server = TargetServer(application, model=model, max_body_size=16 * 1024**3)
    server.add_sockets(sockets)
    addr = sockets[0].getsockname()[:2]
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    tasks = [loop.create_task(announce(model, addr, admin)) for admin in node_admins]
    tasks.append(loop.create_task(sample_loads(model)))
    print(json.dumps({"target": model.target_id, "addr": addr}), flush=True)
    await stopping.wait()
    for task in tasks:
        task.cancel()
    model.stopping = True
    gone = [withdraw(model, admin) for admin in node_admins]
    await asyncio.gather(*gone, return_exceptions=True)
    server.stop()
    while any(stream.writing() for stream in model.open):
        await asyncio.sleep(0.02)


def main(argv):
    """Run one target."""
    args = flags.FLAGS

    async def run():
        model = TargetModel(
            args.target_id,
            args.service,
            args.region,
            args.slots,
            connections=args.connections,
            delay_s=args.delay_s,
        )
        await serve(model, args.port, [a for a in args.node_admin.split(",") if a])

    asyncio.run(run())


if __name__ == "__main__":
    flags.DEFINE_string("target_id", "t1", "Name of the target.")
    flags.DEFINE_string("service", "hive-ledger", "Service of the target.")
    flags.DEFINE_string("region", "", "Region, to count bytes that cross regions.")
    flags.DEFINE_integer("slots", 12, "Requests served at once.")
    flags.DEFINE_integer("connections", 260, "Connections accepted.")
    flags.DEFINE_float("delay_s", 0.0, "Time of service in seconds.")
    flags.DEFINE_integer("port", 0, "Port; chosen by the system if 0.")
    flags.DEFINE_string(
        "node_admin", "", "Comma-separated admin addresses of nodes on this host."
    )
    app.run(main)
