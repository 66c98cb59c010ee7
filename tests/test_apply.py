"""Tests that apply rules at two nodes at once and while the store fails."""

import itertools
import threading
import time
from collections import Counter

import pytest

from .conftest import wait_until
from .operators import (
    apply_rules,
    rules_file,
    rules_text,
    run_command,
    set_faults,
    start_command,
    wait_for_result,
)

NODES = ("n1", "n2")


@pytest.fixture
def two_nodes(cluster):
    """Return a cluster with a table service and two nodes in one mesh."""
    cluster.start_table()
    cluster.start_node("n1", region="rift", dc="kerio")
    cluster.start_node("n2", region="coast", dc="kwale")
    wait_until(
        lambda: all(
            len(cluster.admin(node, "/v1/mesh")[1]["members"]) == 2 for node in NODES
        ),
        message="nodes that know each other",
    )
    return cluster


def version_in_force(cluster, node):
    """Return the version in force at a node."""
    return cluster.admin(node, "/v1/config")[1]["version"]


def test_one_of_two_operators_wins_a_race(two_nodes, tmp_path):
    """Guards against two versions accepted for one base, or a missing conflict."""
    for base in range(4):
        processes = [
            start_command(
                two_nodes,
                node,
                "apply",
                rules_file(tmp_path, f"{node}-{base}"),
                f"--base={base}",
                f"--author={node}",
                "--json",
            )
            for node in NODES
        ]
        results = [wait_for_result(process) for process in processes]
        assert sorted(status for status, _ in results) == [0, 3], results
        winner = next(i for i, result in enumerate(results) if result[0] == 0)
        conflict = results[1 - winner][1]
        assert conflict["result"] == "conflict"
        assert [row["author"] for row in conflict["won"]] == [NODES[winner]]
        assert conflict["won"][0]["version"] == base + 1
        assert (
            f"-{rules_text(f'{NODES[winner]}-{base}')}".strip() in conflict["differs"]
        )
        assert (
            f"+{rules_text(f'{NODES[1 - winner]}-{base}')}".strip()
            in conflict["differs"]
        )
        for node in NODES:
            wait_until(
                lambda: version_in_force(two_nodes, node) == base + 1,
                5.0,
                "winning text in force at each node",
            )


def test_attempt_with_unknown_outcome_can_be_repeated(two_nodes, tmp_path):
    """Guards against an outcome that stays unknown, or an attempt accepted twice."""
    path = rules_file(tmp_path, "a")
    args = ("apply", path, "--base=0", "--author=mary")
    set_faults(two_nodes, lose_answers=1, down_after_loss=True)
    status, response = run_command(two_nodes, "n1", *args)
    assert (status, response["result"]) == (4, "unknown")
    retry_args = (*args, f"--attempt={response['attempt']}")
    status, response = run_command(two_nodes, "n1", *retry_args)
    assert (status, response["result"]) == (4, "unknown"), "the store is still down"
    set_faults(two_nodes, down=False)
    for _ in range(2):
        status, response = run_command(two_nodes, "n2", *retry_args)
        assert (status, response["version"]) == (0, 1)
    assert apply_rules(two_nodes, "n1", rules_text("b"), 1)["version"] == 2
    status, response = run_command(two_nodes, "n2", *retry_args)
    assert (status, response["version"], response["superseded_by"]) == (0, 1, 2)
    assert [version_in_force(two_nodes, node) for node in NODES] == [2, 2]
    other_path = rules_file(tmp_path, "c")
    # The same attempt id with another text.
    status, response = run_command(
        two_nodes, "n1", "apply", other_path, *retry_args[2:]
    )
    assert status == 3 and "another text" in response["detail"]


def test_repeated_attempt_that_lost_gets_a_conflict(two_nodes, tmp_path):
    """Guards against an attempt reported as accepted although another one won."""
    args = ("apply", rules_file(tmp_path, "a"), "--base=0", "--author=mary")
    set_faults(two_nodes, lose_requests=2)
    status, response = run_command(two_nodes, "n1", *args)
    assert (status, response["result"]) == (4, "unknown")
    assert apply_rules(two_nodes, "n2", rules_text("b"), 0, "john")["version"] == 1
    status, response = run_command(
        two_nodes, "n1", *args, f"--attempt={response['attempt']}"
    )
    assert status == 3
    assert [row["author"] for row in response["won"]] == ["john"]


def test_node_that_does_not_respond_gives_an_unknown_outcome(two_nodes, tmp_path):
    """Guards against reporting a failure for a text that the node may still apply."""
    path = rules_file(tmp_path, "a")
    # Longer than the timeout of the command, and well below the node's read timeout.
    set_faults(two_nodes, delay_s=0.8)
    args = ("apply", path, "--base=0", "--author=mary", "--timeout_s=0.5")
    status, response = run_command(two_nodes, "n1", *args)
    assert (status, response["result"]) == (4, "unknown")
    wait_until(
        lambda: version_in_force(two_nodes, "n1") == 1,
        message="the text in force after the timeout",
    )


def test_audit_trail_is_complete(two_nodes, tmp_path):
    """Guards against an accepted version without author, time, change or requester."""
    started = time.time()
    texts = [f"pause t{i % 3}  # Asked {i}\n" for i in range(12)]
    for base, text in enumerate(texts):
        response = apply_rules(two_nodes, NODES[base % 2], text, base, f"author-{base}")
        assert response["result"] == "accepted", response
    wait_until(
        lambda: [version_in_force(two_nodes, node) for node in NODES] == [12, 12]
    )

    def fetch_history():
        status, response = run_command(two_nodes, "n2", "history", "--limit=100")
        assert status == 0
        return response if response["history"][0]["nodes"] == ["n1", "n2"] else None

    rows = wait_until(fetch_history, message="both nodes in the history")["history"]
    assert [row["version"] for row in rows] == list(range(12, 0, -1))
    for row in rows:
        base = row["base"]
        assert row["version"] == base + 1 and row["author"] == f"author-{base}"
        assert row["time"] >= time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(started))
        assert "+" + texts[base].strip() in row["diff"]
        # The diff also contains the removed line of the previous text.
        expected_requesters = {f"Asked {base}"} | (
            {f"Asked {base - 1}"} if base else set()
        )
        assert set(row["requesters"]) == expected_requesters
        assert row["nodes"] == (list(NODES) if base == 11 else [])
        shown = run_command(two_nodes, "n1", "history", f"--show={row['version']}")[1]
        assert shown["text"] == texts[base]
    page = run_command(two_nodes, "n1", "history", "--limit=2", "--before=11")[1][
        "history"
    ]
    assert [row["version"] for row in page] == [10, 9]
    assert run_command(two_nodes, "n1", "history", "--show=13")[0] == 8


class Operator(threading.Thread):
    """Applies rules texts at one node and records the start and end of each apply."""

    def __init__(self, cluster, node, name):
        super().__init__(daemon=True)
        self.cluster, self.node, self.name = cluster, node, name
        self.stopped = threading.Event()
        self.operations = []

    def run(self):
        """Apply texts until stopped, each based on the version then in force."""
        for number in itertools.count():
            if self.stopped.is_set():
                return
            base = version_in_force(self.cluster, self.node)
            op = {
                "attempt": f"{self.name}-{number:04d}",
                "text": rules_text(f"{self.name}-{number}"),
                "base": base,
                "invoked": time.monotonic(),
            }
            self.operations.append(op)
            response = apply_rules(
                self.cluster, self.node, op["text"], base, self.name, op["attempt"]
            )
            op["completed"] = time.monotonic()
            op["version"] = response.get("version")
            op["result"] = response["result"]


# Faults of the store, as described in `standins/table.py`. They are set one after
# another; each stays until a later entry changes it.
FAULTS = [
    {},
    {"lose_answers": 3},
    {"lose_requests": 3},
    {"down": True},
    {"down": False, "delay_s": 0.1},
    {"delay_s": 0.0, "lose_answers": 1, "down_after_loss": True},
    {"down": False, "down_after_loss": False, "lose_answers": 0},
    {"nonsense": "shape"},
    {"nonsense": "cut"},
    {"nonsense": "", "lose_requests": 4},
    {"lose_requests": 0},
]


def check_history(operations, rows, texts):
    """Raise AssertionError unless the accepted versions have a total order.

    The order must agree with the times of the operations and with the stored rows.

    Parameters
    ----------
    operations : list of dict
        Operations as recorded by `Operator`. An operation with result `unknown` may or
        may not have taken effect.
    rows : dict of int to dict
        Audit rows by version.
    texts : dict of int to str
        Texts by version.
    """
    by_attempt = {op["attempt"]: op for op in operations}
    assert sorted(rows) == list(range(1, len(rows) + 1)), "versions have a gap"
    attempts = [rows[version]["attempt"] for version in sorted(rows)]
    assert len(set(attempts)) == len(attempts), "an attempt was accepted twice"
    for version, row in rows.items():
        op = by_attempt[row["attempt"]]
        assert op["result"] in ("accepted", "unknown"), op
        assert (texts[version], row["base"]) == (op["text"], version - 1)
        assert op["base"] == version - 1
    accepted = [op for op in operations if op["result"] == "accepted"]
    for op in accepted:
        assert rows[op["version"]]["attempt"] == op["attempt"], op
    for first in accepted:
        for second in accepted:
            if first["completed"] < second["invoked"]:
                assert first["version"] < second["version"], (first, second)


def test_accepted_versions_are_a_total_order(two_nodes):
    """Guards against an accepted version that is lost, reverted or out of order."""
    operators = [Operator(two_nodes, NODES[i % 2], f"operator{i}") for i in range(4)]
    seen = {node: [version_in_force(two_nodes, node)] for node in NODES}

    def poll():
        """Record the versions in force; return the number of completed operations."""
        for node in NODES:
            seen[node].append(version_in_force(two_nodes, node))
        return sum(
            "result" in op for operator in operators for op in operator.operations
        )

    for operator in operators:
        operator.start()
    for faults in FAULTS:
        set_faults(two_nodes, **faults)
        required = poll() + 2 * len(operators)
        wait_until(lambda: poll() >= required, 30.0, f"operations with {faults}")
    for operator in operators:
        operator.stopped.set()
    for operator in operators:
        operator.join(30.0)
        assert not operator.is_alive()
    operations = [op for operator in operators for op in operator.operations]
    rows, oldest = {}, 10**6
    while oldest > 1:
        path = f"/v1/history?limit=100&before={oldest}"
        page = two_nodes.admin("n1", path)[1]["history"]
        rows |= {row["version"]: row for row in page}
        oldest = min(rows)
    results = Counter(op["result"] for op in operations)
    assert set(results) == {"accepted", "conflict", "unavailable", "unknown"}, results
    texts = {
        version: two_nodes.admin("n1", f"/v1/config?version={version}")[1]["text"]
        for version in rows
    }
    check_history(operations, rows, texts)
    newest = max(rows)
    for node in NODES:
        wait_until(
            lambda: version_in_force(two_nodes, node) == newest,
            15.0,
            "newest version in force",
        )
        assert two_nodes.admin(node, "/v1/config")[1]["text"] == texts[newest]
        assert seen[node] == sorted(seen[node]), "a node reverted to an older version"


def test_history_check_finds_injected_violations():
    """Guards against a `check_history` that accepts every history."""
    good = [
        {"attempt": "a", "text": "x", "base": 0, "result": "accepted", "version": 1},
        {"attempt": "b", "text": "y", "base": 1, "result": "accepted", "version": 2},
    ]
    for index, op in enumerate(good):
        op |= {"invoked": 2.0 * index, "completed": 2.0 * index + 1.0}
    rows = {1: {"attempt": "a", "base": 0}, 2: {"attempt": "b", "base": 1}}
    texts = {1: "x", 2: "y"}
    check_history(good, rows, texts)
    wrong = [
        # A version is missing.
        (good, {2: rows[2]}, texts),
        # A stored text differs from the applied one.
        (good, rows, {1: "x", 2: "x"}),
        # An attempt with a conflict was stored.
        ([good[0], {**good[1], "result": "conflict"}], rows, texts),
        # The first version was applied after the second was accepted.
        ([{**good[0], "invoked": 5.0, "completed": 6.0}, good[1]], rows, texts),
        # An attempt was accepted although its base was outdated.
        ([good[0], {**good[1], "base": 0}], rows, texts),
        # One attempt was accepted twice.
        (good, {1: rows[1], 2: {"attempt": "a", "base": 1}}, texts),
    ]
    for case in wrong:
        with pytest.raises(AssertionError):
            check_history(*case)
