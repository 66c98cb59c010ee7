"""Tests of P2, P3, P4 and P6 with real processes, faults and concurrent callers.

The module `history` describes these guarantees. A sale is a POST, and a keyed sale is
one with an idempotency key. A read is a GET.
"""

import json
import random
import signal
import threading
import time
from contextlib import contextmanager

import pytest

from .conftest import http, wait_until
from .history import (
    ANSWERED,
    History,
    check_all,
    check_no_interruption,
    check_responses,
    check_runs_at_most_once,
)

CALLERS = 6
SEED = 20
# Time for which a node is suspended: longer than 1.3 s, after which callers try another
# node (their deadline of 1 s and a margin).
SUSPENSION_S = 2.2


def start_cluster(cluster, nodes, targets=("t1", "t2"), **settings):
    """Start a table service, nodes, and targets at the last node.

    Wait until each node knows all targets; return the data addresses by node name.
    `settings` are further flags of the targets.
    """
    cluster.start_table()
    for node in nodes:
        seeds = ""
        if cluster.nodes:
            seeds = "{}:{}".format(*cluster.nodes[nodes[0]].info["mesh"])
        cluster.start_node(node, seeds=seeds)
    for target in targets:
        cluster.start_target(target, nodes[-1], **settings)
    for node in nodes:
        for target in targets:
            wait_until(lambda: cluster.knows_target(node, target))
    return {name: tuple(proc.info["data"]) for name, proc in cluster.nodes.items()}


def target_url(cluster, name, path):
    """Return the URL of a path at a target."""
    ip, port = cluster.targets[name].info["addr"]
    return f"http://{ip}:{port}{path}"


def requests_in_flight(cluster, name):
    """Return the number of requests that a target is running."""
    return json.loads(http(target_url(cluster, name, "/faults"))[2])["inflight"]


def wait_for_runs(cluster):
    """Wait until all targets are idle; return the ids of the requests that ran."""
    wait_until(
        lambda: not any(requests_in_flight(cluster, name) for name in cluster.targets),
        message="idle targets",
    )
    run_ids = []
    for name in cluster.targets:
        run_ids += json.loads(http(target_url(cluster, name, "/runs"))[2])["runs"]
    return run_ids


@contextmanager
def run_callers(work):
    """Call `work(rng, number)` repeatedly in threads while the block runs.

    Each thread has a number, from 0, and a random generator seeded with it.
    """
    stopping = threading.Event()

    def loop(number):
        rng = random.Random(SEED + number)
        while not stopping.is_set():
            work(rng, number)

    threads = [threading.Thread(target=loop, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stopping.set()
        for thread in threads:
            thread.join()


def send_keyed_sale(history, addrs, op, rng, max_attempts=3, **headers):
    """Send a keyed sale to one node after another until the status is 200 or 409."""
    order = rng.sample(sorted(addrs), len(addrs))
    for number in range(max_attempts):
        node = order[number % len(order)]
        attempt = history.call(node, addrs[node], op, "POST", True, **headers)
        if attempt.outcome == ANSWERED and attempt.status in (200, 409):
            return


def make_mixed_work(history, addrs, **headers):
    """Return a function that sends a keyed or unkeyed sale, or a read, at random."""

    def work(rng, number):
        op = f"c{number}-{rng.getrandbits(40):x}"
        node = rng.choice(sorted(addrs))
        kind = rng.random()
        if kind < 0.4:
            send_keyed_sale(history, addrs, op, rng, **headers)
        elif kind < 0.6:
            history.call(
                node,
                addrs[node],
                op,
                "POST",
                request_bytes=rng.choice([0, 9]),
                **headers,
            )
        else:
            size = rng.choice([0, 100, 70_000, 300_000])
            history.call(node, addrs[node], op, response_bytes=size, **headers)

    return work


def set_fault(cluster, name, **values):
    """Set faults of a target."""
    http(target_url(cluster, name, "/faults"), "POST", values)


def not_run_attempts(history):
    """Return the attempts whose response says that they did not run."""
    return [
        attempt for attempt in list(history.attempts) if attempt.verdict == "not-run"
    ]


def test_responses_and_verdicts_under_target_faults(cluster):
    """Guards against mixed-up or truncated responses (P2) and a false not-run (P3)."""
    names = ["t1", "t2", "t3"]
    addrs = start_cluster(cluster, ["n1", "n2"], names, slots=3)
    history = History()
    rng = random.Random(SEED)
    faults = [
        {"mean_s": 0.05, "sigma": 1.5},
        {"silence_open": True},
        {"fail": True},
        {"mean_s": 0.6},
    ]
    with run_callers(make_mixed_work(history, addrs, **{"X-Deadline-Ms": "400"})):
        for fault in faults * 2:
            name = rng.choice(names)
            set_fault(cluster, name, **fault)
            time.sleep(0.25)
            set_fault(cluster, name, reset=True)
        for name in names:
            set_fault(cluster, name, shed=True)
        # A fixed time would be too short for these calls on a busy host.
        wait_until(lambda: len(not_run_attempts(history)) > 10)
        for name in names:
            set_fault(cluster, name, reset=True, queue=0, delay_s=0.05)
        time.sleep(0.25)
    answered = [attempt for attempt in history.attempts if attempt.status == 200]
    assert len(answered) > 50 and len(not_run_attempts(history)) > 10
    assert check_all(history.attempts, wait_for_runs(cluster)) == []


def suspend_node_until_key_conflict(cluster, history):
    """Suspend a node, up to ten times, until a sale gets 409 for its key.

    The targets are slowed down, so that the node is likely to hold a claim when it is
    suspended: at a service time of 20 ms, it holds one in only about one of ten
    suspensions.
    """
    node = cluster.nodes["n2"]
    for target in cluster.targets:
        set_fault(cluster, target, delay_s=0.3)
    for _ in range(10):
        time.sleep(0.4)
        node.signal(signal.SIGSTOP)
        until = time.monotonic() + SUSPENSION_S
        while time.monotonic() < until and not has_key_conflict(history):
            time.sleep(0.05)
        node.signal(signal.SIGCONT)
        if has_key_conflict(history):
            break
    for target in cluster.targets:
        set_fault(cluster, target, delay_s=0.02)


def has_key_conflict(history):
    """Return whether a call got a 409, because its key was claimed."""
    return any(attempt.status == 409 for attempt in history.attempts)


def test_keyed_calls_run_once_under_faults_of_nodes_and_store(cluster):
    """Guards against a second run (P4) when nodes are killed or suspended.

    The store loses responses, is down or is slow at the same time.
    """
    addrs = start_cluster(cluster, ["n1", "n2", "n3"], delay_s=0.02)
    history = History()
    faults_url = cluster.table_url + "/faults"
    with run_callers(make_mixed_work(history, addrs, **{"X-Deadline-Ms": "1000"})):
        time.sleep(0.5)
        http(faults_url, "POST", {"lose_answers": 15})
        time.sleep(0.5)
        suspend_node_until_key_conflict(cluster, history)
        http(faults_url, "POST", {"down": True})
        wait_until(lambda: any(attempt.status == 503 for attempt in history.attempts))
        http(faults_url, "POST", {"down": False, "delay_s": 0.1, "lose_answers": 5})
        time.sleep(0.5)
        cluster.nodes["n1"].kill()
        http(faults_url, "POST", {"delay_s": 0.0})
        time.sleep(0.7)
    assert check_all(history.attempts, wait_for_runs(cluster)) == []
    sales = [attempt for attempt in history.attempts if attempt.keyed]
    assert sum(attempt.status == 200 for attempt in sales) > 20
    assert {attempt.status for attempt in sales} >= {200, 409, 503}


def test_suspended_node_that_resumes_does_not_run_a_sale_again(cluster):
    """Guards against a second run by a node that was suspended during a sale."""
    addrs = start_cluster(cluster, ["n1", "n2"], ("t1",))
    history = History()
    set_fault(cluster, "t1", delay_s=0.3)
    deadline_header = {"X-Deadline-Ms": "1500"}
    http(cluster.table_url + "/faults", "POST", {"delay_s": 0.3})
    args = ("n1", addrs["n1"], "sale", "POST", True)
    first = threading.Thread(target=history.call, args=args, kwargs=deadline_header)
    first.start()
    calls = lambda: cluster.admin("n1", "/v1/status")[1]["calls"]  # noqa: E731
    wait_until(lambda: calls() == 1, message="the sale at n1")
    cluster.nodes["n1"].signal(signal.SIGSTOP)
    # The store writes the claim of n1 while n1 is suspended, so that n2 either gets a
    # conflict or runs the sale.
    http(cluster.table_url + "/faults", "POST", {"delay_s": 0.0})
    history.call("n2", addrs["n2"], "sale", "POST", True, **deadline_header)
    time.sleep(1.0)
    history.call("n2", addrs["n2"], "sale", "POST", True, **deadline_header)
    cluster.nodes["n1"].signal(signal.SIGCONT)
    first.join()
    assert check_runs_at_most_once(history.attempts, wait_for_runs(cluster)) == []
    assert check_all(history.attempts, wait_for_runs(cluster)) == []


@pytest.mark.parametrize("leaving", ["n1", "t1"])
def test_planned_stop_interrupts_no_call(cluster, leaving):
    """Guards against a planned stop of a node or target that interrupts a call (P6)."""
    # The service time exceeds the fixed delays of a stop, so that the process can only
    # avoid an interruption by waiting for its calls.
    addrs = start_cluster(cluster, ["n1", "n2"], delay_s=1.2)
    history = History()

    def work(rng, number):
        op = f"c{number}-{rng.getrandbits(40):x}"
        request_bytes, response_bytes = rng.choice([(0, 0), (0, 300_000), (200_000, 0)])
        for node in ("n1", "n2"):
            # The node retries an interrupted GET, which would hide the interruption.
            attempt = history.call(
                node,
                addrs[node],
                op,
                "POST",
                request_bytes=request_bytes,
                response_bytes=response_bytes,
            )
            if attempt.outcome != "refused":
                return

    process = cluster.nodes.get(leaving) or cluster.targets[leaving]
    with run_callers(work):
        # Wait until callers have started their second calls.
        wait_until(lambda: len(history.attempts) >= CALLERS, message="calls")
        wait_until(
            lambda: requests_in_flight(cluster, "t1") >= 2, message="calls at t1"
        )
        assert process.stop() == 0
        before = len(history.attempts)
        wait_until(
            lambda: len(history.attempts) > before + CALLERS, message="further calls"
        )
    assert check_no_interruption(history.attempts) == []
    assert check_responses(history.attempts) == []
    if leaving == "n1":
        assert check_all(history.attempts, wait_for_runs(cluster)) == []
