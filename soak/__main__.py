"""Runs the soak once for each seed: `python -m soak --seeds=1,2 --length_s=20`."""

import asyncio
import random
import signal
import sys
import tempfile
import time

from absl import app, flags

from standins.node_process import NodeProcess
from standins.platform import ScriptedTarget, StoreStandIn

from .callers import HOST, Callers, ResultChecker, look_up, serve

__all__ = ["run_seed"]

# Number of targets of the service `ledger`; the other service, `desk`, has one.
LEDGER_TARGET_COUNT = 3
# Limit for all nodes to start and serve calls on a busy host, seconds.
START_TIMEOUT_S = 30.0
# The two known deployments of pimentoline require that every node serves calls again at
# most this time after the last fault, seconds.
RECOVERY_TIMEOUT_S = 15.0
# Both deployments also require that a target gets no request later than this time
# after its drain was acknowledged, seconds.
DRAIN_LIMIT_S = 2.0
HEARTBEAT_INTERVAL_S = 0.5
CLOSE_DELAY_S = 0.1
# A change of the configuration must be in force this long after it, if no fault has
# occurred meanwhile, seconds.
CONFIG_LIMIT_S = 3.0
# A node is killed (`kill`), suspended (`freeze`) or stopped by SIGTERM (`stop`). The
# store rejects requests (`down`), never responds (`silent`), loses the responses to two
# writes (`lose`) or removes all past changes from its change feed (`history`). A target
# of the service `ledger` is drained and replaced (`replace`); for the service `desk`,
# `replace` has no effect. The configuration changes (`change`), or it changes after all
# waiting readers of the feed have gone silent (`watches`). Another writer leaves rows
# that cannot be read (`odd`). A target of the service `ledger` leaves, mostly while the
# store fails, and goes on serving while its node is killed or stopped and started again
# (`leave`). The store comes back from an older copy, while a node may be killed,
# suspended or stopped (`rewind`). All nodes but one are killed or suspended, and the
# readers of the feed go silent before a change (`alone`).
FAULT_KINDS = (
    *("kill", "freeze", "stop", "down", "silent", "lose", "replace", "history"),
    *("change", "watches", "odd", "leave", "rewind"),
    "alone",
)
# How long a target goes on serving after it has left, seconds.
LEFT_TARGET_SERVES_S = 8.0
# Start time of a target relative to that of the previous one under the same id,
# milliseconds; the clock of its host may have been set back.
BORN_CHANGES_MS = (4000, -2400)
ODD_VALUES = (
    b"[" * 100_000,
    b'{"addr":["127.0.0.1",70000],"dc":"d","region":"r","service":"ledger"}',
    b'{"addr":["nowhere",1e400]}',
    b"\xff",
)


def configuration(version=1):
    """Return a version of the configuration.

    It has a route for lookups, one for sales, and a route of lookups that only this
    version has.
    """
    columns = ["name", "host", "prefix", "kind", "timeout", "target_latency"]
    columns += ["priority", "service", "max_attempts", "traffic_split"]
    rows = [
        ["look", HOST, "/look/", "safe", "1000ms", "300ms", 2, "ledger", 2, None],
        ["sale", HOST, "/sale/", "unsafe", "1000ms", "300ms", 1, "ledger", 2, None],
    ]
    rows.append([f"v{version}", HOST, f"/v{version}/", *rows[0][3:]])
    ledger_row = ["ledger", "/healthz", 260]
    return {
        "version": version,
        "routes": {"columns": columns, "rows": rows},
        "services": {
            "columns": ["name", "health_path", "max_conns"],
            "rows": [ledger_row, ["desk", *ledger_row[1:]]],
        },
        "limits": {
            "header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }


class Soak:
    """Run of one seed, with targets of two services and a node process for each target.

    Parameters
    ----------
    folder : str
        Folder for the settings files and logs of the node processes.
    seed : int
    length_s : float
        Length of the load and the faults, seconds.
    log : callable
        Called with a line of text for each fault.
    kinds : sequence of str
        Kinds of the faults.

    Attributes
    ----------
    nodes : list of NodeProcess
    targets : list of ScriptedTarget
        Including those that were replaced.
    drained : list of tuple
        Drained target, and the monotonic time, in seconds, at which its node
        acknowledged the drain.
    """

    def __init__(self, folder, seed, length_s, log, kinds=FAULT_KINDS):
        self.kinds = kinds
        self.rng = random.Random(seed)
        self.length_s = length_s
        self.log = log
        self.folder = folder
        self.store = StoreStandIn()
        self.checker = ResultChecker()
        self.nodes = []
        self.targets = []
        self.drained = []
        self.version = 0
        self.started_at = time.monotonic()

    async def _add_target(self, name, service):
        """Start a target and its node process."""
        target = ScriptedTarget(f"i-{name}", service)
        target.serve = lambda request, writer: serve(target, request, writer)
        await target.start()
        self.targets.append(target)
        node = NodeProcess(self.folder, name, target, self.store, grace="3s")
        node.start()
        self.nodes.append(node)

    async def _send_heartbeats(self):
        while True:
            for node in self.nodes:
                if node.running and not node.target.draining:
                    await self._send_heartbeat(node, "ready")
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_heartbeat(self, node, state):
        """Send a heartbeat of the node's target; return whether it was acknowledged."""
        return await self._is_acknowledged(node.target.send_heartbeat(node, state))

    async def _is_acknowledged(self, sending):
        """Return whether a report of a target, sent by a coroutine, is acknowledged."""
        try:
            async with asyncio.timeout(1.0):
                return await sending == 200
        except (OSError, TimeoutError, IndexError, ValueError):
            return False

    async def run(self):
        """Run load and faults; return the `ResultChecker` with the violations found."""
        self._change_configuration()
        for number in range(LEDGER_TARGET_COUNT):
            await self._add_target(f"ledger-{number}", "ledger")
        await self._add_target("desk-0", "desk")
        loop = asyncio.get_running_loop()
        heartbeats = loop.create_task(self._send_heartbeats())
        try:
            await self._wait_until_serving(START_TIMEOUT_S)
            callers = Callers(self.checker, self.rng)
            ends_at = loop.time() + self.length_s
            load_tasks = [
                loop.create_task(callers.run(node, ends_at)) for node in self.nodes
            ]
            while loop.time() < ends_at:
                await asyncio.sleep(self.rng.uniform(0.3, 1.5))
                await self._inject_fault(self.rng.choice(self.kinds))
            await asyncio.gather(*load_tasks)
            await self._wait_until_serving(RECOVERY_TIMEOUT_S)
        finally:
            heartbeats.cancel()
            for node in self.nodes:
                node.kill()
            for target in self.targets:
                target.close()
            self.store.close()
            # Gives the tasks that read from the closed connections time to end.
            await asyncio.sleep(CLOSE_DELAY_S)
        # Compares the requests that ran at the targets with those sent and rejected.
        self.checker.check_runs(self.targets)
        self.checker.check_drains(self.drained, DRAIN_LIMIT_S)
        return self.checker

    async def _wait_until_serving(self, timeout_s):
        """Wait until every node serves a call; record a violation after `timeout_s`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        not_serving = list(self.nodes)
        while not_serving:
            if loop.time() > deadline:
                names = [node.name for node in not_serving]
                self.checker.violations.append(
                    f"nodes not serving after {timeout_s} s: {names}"
                )
                return
            probe_checker = ResultChecker()
            callers = Callers(probe_checker, random.Random(0))
            await callers.run(not_serving[0], loop.time() + 0.1)
            # The load reuses the request ids of these calls. Therefore, these calls are
            # removed from the targets, so that `check_runs` does not compare them with
            # the calls of the load.
            self._forget_requests(
                lambda req, sent=probe_checker.sent: req.request_id in sent
            )
            if probe_checker.statuses.get(200):
                not_serving.pop(0)

    def _forget_requests(self, is_probe):
        """Remove the requests for which `is_probe` is true from the targets."""
        for target in self.targets:
            target.received = [req for req in target.received if not is_probe(req)]

    async def _inject_fault(self, kind):
        """Inject a fault into the store, a random node or its target."""
        node = self.rng.choice(self.nodes)
        self.log(f"{time.monotonic() - self.started_at:6.2f} s  {kind} {node.name}")
        match kind:
            case "kill":
                node.kill()
                await asyncio.sleep(self.rng.uniform(0.0, 0.5))
                node.start()
            case "freeze":
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(self.rng.uniform(0.1, 2.0))
                node.signal(signal.SIGCONT)
            case "stop":
                node.signal(signal.SIGTERM)
                await asyncio.to_thread(node.process.wait)
                node.start()
            case "down" | "silent":
                setattr(self.store, kind, True)
                await asyncio.sleep(self.rng.uniform(0.2, 3.0))
                setattr(self.store, kind, False)
            case "lose":
                self.store.lose_responses = 2
            case "history":
                self.store.expire_history()
            case "change":
                self._change_configuration()
            case "watches":
                self._change_configuration()
                await asyncio.sleep(self.rng.uniform(0.0, 0.5))
                self.store.silence_feeds()
                self._change_configuration()
                await asyncio.sleep(CONFIG_LIMIT_S)
                await self._check_configuration(self.nodes)
            case "odd":
                for table in ("members", "op"):
                    value = self.rng.choice(ODD_VALUES)
                    self.store.put(table, f"odd-{self.rng.randrange(9)}", value)
            case "replace" if node.target.service == "ledger":
                await self._replace_target(node)
            case "leave" if node.target.service == "ledger":
                await self._leave_and_restart(node)
            case "rewind":
                await self._rewind_store(node)
            case "alone":
                await self._leave_alone(node)

    async def _leave_alone(self, node):
        """Lose the responses with a change while a node is the only one that runs."""
        others = [other for other in self.nodes if other is not node]
        killed = self.rng.random() < 0.5
        self._change_configuration()
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        for other in others:
            if killed:
                other.kill()
            else:
                other.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        self.store.silence_feeds()
        self._change_configuration()
        await asyncio.sleep(CONFIG_LIMIT_S)
        await self._check_configuration([node])
        for other in others:
            if killed:
                other.start()
            else:
                other.signal(signal.SIGCONT)

    async def _rewind_store(self, node):
        """Let the store come back from a copy, with a change at the return.

        The copy may lack changes of the configuration and a row of the members, and
        other writers may bring the counter of versions past where it stood.
        """
        store, rng = self.store, self.rng
        copy = store.copy()
        for _ in range(rng.randrange(3)):
            self._change_configuration()
            await asyncio.sleep(rng.uniform(0.05, 0.5))
        if rng.random() < 0.5:
            node.kill()
            node.start()
            await asyncio.sleep(rng.uniform(0.5, 1.5))
        store.down = True
        if rng.random() < 0.7:
            store.cut_feeds()
        restarted = rng.choice(("none", "none", "kill", "stop", "freeze"))
        if restarted == "kill":
            node.kill()
        elif restarted != "none":
            suspended = restarted == "freeze"
            node.signal(signal.SIGSTOP if suspended else signal.SIGTERM)
        await asyncio.sleep(rng.choice((0.05, 1.0, rng.uniform(0.1, 2.0))))
        store.restore(copy)
        self._change_configuration()
        for _ in range(rng.randrange(6)):
            store.put("other", "row", b"{}")
        store.down = False
        self.log(f"        {restarted}, era {store.era}, version {store.version}")
        if restarted == "freeze":
            node.signal(signal.SIGCONT)
        elif restarted != "none":
            await asyncio.to_thread(node.process.wait)
            node.start()
        await asyncio.sleep(CONFIG_LIMIT_S)
        await self._check_configuration(self.nodes)
        self._check_rows()

    def _check_rows(self):
        """Check that the store has the row of every node."""
        for node in self.nodes:
            if not self.store.version_of("members", node.name):
                self.checker.violations.append(f"{node.name}: row is not in the store")

    def _change_configuration(self):
        self.version += 1
        self.store.put_config(configuration(self.version))

    async def _check_configuration(self, nodes):
        """Check that nodes have the newest configuration in force."""
        for node in nodes:
            if await look_up(node, f"/v{self.version}/probe") == 404:
                self.checker.violations.append(
                    f"{node.name}: version {self.version} is not in force after "
                    f"{CONFIG_LIMIT_S} s"
                )
        self._forget_requests(lambda req: req.path.startswith("/v"))

    async def _replace_target(self, node):
        """Drain the target of a node, then start another one at its address."""
        target = node.target
        target.draining = True
        if await self._send_heartbeat(node, "draining"):
            self.drained.append((target, time.monotonic()))
        await asyncio.sleep(DRAIN_LIMIT_S + 0.5)
        await self._start_successor(
            node, ScriptedTarget(f"{target.name}'", target.service)
        )

    async def _start_successor(self, node, successor):
        """Start a target at the address of the node's target, which ends."""
        successor.serve = lambda request, writer: serve(successor, request, writer)
        await successor.take_over(node.target)
        self.targets.append(successor)
        node.target = successor

    async def _leave_and_restart(self, node):
        """Let a target leave, restart its node, and start the target again."""
        target, rng = node.target, self.rng
        target.draining = True
        store_fault = rng.choice(("none", "down", "silent", "lose", "rewind"))
        copy = self.store.copy()
        # A health check may claim that a target that has left is well.
        target.healthy = rng.random() < 0.5
        by_signal = rng.choice((signal.SIGKILL, signal.SIGTERM))
        mended_first = rng.random() < 0.5
        self.log(
            f"        store {store_fault}, healthy {target.healthy}, {by_signal.name}"
        )
        if store_fault == "lose":
            self.store.lose_responses = 2
        elif store_fault in ("down", "silent"):
            setattr(self.store, store_fault, True)
        if await self._is_acknowledged(target.send_leave(node)):
            self.drained.append((target, time.monotonic()))
        left_at = time.monotonic()
        if store_fault == "rewind":
            # Peers read changes of the members in batches.
            await asyncio.sleep(rng.uniform(0.6, 1.5))
            self.store.down = True
            self.store.cut_feeds()
            self.store.restore(copy)
        node.signal(by_signal)
        await asyncio.to_thread(node.process.wait)
        if mended_first:
            self.store.down = self.store.silent = False
        node.start()
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        self.store.down = self.store.silent = False
        # A heartbeat that was made before the leave arrives late.
        await self._send_heartbeat(node, "ready")
        remaining_s = left_at + LEFT_TARGET_SERVES_S - time.monotonic()
        await asyncio.sleep(max(remaining_s, 0.0))
        successor = ScriptedTarget(target.name, target.service)
        successor.born_ms = target.born_ms + rng.choice(BORN_CHANGES_MS)
        await self._start_successor(node, successor)


def run_seed(seed, length_s, log=lambda line: None, kinds=FAULT_KINDS):
    """Run the soak with a seed; return its `ResultChecker`.

    Parameters
    ----------
    seed : int
    length_s : float
        Length of the load and the faults, seconds.
    log : callable
        Called with a line of text for each fault.
    kinds : sequence of str
        Kinds of the faults.
    """
    with tempfile.TemporaryDirectory() as folder:

        async def run():
            return await Soak(folder, seed, length_s, log, kinds).run()

        return asyncio.run(run())


def main(argv):
    """Run every seed; exit with status 1 if there was a violation."""
    args = flags.FLAGS
    failed = 0
    for seed in args.seeds:
        # `str` as the log function discards the line.
        checker = run_seed(
            int(seed),
            args.length_s,
            print if args.verbose_faults else str,
            args.kinds,
        )
        failed += bool(checker.violations)
        print(f"seed {seed}: {dict(sorted(checker.statuses.items()))}", flush=True)
        for line in checker.violations[:5]:
            print(f"  violation: {line}", flush=True)
    print(f"{len(args.seeds) - failed} seeds passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    flags.DEFINE_list("seeds", ["1"], "Seeds to run, one after the other.")
    flags.DEFINE_float("length_s", 20.0, "Length of the load and the faults, seconds.")
    flags.DEFINE_multi_enum("kinds", FAULT_KINDS, FAULT_KINDS, "Kinds of the faults.")
    flags.DEFINE_bool("verbose_faults", False, "Print every fault with its time.")
    app.run(main)
