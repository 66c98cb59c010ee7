"""Open-loop load generator, run as a process of its own.

It reads one job per line of JSON from standard input, with the keys that `schedule` and
`NodeClient` take, and prints the results of each job as a line of JSON. Send times are
fixed in advance and latency counts from them, so that a stall of this process or of the
system shows in the results (no coordinated omission).
"""

import asyncio
import json
import random
import sys
from collections import Counter

from hdrh.histogram import HdrHistogram

__all__ = ["new_histogram", "schedule"]

# Largest latency that the histogram can record, microseconds.
MAX_LATENCY_US = 60_000_000
# Goodput excludes responses before this time, in seconds from the start of the run. The
# system starts idle, so the first responses lag the offered load by the service time.
GOODPUT_FROM_S = 1.0
# How long the generator waits for a response after the deadline, seconds.
GRACE_S = 1.0


def new_histogram():
    """Return an empty histogram for latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, 3)


def schedule(job):
    """Return the send time in seconds and the node index of each call.

    Parameters
    ----------
    job : dict
        Keys are `rate` (calls per second), `duration_s`, `seed` and `nodes`, a list of
        (region, ip, port); callers are in the region of the node that they call.
        Optional keys are `burst` and `lost_region`, whose nodes get no calls from
        `lost_at_s` on. A burst is a dict with the keys `at_s`, `length_s` and `factor`:
        it multiplies the rate by `factor` for `length_s` seconds from `at_s` on.

    Returns
    -------
    list of (float, int)
    """
    rng = random.Random(job["seed"])
    burst = job.get("burst")
    nodes = range(len(job["nodes"]))
    surviving = [i for i in nodes if job["nodes"][i][0] != job.get("lost_region")]
    send_at_s, calls = 0.0, []
    while True:
        factor = 1.0
        if burst and burst["at_s"] <= send_at_s < burst["at_s"] + burst["length_s"]:
            factor = burst["factor"]
        send_at_s += rng.expovariate(job["rate"] * factor)
        if send_at_s >= job["duration_s"]:
            return calls
        lost = job.get("lost_region") and send_at_s >= job["lost_at_s"]
        calls.append((send_at_s, rng.choice(surviving if lost else nodes)))


class NodeClient:
    """Sends calls to one node over persistent connections.

    Parameters
    ----------
    region : str
        Region of the node, which is also sent as the region of the caller.
    ip, port : str, int
        Address of the node.
    job : dict
        Keys are `service` and `deadline_s`.
    """

    def __init__(self, region, ip, port, job):
        self.addr = (ip, port)
        self.request = (
            "GET /read HTTP/1.1\r\nHost: {service}\r\nX-Caller-Region: {region}\r\n"
            "X-Deadline-Ms: {deadline_ms}\r\n\r\n"
        )
        self.request = self.request.format(
            service=job["service"],
            region=region,
            deadline_ms=int(job["deadline_s"] * 1000),
        ).encode()
        self.idle = []

    async def _connection(self):
        while self.idle:
            reader, writer = self.idle.pop()
            # A call on a connection that the node has closed would fail.
            if not reader.at_eof():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(*self.addr)

    async def call(self):
        """Send one call and read its response.

        Returns
        -------
        tuple of str
            The outcome and the error code, which is the HTTP status if the response
            has none. The outcome is `ok` for status 200, `shed` if the header
            `X-Verdict` says that the call was not run, and otherwise `failed`.

        Raises
        ------
        OSError
            If the connection fails.
        asyncio.IncompleteReadError
            If the node closes the connection before the end of the response.
        """
        reader, writer = await self._connection()
        try:
            writer.write(self.request)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            lines = head.split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
            await reader.readexactly(int(headers.get("content-length", 0)))
        except BaseException:
            writer.close()
            raise
        if headers.get("connection") == "close":
            writer.close()
        else:
            self.idle.append((reader, writer))
        if lines[0].split()[1] == "200":
            return "ok", ""
        code = headers.get("x-error-code", lines[0].split()[1])
        return "shed" if headers.get("x-verdict") == "not-run" else "failed", code


class Run:
    """Runs one job and collects its results.

    `counts` has the number of calls by outcome, `codes` that of unsuccessful calls by
    outcome and code, and `goodput_calls` the number of successful calls in the time
    that goodput covers.
    """

    def __init__(self, job):
        self.job = job
        self.clients = [NodeClient(*node, job) for node in job["nodes"]]
        self.histogram = new_histogram()
        self.counts = Counter()
        self.codes = Counter()
        self.goodput_calls = 0
        self.max_lag_s = 0.0

    async def execute(self):
        """Send every call at its time, wait for all responses, return the results.

        Returns
        -------
        dict
            Latency histogram of all calls except those shed, in microseconds and in
            its encoded form, numbers of calls (`sent`, `ok`, `shed`, `failed`,
            `codes`), `goodput` in calls per second and the longest delay of a send in
            milliseconds (`max_lag_ms`).
        """
        loop = asyncio.get_running_loop()
        self.started_at = loop.time()
        tasks = []
        for send_at_s, node_index in schedule(self.job):
            delay_s = self.started_at + send_at_s - loop.time()
            if delay_s > 0.0:
                await asyncio.sleep(delay_s)
            else:
                self.max_lag_s = max(self.max_lag_s, -delay_s)
            tasks.append(
                loop.create_task(self._send_call(send_at_s, self.clients[node_index]))
            )
        await asyncio.gather(*tasks)
        for client in self.clients:
            for _, writer in client.idle:
                writer.close()
        return {
            "histogram": self.histogram.encode().decode(),
            "sent": len(tasks),
            "goodput": self.goodput_calls / (self.job["duration_s"] - GOODPUT_FROM_S),
            "max_lag_ms": self.max_lag_s * 1000.0,
            "codes": self.codes,
            **{name: self.counts[name] for name in ("ok", "shed", "failed")},
        }

    async def _send_call(self, send_at_s, client):
        loop = asyncio.get_running_loop()
        deadline_s = self.job["deadline_s"]
        try:
            async with asyncio.timeout_at(
                self.started_at + send_at_s + deadline_s + GRACE_S
            ):
                outcome, code = await client.call()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as exc:
            outcome, code = "failed", type(exc).__name__
        done_s = loop.time() - self.started_at
        self.counts[outcome] += 1
        if outcome != "ok":
            self.codes[f"{outcome} {code}"] += 1
        if outcome == "shed":
            return
        # The latency of a failed call is at least the deadline; otherwise calls that
        # fail fast would lower the percentiles.
        latency_s = (
            done_s - send_at_s
            if outcome == "ok"
            else max(deadline_s, done_s - send_at_s)
        )
        self.histogram.record_value(max(1, int(latency_s * 1e6)))
        if outcome == "ok" and GOODPUT_FROM_S <= done_s <= self.job["duration_s"]:
            self.goodput_calls += 1


def main():
    """Run the jobs from standard input, one after the other."""
    for line in sys.stdin:
        print(json.dumps(asyncio.run(Run(json.loads(line)).execute())), flush=True)


if __name__ == "__main__":
    main()
