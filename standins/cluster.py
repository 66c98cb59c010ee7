"""Runs a table service, nodes and targets as child processes on loopback."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

STOP_TIMEOUT_S = 10.0


class Process:
    """A child process that prints one line of JSON once it serves.

    Parameters
    ----------
    args : sequence of str
        Module to run and its arguments.
    env : dict, optional
        Variables that are added to the environment.

    Attributes
    ----------
    popen : subprocess.Popen
    info : dict
        Data of the line that the process printed, such as its addresses.

    Raises
    ------
    AssertionError
        If the process ends without printing a line.
    """

    def __init__(self, args, env=None):
        self.popen = subprocess.Popen(
            [sys.executable, "-m", *args],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            env={**os.environ, **(env or {})},
        )
        line = self.popen.stdout.readline()
        assert line, f"{args[0]} did not start"
        self.info = json.loads(line)

    def get_json(self, path):
        """Return the JSON data at a path of this process's HTTP server."""
        ip, port = self.info["addr"]
        return json.loads(http(f"http://{ip}:{port}{path}")[2])

    def signal(self, signum):
        """Send a signal to the process."""
        self.popen.send_signal(signum)

    def stop(self):
        """Send SIGTERM and return the exit status.

        Raises
        ------
        subprocess.TimeoutExpired
            If the process still runs after `STOP_TIMEOUT_S`.
        """
        if self.popen.poll() is None:
            self.signal(signal.SIGTERM)
        return self.popen.wait(STOP_TIMEOUT_S)

    def kill(self):
        """Kill the process and wait for its end."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait(STOP_TIMEOUT_S)
        self.popen.stdout.close()


def http(url, method="GET", body=None, headers=None, timeout=10.0):
    """Send a request; return (status, headers, body), also of an error response.

    Parameters
    ----------
    url, method : str
    body : bytes, dict or list, optional
        A dict or list is sent as JSON.
    headers : dict, optional
    timeout : float
        Limit for each socket operation, seconds.

    Raises
    ------
    OSError
        If there is no response.
    """
    data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
    req = urllib.request.Request(url, data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(req, timeout=timeout) as res:
            return res.status, dict(res.headers), res.read()
    except urllib.error.HTTPError as exc:
        with exc:
            return exc.code, dict(exc.headers), exc.read()


def wait_until(condition, timeout_s=10.0, message="condition"):
    """Call `condition` until it returns a true value; return this value.

    Raises
    ------
    AssertionError
        If the value is still false after `timeout_s`. The text of the error names what
        was waited for, as given by `message`.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        assert time.monotonic() < deadline, f"timed out waiting for {message}"
        time.sleep(0.02)


class Cluster:
    """A table service, nodes and targets as separate processes on loopback."""

    def __init__(self):
        self.processes = []
        self.table = None
        self.nodes = {}
        self.targets = {}

    def start(self, *args, env=None):
        """Start a `Process` that `close` kills, and return it."""
        process = Process(args, env)
        self.processes.append(process)
        return process

    def start_table(self):
        """Start the table service and return its process."""
        self.table = self.start("standins.table")
        return self.table

    @property
    def table_url(self):
        """Base URL of the table service."""
        return f"http://127.0.0.1:{self.table.info['port']}"

    def start_node(self, node_id, region="rift", dc="kerio", **settings):
        """Start a node and return its process.

        `settings` are further flags of `pimentoline node`; a flag whose value is empty
        is left out.
        """
        flags = {
            "node_id": node_id,
            "host": node_id,
            "region": region,
            "dc": dc,
            "mesh_keys": "test-key",
            "store_url": self.table_url if self.table else "",
            **settings,
        }
        args = [f"--{name}={value}" for name, value in flags.items() if value != ""]
        node = self.start("pimentoline", "node", *args)
        self.nodes[node_id] = node
        return node

    def start_target(self, target_id, node_id, service="hive-ledger", **settings):
        """Start a target on the host of a node and return its process.

        `settings` are further flags of `standins.target`.
        """
        admin = "{}:{}".format(*self.nodes[node_id].info["admin"])
        flags = {"target_id": target_id, "service": service, "node_admin": admin}
        flags |= settings
        args = [f"--{name}={value}" for name, value in flags.items()]
        target = self.start("standins.target", *args)
        self.targets[target_id] = target
        return target

    def admin(self, node_id, path, method="GET", body=None):
        """Send a request to the admin API of a node; return (status, JSON data)."""
        ip, port = self.nodes[node_id].info["admin"]
        status, _, data = http(f"http://{ip}:{port}{path}", method, body)
        return status, json.loads(data)

    def call(self, node_id, path, service="hive-ledger", method="GET", **options):
        """Send a call to a node; return (status, headers, body).

        `options` are further arguments of `http`.
        """
        ip, port = self.nodes[node_id].info["data"]
        headers = {"Host": service, **options.pop("headers", {})}
        return http(f"http://{ip}:{port}{path}", method, headers=headers, **options)

    def knows_target(self, node_id, target_id):
        """Return whether a target is in the member records of a node."""
        members = self.admin(node_id, "/v1/mesh")[1]["members"]
        return any(
            target["target_id"] == target_id
            for member in members
            for target in member["targets"]
        )

    def close(self):
        """Kill every process that this cluster started."""
        for process in reversed(self.processes):
            process.kill()
