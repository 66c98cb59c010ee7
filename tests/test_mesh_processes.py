"""Tests of P5 and P7 with real processes, killed or suspended nodes and store faults.

P5 is the guarantee that no node sends a new call to a target that was drained more
than 3 s ago. P7 is the guarantee that an accepted rules version is in force at every
node within 5 s, and that no node returns to an older one.
"""

import json
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from .conftest import http, wait_until

LOCATIONS = (("rift", "kerio"), ("coast", "kwale"), ("western", "bungoma"))
PAUSE_T1 = "pause t1  # asked by Wanjiru\n"


@pytest.fixture
def mesh(cluster):
    """Return a cluster of a table service, six nodes, and a target at n1 and at n2."""
    cluster.start_table()
    with ThreadPoolExecutor(6) as pool:
        starts = [
            pool.submit(cluster.start_node, f"n{i}", *LOCATIONS[i % 3])
            for i in range(6)
        ]
        for start in starts:
            start.result()
    for i in (1, 2):
        cluster.start_target(f"t{i}", f"n{i}")
    for name in cluster.nodes:
        for target in ("t1", "t2"):
            wait_until(lambda: cluster.knows_target(name, target), 15)
    return cluster


def set_table_down(cluster, down=True):
    """Set whether the table service rejects all requests."""
    http(f"{cluster.table_url}/faults", "POST", {"down": down})


def seeds_of(cluster, *names):
    """Return the value of the `seeds` flag for these nodes."""
    addrs = [cluster.nodes[name].info["mesh"] for name in names]
    return ",".join(f"{ip}:{port}" for ip, port in addrs)


def version_in_force(cluster, name):
    """Return the rules version that is in force at a node."""
    return cluster.admin(name, "/v1/status")[1]["rules"]["version"]


def apply_rules(cluster, name, base, text):
    """Apply a rules text in place of version `base`; return the response as a dict."""
    body = {"base": base, "text": text, "author": "otieno", "attempt": f"try-{base}-xx"}
    return cluster.admin(name, "/v1/config", "POST", body)[1]


def wait_for_version(cluster, names, version, timeout_s=5.0):
    """Wait until a rules version is in force at each of the nodes."""
    deadline = time.monotonic() + timeout_s
    for name in names:
        remaining_s = deadline - time.monotonic()
        wait_until(
            lambda: version_in_force(cluster, name) == version, remaining_s, name
        )


class CallSender:
    """Sends calls with run ids through the named nodes until it is stopped.

    Attributes
    ----------
    sent_at : dict of str to float
        Monotonic time of sending by run id, seconds.
    statuses : dict of str to int
        Status of the response by run id.
    """

    def __init__(self, cluster, names):
        self.cluster, self.sent_at, self.statuses = cluster, {}, {}
        self.stopping = threading.Event()
        # Daemon threads do not keep pytest alive if a test fails before `stop`.
        self.threads = [
            threading.Thread(target=self.run, args=(n,), daemon=True) for n in names
        ]
        for thread in self.threads:
            thread.start()

    def run(self, name):
        """Send calls through a node, one after the other."""
        number = 0
        while not self.stopping.wait(0.02):
            run_id, number = f"{name}-{number}", number + 1
            self.sent_at[run_id] = time.monotonic()
            headers = {"X-Run-Id": run_id}
            try:
                self.statuses[run_id] = self.cluster.call(name, "/", headers=headers)[0]
            except OSError:
                continue

    def stop(self):
        """Stop sending and wait for the last responses."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def runs_after(self, target_id, at, node_prefix=""):
        """Return the run ids of calls that ran at a target and were sent after `at`.

        `at` is a monotonic time in seconds. Only the calls through nodes whose name
        starts with `node_prefix` count.
        """
        ip, port = self.cluster.targets[target_id].info["addr"]
        _, _, body = http(f"http://{ip}:{port}/runs")
        run_ids = json.loads(body)["runs"]
        return [
            r for r in run_ids if r.startswith(node_prefix) and self.sent_at[r] > at
        ]


def assert_t1_paused(calls):
    """Assert that no call used rules older than those that pause t1.

    The other target, t2, has been killed: the response is 502 if the node tried t2, and
    503 otherwise.
    """
    assert calls.statuses and set(calls.statuses.values()) <= {502, 503}
    assert calls.runs_after("t1", 0) == []


def test_drained_target_receives_no_call_after_3_s(mesh):
    """Guards against a violation of P5 while the store is down.

    One node is killed and another one suspended for 8 s.
    """
    names = ["n0", "n1", "n2", "n3", "n5"]
    calls = CallSender(mesh, names)
    try:
        wait_until(lambda: calls.runs_after("t1", 0), message="calls at t1")
        set_table_down(mesh)
        mesh.nodes["n4"].kill()
        mesh.nodes["n5"].signal(signal.SIGSTOP)
        drained_at = time.monotonic()
        assert mesh.admin("n1", "/v1/targets/t1/drain", "POST", {})[0] == 200
        calls.stopping.wait(8.0)
        mesh.nodes["n5"].signal(signal.SIGCONT)
        resumed_at = time.monotonic()
        calls.stopping.wait(5.0)
    finally:
        mesh.nodes["n5"].signal(signal.SIGCONT)
        calls.stop()
    for name in names[:4]:
        assert calls.runs_after("t1", drained_at + 3.0, name) == []
        assert calls.runs_after("t2", drained_at + 3.0, name)
    assert calls.runs_after("t1", resumed_at + 3.0, "n5") == []
    assert calls.runs_after("t2", resumed_at + 3.0, "n5")


def test_accepted_version_survives_the_store_and_its_node(mesh):
    """Guards against a violation of P7 when the store and the applying node fail.

    Both fail as soon as the version is accepted.
    """
    response = apply_rules(mesh, "n0", 0, PAUSE_T1.replace("t1", "t2"))
    assert (response["result"], response["held_by"]) == ("accepted", 4)
    response = apply_rules(mesh, "n0", 1, PAUSE_T1)
    set_table_down(mesh)
    mesh.nodes["n0"].kill()
    others = ["n1", "n2", "n3", "n4", "n5"]
    wait_for_version(mesh, others, 2)
    assert (response["result"], response["held_by"]) == ("accepted", 4)
    mesh.targets["t2"].kill()
    # A node that starts while the store is down gets the version from its peers.
    mesh.start_node("n6", "rift", "kerio", seeds=seeds_of(mesh, "n1", "n2"))
    calls_n6 = CallSender(mesh, ["n6"])
    wait_for_version(mesh, ["n6"], 2)
    wait_until(lambda: mesh.knows_target("n6", "t1"))
    # While no peer responds, a new node does not know the version and serves no call.
    for name in others:
        mesh.nodes[name].signal(signal.SIGSTOP)
    try:
        mesh.start_node("n7", "rift", "kerio", seeds=seeds_of(mesh, "n3", "n4"))
        status, headers, _ = mesh.call("n7", "/")
    finally:
        for name in others:
            mesh.nodes[name].signal(signal.SIGCONT)
    assert (status, headers["X-Error-Code"]) == (503, "rules-outdated")
    assert headers["X-Verdict"] == "not-run"
    calls_n7 = CallSender(mesh, ["n7"])
    wait_until(lambda: mesh.call("n7", "/")[1]["X-Error-Code"] == "no-target", 15)
    for sent_calls in (calls_n6, calls_n7):
        sent_calls.stop()
        assert_t1_paused(sent_calls)
    assert version_in_force(mesh, "n7") == 2


def test_lower_version_in_the_store_is_ignored(mesh):
    """Guards against a violation of P7 by a store restored from an old backup."""
    assert (
        apply_rules(mesh, "n0", 0, PAUSE_T1.replace("t1", "t2"))["result"] == "accepted"
    )
    assert apply_rules(mesh, "n3", 1, PAUSE_T1)["result"] == "accepted"
    old_head = {"version": 1, "digest": "", "attempt": "old"}
    put = {"puts": [{"key": "config/head", "value": old_head}]}
    assert http(f"{mesh.table_url}/v1/txn", "POST", put)[0] == 200
    mesh.targets["t2"].kill()
    mesh.start_node("n6", "coast", "kilifi")
    calls = CallSender(mesh, ["n6"])
    for name in mesh.nodes:
        wait_until(
            lambda: mesh.admin(name, "/v1/status")[1]["counters"].get(
                "rules.older_ignored"
            ),
            15,
            f"{name} to read the store",
        )
        assert version_in_force(mesh, name) == 2
    calls.stop()
    assert_t1_paused(calls)


def test_killed_node_is_detected_and_its_target_stays_routable(mesh):
    """Guards against a dead node that is not detected or whose target gets no calls."""
    mesh.nodes["n2"].kill()

    def status_of_n2():
        members = mesh.admin("n0", "/v1/mesh")[1]["members"]
        return {item["node_id"]: item["status"] for item in members}["n2"]

    wait_until(lambda: status_of_n2() == "dead", 20)
    mesh.targets["t1"].kill()
    wait_until(lambda: mesh.call("n0", "/")[0] == 200, 10)


def test_nodes_that_start_together_without_the_store_find_each_other(cluster):
    """Guards against nodes that never join if the store was down when they started."""
    cluster.start_table()
    set_table_down(cluster)
    names = [f"n{i}" for i in range(4)]
    with ThreadPoolExecutor(4) as pool:
        list(pool.map(cluster.start_node, names))
    status, headers, _ = cluster.call("n0", "/")
    assert (status, headers["X-Error-Code"]) == (503, "rules-outdated")
    set_table_down(cluster, False)
    for name in names:
        wait_until(
            lambda: len(cluster.admin(name, "/v1/mesh")[1]["members"]) == 4, 20, name
        )
        wait_until(
            lambda: cluster.call(name, "/")[1]["X-Error-Code"] == "unknown-service"
        )
