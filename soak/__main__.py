"""Plays seeds of the soak: `python -m soak --seeds=1,2 --length_s=20`."""

import asyncio
import random
import signal
import sys
import tempfile
import time

from absl import app, flags

from standins.node_process import NodeProcess
from standins.platform import ScriptedTarget, StoreStandIn

from .callers import HOST, Callers, Promises, serve

__all__ = ["play"]

LEDGERS = 3
# Time for all processes to start and find each other on a busy machine, seconds.
START_S = 30.0
# After the last fault all callers are served again within this time, and a target gets
# nothing more so long after its drain, seconds: bounds of both users.
RECOVERY_S = 15.0
DRAIN_S = 2.0
REPORT_S = 0.5
END_S = 0.1
FAULTS = ("kill", "freeze", "stop", "down", "silent", "lose", "replace", "history")


def configuration():
    """Return the configuration of the soak: a lookup and a sale."""
    columns = ["name", "host", "prefix", "kind", "timeout", "target_latency"]
    columns += ["priority", "service", "max_attempts", "traffic_split"]
    rows = [
        ["look", HOST, "/look/", "safe", "1000ms", "300ms", 2, "ledger", 2, None],
        ["sale", HOST, "/sale/", "unsafe", "1000ms", "300ms", 1, "ledger", 2, None],
    ]
    service = ["ledger", "/healthz", 260]
    return {
        "version": 1,
        "routes": {"columns": columns, "rows": rows},
        "services": {
            "columns": ["name", "health_path", "max_conns"],
            "rows": [service, ["desk", *service[1:]]],
        },
        "limits": {
            "header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }


class Soak:
    """One seed: three targets and a caller's host, each with its node process."""

    def __init__(self, folder, seed, length_s, say):
        self.rng = random.Random(seed)
        self.length_s = length_s
        self.say = say
        self.folder = folder
        self.store = StoreStandIn()
        self.promises = Promises()
        self.hosts = []
        self.instances = []
        self.drained = []
        self.began = time.monotonic()

    async def _add(self, name, service):
        instance = ScriptedTarget(f"i-{name}", service)
        instance.serve = lambda request, writer: serve(instance, request, writer)
        await instance.start()
        self.instances.append(instance)
        host = NodeProcess(self.folder, name, instance, self.store, grace="3s")
        host.start()
        self.hosts.append(host)

    async def _reports(self):
        while True:
            for host in self.hosts:
                if host.up and not host.instance.draining:
                    await self._report(host, "ready")
            await asyncio.sleep(REPORT_S)

    async def _report(self, host, state):
        """Return whether the report was acknowledged."""
        try:
            async with asyncio.timeout(1.0):
                return await host.instance.send_heartbeat(host, state) == 200
        except (OSError, TimeoutError, IndexError, ValueError):
            return False

    async def run(self):
        """Return the promises after the seed has been played."""
        self.store.put_config(configuration())
        for number in range(LEDGERS):
            await self._add(f"ledger-{number}", "ledger")
        await self._add("desk-0", "desk")
        loop = asyncio.get_running_loop()
        reports = loop.create_task(self._reports())
        try:
            await self._served(START_S)
            callers = Callers(self.promises, self.rng)
            ends_at = loop.time() + self.length_s
            calls = [
                loop.create_task(callers.run(host, ends_at)) for host in self.hosts
            ]
            while loop.time() < ends_at:
                await asyncio.sleep(self.rng.uniform(0.3, 1.5))
                await self._fault(self.rng.choice(FAULTS))
            await asyncio.gather(*calls)
            await self._served(RECOVERY_S)
        finally:
            reports.cancel()
            for host in self.hosts:
                host.kill()
            for instance in self.instances:
                instance.close()
            self.store.close()
            # Readers of the closed connections end by themselves.
            await asyncio.sleep(END_S)
        self.promises.check_runs(self.instances)
        self.promises.check_drains(self.drained, DRAIN_S)
        return self.promises

    async def _served(self, bound_s):
        """Wait until every node serves a lookup."""
        loop = asyncio.get_running_loop()
        until = loop.time() + bound_s
        missing = list(self.hosts)
        while missing:
            if loop.time() > until:
                names = [host.name for host in missing]
                self.promises.broken.append(f"not served after {bound_s} s: {names}")
                return
            probe = Promises()
            callers = Callers(probe, random.Random(0))
            await callers.run(missing[0], loop.time() + 0.1)
            # These ids are the callers' own again; they are not checked as runs.
            for instance in self.instances:
                instance.received = [
                    s for s in instance.received if s.request_id not in probe.sent
                ]
            if probe.statuses.get(200):
                missing.pop(0)

    async def _fault(self, kind):
        host = self.rng.choice(self.hosts)
        self.say(f"{time.monotonic() - self.began:6.2f} s  {kind} {host.name}")
        match kind:
            case "kill":
                host.kill()
                await asyncio.sleep(self.rng.uniform(0.0, 0.5))
                host.start()
            case "freeze":
                host.signal(signal.SIGSTOP)
                await asyncio.sleep(self.rng.uniform(0.1, 2.0))
                host.signal(signal.SIGCONT)
            case "stop":
                host.signal(signal.SIGTERM)
                await asyncio.to_thread(host.process.wait)
                host.start()
            case "down" | "silent":
                setattr(self.store, kind, True)
                await asyncio.sleep(self.rng.uniform(0.2, 3.0))
                setattr(self.store, kind, False)
            case "lose":
                self.store.lose_answers = 2
            case "history":
                self.store.forget_history()
            case "replace" if host.instance.service == "ledger":
                await self._replace(host)

    async def _replace(self, host):
        """Drain a target; then another one starts in its place."""
        instance = host.instance
        instance.draining = True
        if await self._report(host, "draining"):
            self.drained.append((instance, time.monotonic()))
        await asyncio.sleep(DRAIN_S + 0.5)
        fresh = ScriptedTarget(f"{instance.name}'", instance.service)
        fresh.serve = lambda request, writer: serve(fresh, request, writer)
        await fresh.take_over(instance)
        self.instances.append(fresh)
        host.instance = fresh


def play(seed, length_s, say=lambda line: None):
    """Play a seed; return its `Promises`.

    Parameters
    ----------
    seed : int
    length_s : float
        Length of the load and the faults, seconds.
    say : callable
        Takes a line for each fault.
    """
    with tempfile.TemporaryDirectory() as folder:

        async def whole():
            return await Soak(folder, seed, length_s, say).run()

        return asyncio.run(whole())


def main(argv):
    """Play every seed; exit 1 if a promise was broken."""
    args = flags.FLAGS
    failed = 0
    for text in args.seeds:
        found = play(int(text), args.length_s, print if args.verbose_faults else str)
        failed += bool(found.broken)
        print(f"seed {text}: {dict(sorted(found.statuses.items()))}", flush=True)
        for line in found.broken[:5]:
            print(f"  broken: {line}", flush=True)
    print(f"{len(args.seeds) - failed} seeds kept every promise, {failed} did not")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    flags.DEFINE_list("seeds", ["1"], "Seeds to play, one after the other.")
    flags.DEFINE_float("length_s", 20.0, "Length of load and faults, seconds.")
    flags.DEFINE_bool("verbose_faults", False, "Print every fault with its time.")
    app.run(main)
