"""Demonstration on loopback: a table service, nodes and targets in three regions.

The table service is the store in which the nodes keep the rules and other shared data.
Callers send calls while the demo applies rules, drains a target and stops a node. It
ends with a summary; the exit status is 0 only if every check passed.
"""

import json
import subprocess
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from .cluster import Cluster, wait_until

# Region and data centre of each host, and service of the target on it.
HOSTS = {
    "baringo-1": ("rift", "baringo", "hive-ledger"),
    "kerio-1": ("rift", "kerio", "quality-desk"),
    "kwale-1": ("coast", "kwale", "hive-ledger"),
    "kilifi-1": ("coast", "kilifi", "hive-ledger"),
    "kakamega-1": ("western", "kakamega", "hive-ledger"),
    "bungoma-1": ("western", "bungoma", "quality-desk"),
}
# No call of the demo matches this rule. Its comment names the person who asked for it.
RULES = """\
idempotent hive-ledger POST /quotes/*  # Wanjiru, quality desk
"""
PAUSE_RULE = "pause t-kwale-1  # Otieno, field office\n"
CALLER_COUNT = 3
PAUSE_BETWEEN_CALLS_S = 0.02
# Guaranteed limits: from a drain until its target gets no more calls, and from an
# accepted rules version until it is in force at every node.
DRAIN_LIMIT_S = 3.0
RULES_LIMIT_S = 5.0


@dataclass
class Traffic:
    """Calls of background callers, counted by status and by the target that served.

    Attributes
    ----------
    cluster : Cluster
    entry_nodes : list of str
        Names of the nodes that the callers send their calls to.
    stopping : threading.Event
        Ends the callers when it is set.
    statuses : Counter
        Number of responses by status. Responses that belong to another call are also
        counted under a key of their own.
    served_by : Counter
        Number of successful calls by the id of the target.
    run_ids : list of str
        Ids (`X-Run-Id`) of the sales (see `run`) that got a response with status 200.
    """

    cluster: Cluster
    entry_nodes: list
    stopping: threading.Event = field(default_factory=threading.Event)
    statuses: Counter = field(default_factory=Counter)
    served_by: Counter = field(default_factory=Counter)
    run_ids: list = field(default_factory=list)

    def run(self, number):
        """Send calls as caller `number` to the entry nodes in turn until stopped.

        Every fifth call is a sale, a POST request that must run only once. The others
        read `/weights`, a resource that has nothing to do with routing weights.
        """
        count = 0
        while not self.stopping.is_set():
            count += 1
            entry = self.entry_nodes[count % len(self.entry_nodes)]
            service = "quality-desk" if count % 4 == 0 else "hive-ledger"
            run_id = f"caller-{number}-{count}"
            method, body = ("POST", b"sale") if count % 5 == 0 else ("GET", None)
            status, _, data = self.cluster.call(
                entry,
                "/sales" if body else "/weights",
                service,
                method,
                body=body,
                headers={"X-Run-Id": run_id},
            )
            self.statuses[status] += 1
            if status == 200:
                response = json.loads(data)
                self.served_by[response["target"]] += 1
                if response["run"] != run_id:
                    self.statuses["response to another call"] += 1
                if body:
                    self.run_ids.append(run_id)
            time.sleep(PAUSE_BETWEEN_CALLS_S)


class Demo:
    """Steps of the demonstration and the results of their checks."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.check_results = []

    def check(self, description, passed):
        """Record the result of one check, and print it with a description."""
        self.check_results.append(passed)
        print(f"{'ok  ' if passed else 'FAIL'}  {description}", flush=True)

    def start(self):
        """Start all processes and wait until each node knows each target."""
        cluster = self.cluster
        cluster.start_table()
        for host, (region, dc, service) in HOSTS.items():
            cluster.start_node(host, region=region, dc=dc)
            cluster.start_target(f"t-{host}", host, service)
        for node in HOSTS:
            for host in HOSTS:
                wait_until(lambda n=node, h=host: cluster.knows_target(n, f"t-{h}"))
        print(f"started 1 table service, {len(HOSTS)} nodes, {len(HOSTS)} targets")
        for process in cluster.processes:
            print(f"      process {process.popen.pid}: {json.dumps(process.info)}")

    def run_command(self, node, *args, text=None):
        """Run a command at a node, check its exit status and return its output."""
        admin = "{}:{}".format(*self.cluster.nodes[node].info["admin"])
        argv = [sys.executable, "-m", "pimentoline", *args, f"--admin_addr={admin}"]
        completed = subprocess.run(argv, input=text, capture_output=True, text=True)
        command = " ".join(["pimentoline", *args])
        output = (completed.stdout or completed.stderr).strip()
        self.check(
            f"{command}: exit status {completed.returncode}", completed.returncode == 0
        )
        return output

    def apply(self, base, text):
        """Apply rules at one node; return the seconds until all nodes use them.

        `base` is the version that the rules replace; their own version is `base` + 1.
        """
        args = ["apply", "-", "--author=demo", f"--base={base}"]
        started = time.monotonic()
        print(f"      {self.run_command('kerio-1', *args, text=text)}")
        for node in HOSTS:
            wait_until(lambda n=node: self._rules_version(n) == base + 1)
        return time.monotonic() - started

    def _rules_version(self, node):
        return self.cluster.admin(node, "/v1/config")[1]["version"]

    def change_rules(self, traffic):
        """Apply rules, then pause a target by a rule; check that it gets no calls."""
        seconds = self.apply(0, RULES)
        self.check(f"in force everywhere in {seconds:.2f} s", seconds < RULES_LIMIT_S)
        seconds = self.apply(1, RULES + PAUSE_RULE)
        self.check(f"in force everywhere in {seconds:.2f} s", seconds < RULES_LIMIT_S)
        self._check_no_new_calls(traffic, "t-kwale-1", "paused by a rule")
        history = self.run_command("baringo-1", "history")
        print(history)
        everywhere = f"in force at {len(HOSTS)} of {len(HOSTS)} nodes"
        self.check(f"history: {everywhere}", everywhere in history)

    def drain(self, traffic):
        """Drain a target; check that it gets no more calls after the limit."""
        self.run_command("kilifi-1", "drain", "t-kilifi-1")
        time.sleep(DRAIN_LIMIT_S)
        self._check_no_new_calls(traffic, "t-kilifi-1", "draining")

    def _check_no_new_calls(self, traffic, target, state):
        time.sleep(0.5)
        before = traffic.served_by[target]
        time.sleep(1.0)
        new_calls = traffic.served_by[target] - before
        self.check(f"{target} is {state}: {new_calls} new calls", new_calls == 0)

    def stop_node(self):
        """Stop a node that gets no calls from callers; check its exit status."""
        status = self.cluster.nodes["bungoma-1"].stop()
        self.check(f"node bungoma-1 stopped, exit status {status}", status == 0)

    def run(self):
        """Run all steps; return whether every check passed."""
        self.start()
        traffic = Traffic(self.cluster, ["baringo-1", "kwale-1", "kakamega-1"])
        callers = [
            threading.Thread(target=traffic.run, args=(n,)) for n in range(CALLER_COUNT)
        ]
        for caller in callers:
            caller.start()
        try:
            self.change_rules(traffic)
            self.drain(traffic)
            self.stop_node()
            time.sleep(1.0)
        finally:
            traffic.stopping.set()
            for caller in callers:
                caller.join()
        self.summarize(traffic)
        return all(self.check_results)

    def summarize(self, traffic):
        """Check the calls of all callers and print their counts."""
        total = sum(traffic.statuses.values())
        self.check(
            f"{total} calls, all with status 200", set(traffic.statuses) == {200}
        )
        print(f"      responses: {dict(traffic.statuses)}")
        print(f"      served by: {dict(sorted(traffic.served_by.items()))}")
        run_counts = Counter()
        for target in self.cluster.targets.values():
            run_counts.update(target.get_json("/runs")["runs"])
        ran_once = all(run_counts[run_id] == 1 for run_id in traffic.run_ids)
        self.check(f"{len(traffic.run_ids)} sales, each ran exactly once", ran_once)


def main():
    """Run the demo and return its exit status."""
    cluster = Cluster()
    try:
        passed = Demo(cluster).run()
    finally:
        cluster.close()
    print("demo: all checks passed" if passed else "demo: a check FAILED")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
