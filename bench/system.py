"""The system under test: node, target and generator processes of one size."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.request

__all__ = ["Process", "System", "ask"]

READY_TIMEOUT_S = 30.0
POLL_S = 0.05


def ask(addr, path, method="GET", body=None):
    """Return the JSON answer of an HTTP server, None if it is empty."""
    url = "http://{}:{}{}".format(*addr, path)
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(
        urllib.request.Request(url, data, method=method), timeout=10.0
    ) as res:
        return json.loads(res.read() or b"null")


class Process:
    """A child process that prints lines of JSON."""

    def __init__(self, *args):
        self.popen = subprocess.Popen(
            [sys.executable, "-m", *args],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self.args = args
        self._info = None

    @property
    def info(self):
        """First line that the process printed."""
        if self._info is None:
            self._info = self.read()
        return self._info

    def read(self):
        """Return the next line as JSON data."""
        line = self.popen.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.args[0]} ended early")
        return json.loads(line)

    def write(self, data):
        """Send a line of JSON."""
        self.popen.stdin.write(json.dumps(data) + "\n")
        self.popen.stdin.flush()

    def signal(self, signum):
        """Send a signal to this process."""
        os.kill(self.popen.pid, signum)

    def kill(self):
        """End this process."""
        self.popen.kill()
        self.popen.wait()


class System:
    """Targets of one size, shared by one mesh of nodes for each policy.

    Only the nodes of one policy receive calls at a time, so that all policies are
    measured against the same processes and shortly after one another.

    Parameters
    ----------
    size : Size
    policies : sequence of str
    """

    def __init__(self, size, policies):
        self.size = size
        self.processes = []
        self.nodes = {}
        self.targets = []
        try:
            self._start(policies)
        except BaseException:
            self.close()
            raise

    def _launch(self, *args, **settings):
        flags = [f"--{name}={value}" for name, value in settings.items()]
        self.processes.append(Process(*args, *flags))
        return self.processes[-1]

    def _start(self, policies):
        size = self.size
        self.generator = self._launch("bench.generator")
        for policy in policies:
            seeds = ""
            self.nodes[policy] = []
            for region, dc in size.dcs:
                node = self._launch(
                    "pimentoline",
                    "node",
                    node_id=dc,
                    host=dc,
                    region=region,
                    dc=dc,
                    policy=policy,
                    mesh_keys=policy,
                    seeds=seeds,
                )
                self.nodes[policy].append((region, node))
                if not seeds:
                    seeds = "{}:{}".format(*node.info["mesh"])
        for number in range(size.instances):
            place = number % len(size.dcs)
            admins = [nodes[place][1].info["admin"] for nodes in self.nodes.values()]
            target = self._launch(
                "standins.target",
                target_id=f"t{number}",
                service=size.service,
                region=size.dcs[place][0],
                slots=size.slots,
                connections=size.connections,
                node_admin=",".join("{}:{}".format(*addr) for addr in admins),
            )
            self.targets.append((size.dcs[place][0], target))
        for policy in policies:
            self.wait_ready(policy, size.instances)

    def wait_ready(self, policy, expected):
        """Wait until each node of a policy holds `expected` targets as up."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        for _, node in self.nodes[policy]:
            while (found := self._up(node)) != expected:
                if time.monotonic() > deadline:
                    raise RuntimeError(
                        f"{policy} node {node.info['node']} holds {found} of "
                        f"{expected} targets as up"
                    )
                time.sleep(POLL_S)

    def _up(self, node):
        members = ask(node.info["admin"], "/v1/mesh")["members"]
        return sum(
            target["state"] == "up"
            for member in members
            if member["status"] != "dead"
            for target in member["targets"]
        )

    def set_faults(self, faults, count=None):
        """Set faults of the first `count` targets, of all if None."""
        for number, (_, target) in enumerate(self.targets[:count]):
            given = dict(faults)
            if given.get("noise"):
                given["noise"] = given["noise"] | {"seed": number}
            if "seed" in given:
                given["seed"] = given["seed"] * 1000 + number
            ask(target.info["addr"], "/faults", "POST", given)

    def signal_region(self, policy, region, signum):
        """Send a signal to the targets and the policy's nodes of a region."""
        for place, process in self.nodes[policy] + self.targets:
            if place == region:
                process.signal(signum)

    def target_counters(self):
        """Return the sum of the counters of all targets."""
        total = {}
        for _, target in self.targets:
            for name, value in ask(target.info["addr"], "/faults").items():
                total[name] = total.get(name, 0) + value
        return total

    def node_counters(self, policy):
        """Return the summed counters of a policy's nodes for each region."""
        total = {}
        for region, node in self.nodes[policy]:
            sums = total.setdefault(region, {})
            counters = ask(node.info["admin"], "/v1/status")["counters"]
            for name, value in counters.items():
                sums[name] = sums.get(name, 0) + value
        return total

    def close(self):
        """End every process that this system started."""
        for process in self.processes:
            if process.popen.poll() is None:
                process.signal(signal.SIGCONT)
                process.kill()
