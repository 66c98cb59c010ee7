"""Measures the latency and the CPU time that a node adds to a call.

A direct connection, a plain `IOStream` relay and a node are measured in turn, several
times within one run, so that a change in the host's load affects all three. Calls
are sent at fixed intervals over persistent connections. The latency of a call runs
from writing the request to the last byte of the response.

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

RATES_PER_S = (150, 400)
# Response body sizes in bytes.
BODY_SIZES = (512, 64 * 1024)
# Ways to reach the target; `direct` is a connection without an intermediary.
MODES = ("direct", "relay", "node")
# Limit for the p99 with a node minus the p99 with a direct connection.
MAX_ADDED_P99_MS = 0.81
ANNOUNCE_INTERVAL_S = 1.0
WARM_UP_CALLS = 100
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# The node selects the service by `Host` and forwards `X-Run-Id` unchanged.
REQUEST = b"GET /?size=%d HTTP/1.1\r\nHost: hive-ledger\r\nX-Run-Id: r\r\n\r\n"


class Responder(asyncio.Protocol):
    """A target that responds at once with a body of the size given in the query.

    All connections share `responses`, the bytes of each response by body size.
    """

    responses = {}

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport
        self.data = b""

    def data_received(self, data):
        """Respond to each complete request header."""
        self.data += data
        while b"\r\n\r\n" in self.data:
            request_header, _, self.data = self.data.partition(b"\r\n\r\n")
            size = int(request_header.split(b" ", 2)[1].partition(b"size=")[2] or 0)
            if size not in self.responses:
                header = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
                self.responses[size] = header + b"x" * size
            self.transport.write(self.responses[size])


class Relay(TCPServer):
    """Copies bytes between a caller and the target without parsing them."""

    def __init__(self, target_addr):
        super().__init__()
        self._target_addr = target_addr

    async def handle_stream(self, stream, address):
        """Connect to the target and copy bytes in both directions."""
        target = IOStream(socket.socket())
        await target.connect(self._target_addr)
        stream.set_nodelay(True)
        target.set_nodelay(True)
        await asyncio.gather(self._copy(stream, target), self._copy(target, stream))

    async def _copy(self, source, destination):
        try:
            while True:
                await destination.write(
                    await source.read_bytes(64 * 1024, partial=True)
                )
        except StreamClosedError:
            destination.close()


async def serve_responder():
    """Run the target until the process is killed.

    Prints its address as a line of JSON, which becomes `Process.info` in the parent.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Responder, "127.0.0.1", 0)
    print(json.dumps({"addr": server.sockets[0].getsockname()}), flush=True)
    await asyncio.Event().wait()


async def serve_relay(target_port):
    """Run the relay to a local target port until the process is killed.

    Prints its address like `serve_responder`.
    """
    sockets = bind_sockets(0, "127.0.0.1")
    Relay(("127.0.0.1", target_port)).add_sockets(sockets)
    print(json.dumps({"addr": sockets[0].getsockname()}), flush=True)
    await asyncio.Event().wait()


class CallerConnection(asyncio.Protocol):
    """A persistent connection with at most one call in flight.

    Appends itself to `idle` after each response. `size` is the size of the
    response bodies, bytes.
    """

    def __init__(self, idle, size):
        self.idle = idle
        self.size = size
        self.on_response = None

    def connection_made(self, transport):
        """Store the transport and disable Nagle's algorithm."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, on_response):
        """Send a call; at the end of the response, call `on_response(latency_s)`."""
        self.on_response = on_response
        self.received = b""
        self.remaining_bytes = None
        self.sent_at = time.perf_counter()
        self.transport.write(REQUEST % self.size)

    def data_received(self, data):
        """Read part of the response; its end completes the call."""
        if self.remaining_bytes is None:
            self.received += data
            header, separator, body = self.received.partition(b"\r\n\r\n")
            if not separator:
                return
            assert header.startswith(b"HTTP/1.1 200"), header
            self.remaining_bytes = self.size
            data = body
        self.remaining_bytes -= len(data)
        if self.remaining_bytes == 0:
            self.idle.append(self)
            self.on_response(time.perf_counter() - self.sent_at)


async def send_calls(addr, rate, size, count):
    """Send `count` calls at `rate` per second; return their latencies in seconds."""
    loop = asyncio.get_running_loop()
    idle, latencies = deque(), []
    finished = asyncio.Event()

    def on_response(latency_s):
        latencies.append(latency_s)
        if len(latencies) == count:
            finished.set()

    started_at = loop.time()
    for number in range(count):
        await asyncio.sleep(max(0.0, started_at + number / rate - loop.time()))
        if not idle:
            _, connection = await loop.create_connection(
                lambda: CallerConnection(idle, size), *addr
            )
        else:
            connection = idle.pop()
        connection.send(on_response)
    await asyncio.wait_for(finished.wait(), 10.0)
    for connection in idle:
        connection.transport.close()
    return latencies


def cpu_time_s(process):
    """Return the CPU time that a process has used so far, in seconds."""
    with open(f"/proc/{process.popen.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    # Fields utime and stime of proc(5).
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def measure(addrs, processes, rate, size, rounds, seconds):
    """Measure all modes with one rate and body size.

    Parameters
    ----------
    addrs : dict
        Address to send calls to, by mode.
    processes : dict of str to Process
        The relay and node processes, by mode. The mode `direct` has none; its CPU time
        is given as 0.
    rate : float
        Calls per second.
    size : int
        Size of the response body, bytes.
    rounds : int
        Number of measurements of each mode.
    seconds : float
        Duration of one measurement.

    Returns
    -------
    dict of str to dict
        p50 and p99 of the latency in ms, and CPU time per call in us, by mode.
    """
    histograms = {mode: HdrHistogram(1, 10_000_000, 3) for mode in MODES}
    cpu_s = dict.fromkeys(MODES, 0.0)
    count = int(rate * seconds)
    for mode in MODES:
        asyncio.run(send_calls(addrs[mode], rate, size, WARM_UP_CALLS))
    for number in range(rounds):
        # Each round starts with the next mode, so that no mode always follows the same
        # one.
        for mode in MODES[number % 3 :] + MODES[: number % 3]:
            process = processes.get(mode)
            cpu_before_s = cpu_time_s(process) if process else 0.0
            for latency_s in asyncio.run(send_calls(addrs[mode], rate, size, count)):
                histograms[mode].record_value(int(latency_s * 1e6))
            if process:
                cpu_s[mode] += cpu_time_s(process) - cpu_before_s
    return {
        mode: {
            "p50_ms": histograms[mode].get_value_at_percentile(50) / 1000,
            "p99_ms": histograms[mode].get_value_at_percentile(99) / 1000,
            "processor_us": 1e6 * cpu_s[mode] / (count * rounds),
        }
        for mode in MODES
    }


def run(rounds, seconds, rates=RATES_PER_S, sizes=BODY_SIZES):
    """Measure every combination of rate and body size.

    `rounds` and `seconds` are passed to `measure`.

    Returns
    -------
    list of dict
        Results of `measure` with their `rate` and `size`.
    """
    cluster, stopped = Cluster(), threading.Event()
    try:
        responder = cluster.start("bench.added_time", "--role=responder")
        port = responder.info["addr"][1]
        relay = cluster.start(
            "bench.added_time", "--role=relay", f"--target_port={port}"
        )
        node = cluster.start_node("n1")
        announcer = threading.Thread(
            target=announce, args=(cluster, responder.info["addr"], stopped)
        )
        announcer.start()
        # `data` is the address at which the node accepts calls.
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
    """Announce the responder to the node every second until `stopped` is set.

    Also ends if the node does not respond; `run` may have killed it.
    """
    body = {"service": "hive-ledger", "addr": addr}
    while not stopped.is_set():
        try:
            cluster.admin("n1", "/v1/targets/t1", "PUT", body)
        except OSError:
            return
        stopped.wait(ANNOUNCE_INTERVAL_S)


def print_report(results):
    """Print one line per result; return whether all added p99s are within the limit."""
    header = "rate  size   " + "".join(f"{mode:>9} p50   p99" for mode in MODES)
    print(header + "   added p99  node/relay   us/call relay  node")
    within_limit = True
    for result in results:
        latencies = "".join(
            f"{result[mode]['p50_ms']:13.3f}{result[mode]['p99_ms']:6.2f}"
            for mode in MODES
        )
        added_ms = result["node"]["p99_ms"] - result["direct"]["p99_ms"]
        ratio = result["node"]["p50_ms"] / result["relay"]["p50_ms"]
        cpu_us = [result[mode]["processor_us"] for mode in ("relay", "node")]
        within_limit = within_limit and added_ms <= MAX_ADDED_P99_MS
        print(
            f"{result['rate']:4} {result['size']:6} {latencies} {added_ms:10.2f}"
            f" {ratio:11.2f} {cpu_us[0]:15.0f} {cpu_us[1]:5.0f}"
        )
    relation = "within" if within_limit else "above"
    print(
        f"added p99 {relation} the limit of {MAX_ADDED_P99_MS} ms; "
        f"load average {os.getloadavg()}"
    )
    return within_limit


def main(argv):
    """Run the measurement, or one of its processes if `--role` is given."""
    args = flags.FLAGS
    if args.role == "responder":
        asyncio.run(serve_responder())
    elif args.role == "relay":
        asyncio.run(serve_relay(args.target_port))
    else:
        results = run(args.rounds, args.seconds)
        if args.json:
            print(json.dumps(results))
        return 0 if print_report(results) else 1


if __name__ == "__main__":
    flags.DEFINE_enum(
        "role", "", ["", "responder", "relay"], "Process to run; empty for all."
    )
    flags.DEFINE_integer("target_port", 0, "Port of the responder, for the relay.")
    flags.DEFINE_integer("rounds", 5, "Rounds; each measures every mode once.")
    flags.DEFINE_float("seconds", 2.0, "Duration of one measurement.")
    flags.DEFINE_bool("json", False, "Print the results as JSON as well.")
    sys.exit(app.run(main))
