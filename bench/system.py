"""The system under test: the processes of the nodes, targets and load generator.

A size (`bench.config.Size`) describes a deployment: its data centres by region, the
number of targets, and the slots and connections of each target.
"""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.request

__all__ = ["Process", "System", "request_json"]

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


def request_json(addr, path, method="GET", body=None):
    """Send a request with JSON data to an HTTP server.

    Returns
    -------
    object
        The JSON data of the response, or None if it is empty.

    Raises
    ------
    OSError
        If there is no response, or one with an error status.
    """
    url = "http://{}:{}{}".format(*addr, path)
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(
        urllib.request.Request(url, data, method=method), timeout=10.0
    ) as res:
        return json.loads(res.read() or b"null")


class Process:
    """A child process that reads and prints lines of JSON.

    Parameters
    ----------
    *args : str
        Module to run and its arguments.
    """

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
        """JSON data of the first line that the process prints.

        Nodes print their id and addresses in this line, targets their id and address.
        """
        if self._info is None:
            self._info = self.read()
        return self._info

    def read(self):
        """Return the JSON data of the next line that the process prints.

        Raises
        ------
        RuntimeError
            If the process has closed its output.
        """
        line = self.popen.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.args[0]} closed its output unexpectedly")
        return json.loads(line)

    def write(self, data):
        """Send a line of JSON to the process."""
        self.popen.stdin.write(json.dumps(data) + "\n")
        self.popen.stdin.flush()

    def signal(self, signum):
        """Send a signal to this process."""
        os.kill(self.popen.pid, signum)

    def kill(self):
        """Kill the process and wait for its end."""
        self.popen.kill()
        self.popen.wait()


class System:
    """The targets of one size, and for each policy a mesh of nodes in front of them.

    Only the nodes of one policy receive calls at a time. All policies are measured
    against the same target processes and shortly after one another.

    Parameters
    ----------
    size : Size
    policies : sequence of str

    Attributes
    ----------
    nodes : dict of str to list
        Pairs (region, process) of the nodes, by policy.
    targets : list
        Pairs (region, process).
    generator : Process
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
            # Mesh address of the first node, through which the other nodes join.
            seeds = ""
            self.nodes[policy] = []
            for region, dc in size.dcs:
                # Each data centre has one node, which gives the node and its host their
                # names. The policy's name is the key that signs the messages in the
                # mesh, so the meshes of different policies stay separate.
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
            dc_index = number % len(size.dcs)
            # Each target announces itself to the nodes of its data centre.
            admin_addrs = [
                nodes[dc_index][1].info["admin"] for nodes in self.nodes.values()
            ]
            target = self._launch(
                "standins.target",
                target_id=f"t{number}",
                service=size.service,
                region=size.dcs[dc_index][0],
                slots=size.slots,
                connections=size.connections,
                node_admin=",".join("{}:{}".format(*addr) for addr in admin_addrs),
            )
            self.targets.append((size.dcs[dc_index][0], target))
        for policy in policies:
            self.wait_ready(policy, size.instances)

    def wait_ready(self, policy, expected):
        """Wait until every node of a policy sees exactly `expected` targets as up.

        Raises
        ------
        RuntimeError
            If a node still sees another number after `READY_TIMEOUT_S`.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        for _, node in self.nodes[policy]:
            while (up_count := self._count_up_targets(node)) != expected:
                if time.monotonic() > deadline:
                    raise RuntimeError(
                        f"{policy} node {node.info['node']} sees {up_count} of "
                        f"{expected} targets as up"
                    )
                time.sleep(POLL_INTERVAL_S)

    def _count_up_targets(self, node):
        members = request_json(node.info["admin"], "/v1/mesh")["members"]
        return sum(
            target["state"] == "up"
            for member in members
            if member["status"] != "dead"
            for target in member["targets"]
        )

    def set_faults(self, faults, count=None):
        """Set the faults of the first `count` targets, or of all if `count` is None.

        Faults are those that `POST /faults` of `standins.target` accepts. Each target
        gets random seeds of its own: `seed` is derived from the given one, and that of
        `noise` is the number of the target.
        """
        for number, (_, target) in enumerate(self.targets[:count]):
            target_faults = dict(faults)
            if target_faults.get("noise"):
                target_faults["noise"] = target_faults["noise"] | {"seed": number}
            if "seed" in target_faults:
                target_faults["seed"] = target_faults["seed"] * 1000 + number
            request_json(target.info["addr"], "/faults", "POST", target_faults)

    def signal_region(self, policy, region, signum):
        """Send a signal to the targets and the policy's nodes of a region."""
        for process_region, process in self.nodes[policy] + self.targets:
            if process_region == region:
                process.signal(signum)

    def target_counters(self):
        """Return the sums of the counters of all targets, by name."""
        totals = {}
        for _, target in self.targets:
            # `GET /faults` returns the counters, not the faults.
            for name, value in request_json(target.info["addr"], "/faults").items():
                totals[name] = totals.get(name, 0) + value
        return totals

    def node_counters(self, policy):
        """Return the sums of the counters of a policy's nodes, by region and name."""
        totals = {}
        for region, node in self.nodes[policy]:
            region_totals = totals.setdefault(region, {})
            counters = request_json(node.info["admin"], "/v1/status")["counters"]
            for name, value in counters.items():
                region_totals[name] = region_totals.get(name, 0) + value
        return totals

    def close(self):
        """Kill every process of this system, including those suspended by `SIGSTOP`."""
        for process in self.processes:
            if process.popen.poll() is None:
                process.signal(signal.SIGCONT)
                process.kill()
