"""Open-loop load generator, a process of its own.

It reads one job as a line of JSON from standard input and answers with one line. The
send times are fixed in advance and latency counts from them, so a stall of this
process or of the system shows in the figures.
"""

import asyncio
import json
import random
import sys
from collections import Counter

from hdrh.histogram import HdrHistogram

__all__ = ["new_histogram", "schedule"]

MAX_LATENCY_US = 60_000_000
# Calls answered before this time are not counted in the goodput, because the
# answers of an empty system lag the offered load by the service time.
GOODPUT_FROM_S = 1.0
GRACE_S = 1.0


def new_histogram():
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, 3)


def schedule(job):
    """Return the send times in seconds and the node number of each call.

    Parameters
    ----------
    job : dict
        `rate`, `duration_s`, `seed`, `burst`, `nodes` as (region, ip, port), and
        `lost_region` with `lost_at_s`, from when on its nodes are avoided.
    """
    rng = random.Random(job["seed"])
    burst = job.get("burst")
    nodes = range(len(job["nodes"]))
    kept = [i for i in nodes if job["nodes"][i][0] != job.get("lost_region")]
    at, calls = 0.0, []
    while True:
        factor = 1.0
        if burst and burst["at_s"] <= at < burst["at_s"] + burst["length_s"]:
            factor = burst["factor"]
        at += rng.expovariate(job["rate"] * factor)
        if at >= job["duration_s"]:
            return calls
        lost = job.get("lost_region") and at >= job["lost_at_s"]
        calls.append((at, rng.choice(kept if lost else nodes)))


class Caller:
    """Connections to one node and the calls made on them."""

    def __init__(self, region, ip, port, job):
        self.addr = (ip, port)
        self.head = (
            "GET /read HTTP/1.1\r\nHost: {service}\r\nX-Caller-Region: {region}\r\n"
            "X-Deadline-Ms: {deadline_ms}\r\n\r\n"
        )
        self.head = self.head.format(
            service=job["service"],
            region=region,
            deadline_ms=int(job["deadline_s"] * 1000),
        ).encode()
        self.idle = []

    async def _connection(self):
        while self.idle:
            reader, writer = self.idle.pop()
            # The node may have closed it; a call sent on it would fail.
            if not reader.at_eof():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(*self.addr)

    async def call(self):
        """Make one call and return its outcome and error code.

        The outcome is `ok`, `shed` or `failed`.
        """
        reader, writer = await self._connection()
        try:
            writer.write(self.head)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            lines = head.split("\r\n")
            headers = dict(ln.lower().split(": ", 1) for ln in lines[1:] if ln)
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
    """One job: its calls and what came of them."""

    def __init__(self, job):
        self.job = job
        self.callers = [Caller(*node, job) for node in job["nodes"]]
        self.histogram = new_histogram()
        self.counts = Counter()
        self.codes = Counter()
        self.goodput = 0
        self.max_lag_s = 0.0

    async def execute(self):
        """Send every call at its time and wait for all answers."""
        loop = asyncio.get_running_loop()
        self.start = loop.time()
        tasks = []
        for at, number in schedule(self.job):
            delay_s = self.start + at - loop.time()
            if delay_s > 0.0:
                await asyncio.sleep(delay_s)
            else:
                self.max_lag_s = max(self.max_lag_s, -delay_s)
            tasks.append(loop.create_task(self._one(at, self.callers[number])))
        await asyncio.gather(*tasks)
        for caller in self.callers:
            for _, writer in caller.idle:
                writer.close()
        return {
            "histogram": self.histogram.encode().decode(),
            "sent": len(tasks),
            "goodput": self.goodput / (self.job["duration_s"] - GOODPUT_FROM_S),
            "max_lag_ms": self.max_lag_s * 1000.0,
            "codes": self.codes,
            **{name: self.counts[name] for name in ("ok", "shed", "failed")},
        }

    async def _one(self, at, caller):
        loop = asyncio.get_running_loop()
        deadline_s = self.job["deadline_s"]
        try:
            async with asyncio.timeout_at(self.start + at + deadline_s + GRACE_S):
                outcome, code = await caller.call()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as exc:
            outcome, code = "failed", type(exc).__name__
        done = loop.time() - self.start
        self.counts[outcome] += 1
        if outcome != "ok":
            self.codes[f"{outcome} {code}"] += 1
        if outcome == "shed":
            return
        # A failed call counts as the deadline, so that failures do not look fast.
        latency_s = done - at if outcome == "ok" else max(deadline_s, done - at)
        self.histogram.record_value(max(1, int(latency_s * 1e6)))
        if outcome == "ok" and GOODPUT_FROM_S <= done <= self.job["duration_s"]:
            self.goodput += 1


def main():
    """Run the jobs from standard input, one after the other."""
    for line in sys.stdin:
        print(json.dumps(asyncio.run(Run(json.loads(line)).execute())), flush=True)


if __name__ == "__main__":
    main()
