"""Stand-in for a target: an HTTP server that announces itself to nodes.

A node is the load balancer process of a host. It forwards calls, which are requests of
callers, to targets.

`POST /faults` sets fields of `TargetModel`; `{"reset": true}` restores their initial
values and clears the counters, which `GET /faults` returns. `GET /runs` lists the ids
(`X-Run-Id`) of the requests that ran, in order. `/load` and `/health` are the
endpoints of a target that load probes and health checks use.

Requests to all other paths are calls. Without a query, the response to a call is JSON
data about the request; `?size=` or `?fill=` give the number of bytes of its body
instead. Bodies of `?size=` are all equal, those of `?fill=` repeat the run id.
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

from .work_queue import (
    Overloaded,
    WorkQueue,
    service_time_sampler,
    simulate_noisy_neighbour,
)

ANNOUNCE_INTERVAL_S = 1.0
# Time without a new call after which a draining target is removed.
QUIET_PERIOD_S = 1.0
LOAD_SAMPLE_INTERVAL_S = 0.02


@dataclass
class TargetModel:
    """Behaviour, injected faults and counters of the target.

    Parameters
    ----------
    target_id, service, region : str
        Id, service and region of the target.
    slots : int
        Maximum number of requests that run at once.
    queue : int
        Maximum number of requests that wait for a slot; unlimited if negative.
    connections : int
        Maximum number of open connections.
    delay_s : float
        Constant service time, used unless `mean_s` is set, seconds.
    mean_s, sigma, seed : float, float, int
        Mean in seconds, shape and random seed of log-normal service times.
    fail : bool
        Respond with 500 at once.
    shed : bool
        Respond with 503 and `X-Not-Run: 1`.
    silent : bool
        Never respond.
    silence_open : bool
        The connections that are open now get no more responses; new ones work.
    slowdown : float
        Factor on the service time.
    noise : dict
        Arguments of `simulate_noisy_neighbour`; no noise if empty.
    cold_s, cold_factor : float
        Length of a cold start that begins when `cold_s` is set, and the factor on the
        service time during it.
    load_lag_s : float
        Age of the load and health that the target reports, seconds.
    load_report : str
        Load to report instead of the actual one; `none` omits the header.
    health_status : int
        Status of responses to health checks, whatever the health is; 0 for the actual
        one.
    state : str
        State that the target announces.

    Attributes
    ----------
    initial : dict
        Initial values of all parameters, by name.
    runs : list of str
        Run ids of the requests that ran, in order.
    counters : Counter
        Counters, by the names under which `GET /faults` returns them.
    open_connections, silent_connections : set of IOStream
        Connections that are open, and those of them that get no more responses.
    open_calls : set of WorkHandler
        Calls in progress.
    stopping : bool
        Connections are closed after their next response.
    last_call_at : float
        Time of the event loop at which the last call arrived, seconds.
    work_queue : WorkQueue
    changed : asyncio.Event
        Set when fields have changed.
    draw_service_time : callable
        Returns the service time of the next request, seconds.
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
        """Store the initial values, which a reset restores, and apply them."""
        self.initial = dataclasses.asdict(self)
        self.runs = []
        self.counters = Counter()
        self.open_connections = set()
        self.silent_connections = set()
        self.open_calls = set()
        self.stopping = False
        self.last_call_at = 0.0
        self.work_queue = WorkQueue(self.slots, self.queue)
        # (time, load, whether requests fail); covers the last 10 s.
        self._samples = deque(maxlen=500)
        self.changed = asyncio.Event()
        self._noise_task = None
        self._apply()

    @property
    def inflight(self):
        """Number of requests that run or wait for a slot."""
        return self.work_queue.inflight

    def update(self, values):
        """Set the given fields and leave the others as they are.

        Raises
        ------
        TypeError
            If a field is unknown.
        """
        values = dict(values)
        if values.pop("reset", False):
            self.counters.clear()
            self.work_queue.total_slot_time_s = 0.0
            values = self.initial | values
        unknown = values.keys() - self.initial.keys()
        if unknown:
            raise TypeError(f"unknown faults: {', '.join(sorted(unknown))}")
        for name, value in values.items():
            setattr(self, name, value)
        self._apply(values)
        self.changed.set()

    def _apply(self, values=()):
        """Apply the fields; cold starts and noise change only if `values` sets them.

        `values` are the fields of an update, by name; empty for the initial values.
        """
        self.work_queue.slots, self.work_queue.max_waiting = self.slots, self.queue
        self.work_queue.slow_down("slowdown", self.slowdown)
        if "cold_s" in values:
            self.work_queue.slow_down("cold", self.cold_factor if self.cold_s else 1.0)
            if self.cold_s:
                loop = asyncio.get_running_loop()
                loop.call_later(self.cold_s, self.work_queue.slow_down, "cold", 1.0)
        if not values or {"mean_s", "sigma", "seed"} & values.keys():
            mean_s = self.mean_s
            self.draw_service_time = (
                service_time_sampler(mean_s, self.sigma, self.seed)
                if mean_s
                else lambda: self.delay_s
            )
        if "noise" in values:
            if self._noise_task is not None:
                self._noise_task.cancel()
                self._noise_task = None
            if self.noise:
                loop = asyncio.get_running_loop()
                self._noise_task = loop.create_task(
                    simulate_noisy_neighbour(self.work_queue, **self.noise)
                )
        if self.silence_open:
            self.silence_open = False
            self.silent_connections |= self.open_connections

    def sample(self, now):
        """Store the current load and health for reports delayed by `load_lag_s`."""
        self._samples.append((now, self.inflight, self.fail))

    def load(self):
        """Return the value of the load header, or None to omit it."""
        if self.load_report == "none":
            return None
        inflight, _ = self._reported()
        return f"{self.load_report or inflight}/{self.slots}"

    def health(self):
        """Return the status of the response to a health check."""
        _, failing = self._reported()
        return self.health_status or (500 if failing else 200)

    def _reported(self):
        """Return the load and whether requests fail, as they were `load_lag_s` ago.

        A target without a sample of that age reports no load and no failures.
        """
        if not self.load_lag_s:
            return self.inflight, self.fail
        reported_at = asyncio.get_running_loop().time() - self.load_lag_s
        old_enough = (
            sample[1:] for sample in reversed(self._samples) if sample[0] <= reported_at
        )
        return next(old_enough, (0, False))


class TargetServer(HTTPServer):
    """HTTP server that limits connections and counts the bytes of each of them."""

    def initialize(self, *args, model, **kwargs):
        """Store the model."""
        super().initialize(*args, **kwargs)
        self.model = model

    def handle_stream(self, stream, address):
        """Serve a connection, or close it at once if the limit is reached."""
        model = self.model
        if len(model.open_connections) >= model.connections:
            model.counters["connections_refused"] += 1
            stream.close()
            return
        model.open_connections.add(stream)
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
        """Remove a closed connection from the model."""
        super().on_close(server_conn)
        self.model.open_connections.discard(server_conn.stream)
        self.model.silent_connections.discard(server_conn.stream)


class ModelHandler(RequestHandler):
    """Base of the handlers; counts the bytes of requests and responses by `kind`."""

    kind = "admin"

    def initialize(self, model):
        """Store the model."""
        self.model = model

    async def prepare(self):
        """Never respond if the target or this connection is silent."""
        self.stream = self.request.connection.stream
        if self.model.silent or self.stream in self.model.silent_connections:
            await asyncio.Event().wait()

    def on_finish(self):
        """Count the bytes of the request and its response.

        If the caller is in another region, the bytes are also counted as cross-region.
        """
        stream, counters = self.stream, self.model.counters
        counters[f"{self.kind}_bytes_in"] += stream.bytes_in
        counters[f"{self.kind}_bytes_out"] += stream.bytes_out
        caller_region = self.request.headers.get("X-Caller-Region", self.model.region)
        if caller_region != self.model.region:
            counters[f"{self.kind}_bytes_cross"] += stream.bytes_in + stream.bytes_out
        stream.bytes_in = stream.bytes_out = 0

    def set_load(self):
        """Set the load header, unless a fault omits it."""
        load = self.model.load()
        if load is not None:
            self.set_header("X-Target-Load", load)


@stream_request_body
class WorkHandler(ModelHandler):
    """Handler of calls, at all paths except the target's own endpoints."""

    kind = "call"
    received_bytes = 0
    task = None

    async def prepare(self):
        """Count the call as in progress as soon as its head has arrived."""
        self.model.open_calls.add(self)
        self.model.last_call_at = asyncio.get_running_loop().time()
        if self.model.stopping:
            self.set_header("Connection", "close")
        await super().prepare()

    def on_finish(self):
        """Count the call as completed."""
        super().on_finish()
        self.model.open_calls.discard(self)

    def data_received(self, chunk):
        """Count the bytes of the body."""
        self.received_bytes += len(chunk)

    def on_connection_close(self):
        """Cancel the work, as its caller has disconnected."""
        self.model.open_calls.discard(self)
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
            await model.work_queue.run(model.draw_service_time(), self._on_start)
        except Overloaded:
            counters["shed"] += 1
            self.set_status(503)
            self.set_header("X-Not-Run", "1")
            self.set_load()
            return
        except asyncio.CancelledError:
            counters["cancelled"] += 1
            # Otherwise Tornado would send an empty response with status 200, as if the
            # request had run.
            self.stream.close()
            return
        finally:
            self.task = None
        self.set_load()
        self.set_header("X-Target-Id", model.target_id)
        size = int(self.get_query_argument("size", "0"))
        run_id = self.request.headers.get("X-Run-Id")
        fill = int(self.get_query_argument("fill", "0"))
        body = {
            "run": run_id,
            "target": model.target_id,
            "received": self.received_bytes,
        }
        if fill:
            # Requests with different run ids get different bodies.
            pattern = f"{run_id}|".encode()
            self.write((pattern * (fill // len(pattern) + 1))[:fill])
        else:
            self.write(b"x" * size if size else json.dumps(body))

    get = post = put = delete = _work


class LoadHandler(ModelHandler):
    """Handler of load probes."""

    kind = "probe"

    def get(self):
        """Respond with the load."""
        self.model.counters["probes"] += 1
        self.set_load()
        self.write({"inflight": self.model.inflight, "slots": self.model.slots})


class HealthHandler(ModelHandler):
    """Handler of health checks."""

    kind = "health"

    def get(self):
        """Respond with 200, or 500 if requests fail, unless a fault sets the status."""
        self.set_status(self.model.health())


class RunsHandler(ModelHandler):
    """Handler that lists the requests that ran."""

    def get(self):
        """Respond with the run ids in order."""
        self.write({"runs": self.model.runs})


class FaultsHandler(ModelHandler):
    """Handler that sets faults and returns the counters."""

    async def prepare(self):
        """Respond even if the target is silent."""
        self.stream = self.request.connection.stream

    def get(self):
        """Respond with the counters."""
        model = self.model
        current = {
            "work_s": model.work_queue.total_slot_time_s,
            "inflight": model.inflight,
        }
        self.write(dict(model.counters) | current)

    def post(self):
        """Set the given faults and leave the others as they are."""
        try:
            self.model.update(json.loads(self.request.body))
        except TypeError as exc:
            self.set_status(400)
            self.write({"error": str(exc)})


async def announce(model, addr, node_admin):
    """Announce the target to a node periodically and at each change of a fault."""
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
            print(f"announcement rejected: {exc}", flush=True)
        model.changed.clear()
        try:
            await asyncio.wait_for(model.changed.wait(), ANNOUNCE_INTERVAL_S)
        except asyncio.TimeoutError:
            pass


async def withdraw(model, node_admin):
    """Drain the target at a node, wait until its calls end and remove the target.

    Nodes that do not know of the drain yet may still send calls, which are served. The
    target is removed once no call has arrived for `QUIET_PERIOD_S`.
    """
    loop = asyncio.get_running_loop()
    base = f"http://{node_admin}/v1/targets/{model.target_id}"
    client = AsyncHTTPClient()
    await client.fetch(base + "/drain", method="POST", body="")
    drained_at = loop.time()
    while (
        model.open_calls
        or loop.time() < max(model.last_call_at, drained_at) + QUIET_PERIOD_S
    ):
        await asyncio.sleep(0.05)
    await client.fetch(base, method="DELETE")


async def sample_loads(model):
    """Sample load and health periodically for reports delayed by `load_lag_s`."""
    loop = asyncio.get_running_loop()
    while True:
        model.sample(loop.time())
        await asyncio.sleep(LOAD_SAMPLE_INTERVAL_S)


async def serve(model, port, node_admins):
    """Serve until SIGTERM, then drain, wait until all calls end and return.

    Parameters
    ----------
    model : TargetModel
    port : int
        0 lets the system choose a free port.
    node_admins : list of str
        Admin addresses, ip:port, of the nodes to announce the target to.
    """
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
    withdrawals = [withdraw(model, admin) for admin in node_admins]
    await asyncio.gather(*withdrawals, return_exceptions=True)
    server.stop()
    while any(stream.writing() for stream in model.open_connections):
        await asyncio.sleep(0.02)


def main(argv):
    """Run a target from the command-line flags."""
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
    flags.DEFINE_string("target_id", "t1", "Id of the target.")
    flags.DEFINE_string("service", "hive-ledger", "Service of the target.")
    flags.DEFINE_string(
        "region", "", "Region; traffic with other regions is also counted separately."
    )
    flags.DEFINE_integer("slots", 12, "Maximum number of requests that run at once.")
    flags.DEFINE_integer("connections", 260, "Maximum number of open connections.")
    flags.DEFINE_float("delay_s", 0.0, "Service time in seconds.")
    flags.DEFINE_integer("port", 0, "Port; chosen by the system if 0.")
    flags.DEFINE_string(
        "node_admin", "", "Comma-separated admin addresses of nodes on this host."
    )
    app.run(main)
