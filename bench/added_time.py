"""Time and processor time that a node adds to a call.

A direct connection, a bare `IOStream` relay and a node are measured in turn, several
times within one run, so that a change of the machine's load meets all three. Calls
are sent at fixed intervals on kept connections; the time runs from the write of the
request to the last byte of the answer.

Usage: `python -m bench.added_time [--rounds=5] [--seconds=2] [--json]`.
"""

import asyncio
import json
import os
import socket
import sys
import threading
import time
from collections import deque

from absl import app, flags
from hdrh.histogram import HdrHistogram
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from standins.cluster import Cluster, http, wait_until

RATES = (150, 400)
SIZES = (512, 64 * 1024)
MODES = ("direct", "relay", "node")
LIMIT_MS = 0.81
RENEW_S = 1.0
WARM_UP_CALLS = 100
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
REQUEST = b"GET /?size=%d HTTP/1.1\r\nHost: hive-ledger\r\nX-Run-Id: r\r\n\r\n"


class Responder(asyncio.Protocol):
    """A target that answers at once with the body size that the query names."""

    answers = {}

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport
        self.data = b""

    def data_received(self, data):
        """Answer each complete request head."""
        self.data += data
        while b"\r\n\r\n" in self.data:
            head, _, self.data = self.data.partition(b"\r\n\r\n")
            size = int(head.split(b" ", 2)[1].partition(b"size=")[2] or 0)
            if size not in self.answers:
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
                self.answers[size] = head + b"x" * size
            self.transport.write(self.answers[size])


class Relay(TCPServer):
    """Copies bytes between a caller and the target, without reading them."""

    def __init__(self, addr):
        super().__init__()
        self._addr = addr

    async def handle_stream(self, stream, address):
        """Serve one connection."""
        target = IOStream(socket.socket())
        await target.connect(self._addr)
        stream.set_nodelay(True)
        target.set_nodelay(True)
        await asyncio.gather(self._copy(stream, target), self._copy(target, stream))

    async def _copy(self, source, sink):
        try:
            while True:
                await sink.write(await source.read_bytes(64 * 1024, partial=True))
        except StreamClosedError:
            sink.close()


async def serve_responder():
    """Serve as the target until the process is ended."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Responder, "127.0.0.1", 0)
    print(json.dumps({"addr": server.sockets[0].getsockname()}), flush=True)
    await asyncio.Event().wait()


async def serve_relay(port):
    """Serve as the relay until the process is ended."""
    sockets = bind_sockets(0, "127.0.0.1")
    Relay(("127.0.0.1", port)).add_sockets(sockets)
    print(json.dumps({"addr": sockets[0].getsockname()}), flush=True)
    await asyncio.Event().wait()


class Caller(asyncio.Protocol):
    """A kept connection with at most one call in flight."""

    def __init__(self, idle, size):
        self.idle = idle
        self.size = size
        self.done = None

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, done):
        """Send a call and call `done(seconds)` at the end of the answer."""
        self.done = done
        self.head = b""
        self.left = None
        self.sent = time.perf_counter()
        self.transport.write(REQUEST % self.size)

    def data_received(self, data):
        """Count the answer."""
        if self.left is None:
            self.head += data
            head, mark, body = self.head.partition(b"\r\n\r\n")
            if not mark:
                return
            assert head.startswith(b"HTTP/1.1 200"), head
            self.left = self.size
            data = body
        self.left -= len(data)
        if self.left == 0:
            self.idle.append(self)
            self.done(time.perf_counter() - self.sent)


async def load(addr, rate, size, count):
    """Send `count` calls at a rate; return their times in seconds."""
    loop = asyncio.get_running_loop()
    idle, times = deque(), []
    finished = asyncio.Event()

    def done(seconds):
        times.append(seconds)
        if len(times) == count:
            finished.set()

    begin = loop.time()
    for number in range(count):
        await asyncio.sleep(max(0.0, begin + number / rate - loop.time()))
        if not idle:
            _, caller = await loop.create_connection(lambda: Caller(idle, size), *addr)
        else:
            caller = idle.pop()
        caller.send(done)
    await asyncio.wait_for(finished.wait(), 10.0)
    for caller in idle:
        caller.transport.close()
    return times


def processor_s(process):
    """Return the processor time that a process has used, seconds."""
    with open(f"/proc/{process.popen.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def measure(addrs, processes, rate, size, rounds, seconds):
    """Return p50 and p99 in ms and processor time per call in us, by mode."""
    histograms = {mode: HdrHistogram(1, 10_000_000, 3) for mode in MODES}
    used = dict.fromkeys(MODES, 0.0)
    count = int(rate * seconds)
    for mode in MODES:
        asyncio.run(load(addrs[mode], rate, size, WARM_UP_CALLS))
    for number in range(rounds):
        # The order turns, so that no mode always follows the same other one.
        for mode in MODES[number % 3 :] + MODES[: number % 3]:
            process = processes.get(mode)
            before = processor_s(process) if process else 0.0
            for value in asyncio.run(load(addrs[mode], rate, size, count)):
                histograms[mode].record_value(int(value * 1e6))
            if process:
                used[mode] += processor_s(process) - before
    return {
        mode: {
            "p50_ms": histograms[mode].get_value_at_percentile(50) / 1000,
            "p99_ms": histograms[mode].get_value_at_percentile(99) / 1000,
            "processor_us": 1e6 * used[mode] / (count * rounds),
        }
        for mode in MODES
    }


def run(rounds, seconds, rates=RATES, sizes=SIZES):
    """Measure every rate and size; return a list of results."""
    cluster, stopped = Cluster(), threading.Event()
    try:
        responder = cluster.start("bench.added_time", "--role=responder")
        port = responder.info["addr"][1]
        relay = cluster.start(
            "bench.added_time", "--role=relay", f"--target_port={port}"
        )
        node = cluster.start_node("n1")
        renewal = threading.Thread(
            target=announce, args=(cluster, responder.info["addr"], stopped)
        )
        renewal.start()
        url = "http://{}:{}/?size=1".format(*node.info["data"])
        wait_until(lambda: http(url, headers={"Host": "hive-ledger"})[0] == 200)
        addrs = {
            "direct": responder.info["addr"],
            "relay": relay.info["addr"],
            "node": node.info["data"],
        }
        processes = {"relay": relay, "node": node}
        return [
            {
                "rate": rate,
                "size": size,
                **measure(addrs, processes, rate, size, rounds, seconds),
            }
            for rate in rates
            for size in sizes
        ]
    finally:
        stopped.set()
        cluster.close()


def announce(cluster, addr, stopped):
    """Announce the responder to the node every second."""
    body = {"service": "hive-ledger", "addr": addr}
    while not stopped.is_set():
        try:
            cluster.admin("n1", "/v1/targets/t1", "PUT", body)
        except OSError:
            return
        stopped.wait(RENEW_S)


def report(results):
    """Print one line for each result and return whether the limit holds."""
    head = "rate  size   " + "".join(f"{mode:>9} p50   p99" for mode in MODES)
    print(head + "   added p99  node/relay   us/call relay  node")
    good = True
    for res in results:
        times = "".join(
            f"{res[mode]['p50_ms']:13.3f}{res[mode]['p99_ms']:6.2f}" for mode in MODES
        )
        added = res["node"]["p99_ms"] - res["direct"]["p99_ms"]
        ratio = res["node"]["p50_ms"] / res["relay"]["p50_ms"]
        used = [res[mode]["processor_us"] for mode in ("relay", "node")]
        good = good and added <= LIMIT_MS
        print(
            f"{res['rate']:4} {res['size']:6} {times} {added:10.2f} {ratio:11.2f}"
            f" {used[0]:15.0f} {used[1]:5.0f}"
        )
    verdict = "within" if good else "above"
    print(f"added p99 {verdict} the limit of {LIMIT_MS} ms; load {os.getloadavg()}")
    return good


def main(argv):
    """Run a role, or the measurement."""
    args = flags.FLAGS
    if args.role == "responder":
        asyncio.run(serve_responder())
    elif args.role == "relay":
        asyncio.run(serve_relay(args.target_port))
    else:
        results = run(args.rounds, args.seconds)
        if args.json:
            print(json.dumps(results))
        return 0 if report(results) else 1


if __name__ == "__main__":
    flags.DEFINE_enum("role", "", ["", "responder", "relay"], "Part to play.")
    flags.DEFINE_integer("target_port", 0, "Port of the responder, for the relay.")
    flags.DEFINE_integer("rounds", 5, "Rounds; each measures all modes in turn.")
    flags.DEFINE_float("seconds", 2.0, "Length of one measurement in a round.")
    flags.DEFINE_bool("json", False, "Print the results as JSON as well.")
    sys.exit(app.run(main))
