"""Tests of the admin interface, and of the tables of metrics and log entries."""

import ast
import json
from pathlib import Path

import pytest

from pimentoline.metric_names import LOG_ENTRIES, METRICS, is_known_metric
from pimentoline.metrics import Metrics

from .conftest import http

PACKAGE = Path(__file__).parent.parent / "pimentoline"
OPERATIONS_PAGE = PACKAGE.parent / "docs" / "operations.md"
VALID = {"service": "hive-ledger", "addr": ["127.0.0.1", 8000]}
TOO_LONG_ID = "x" * 300

# (method, path, body, status). The node has no store, so valid requests for rules
# versions and their history get 503.
REQUESTS = [
    ("PUT", "/v1/targets/t1", VALID, 200),
    ("PUT", "/v1/targets/t1", {**VALID, "load": 3, "state": "draining"}, 200),
    ("PUT", "/v1/targets/t%201", VALID, 400),
    ("PUT", f"/v1/targets/{TOO_LONG_ID}", VALID, 400),
    ("PUT", "/v1/targets/t1", {"service": "hive-ledger"}, 400),
    ("PUT", "/v1/targets/t1", {**VALID, "service": "Hive.Ledger"}, 400),
    ("PUT", "/v1/targets/t1", {**VALID, "service": "a" * 64}, 400),
    ("PUT", "/v1/targets/t1", {**VALID, "addr": ["localhost", 8000]}, 400),
    ("PUT", "/v1/targets/t1", {**VALID, "addr": ["0.0.0.0", 8000]}, 400),
    ("PUT", "/v1/targets/t1", {**VALID, "addr": ["127.0.0.1", 0]}, 400),
    ("PUT", "/v1/targets/t1", {**VALID, "addr": ["127.0.0.1", 65536]}, 400),
    ("PUT", "/v1/targets/t1", {**VALID, "slots": 0}, 400),
    ("PUT", "/v1/targets/t1", {**VALID, "connections": -1}, 400),
    ("PUT", "/v1/targets/t1", {**VALID, "state": "gone"}, 400),
    ("PUT", "/v1/targets/t1", {**VALID, "load_path": "load"}, 400),
    ("PUT", "/v1/targets/t1", {**VALID, "load_path": "/a\r\nX: y"}, 400),
    ("PUT", "/v1/targets/t1", {**VALID, "version": "a b"}, 400),
    ("PUT", "/v1/targets/t1", {**VALID, "colour": "red"}, 400),
    ("PUT", "/v1/targets/t1", [], 400),
    ("PUT", "/v1/targets/t1", b"{", 400),
    ("PUT", "/v1/targets/t1", b"\xff", 400),
    ("POST", "/v1/targets/t9/drain", {}, 404),
    ("POST", "/v1/config", {"base": 0, "text": "", "author": "a"}, 400),
    ("POST", "/v1/config", {"base": -1, "text": "", "author": "a"}, 400),
    ("GET", "/v1/config?version=x", None, 400),
    ("GET", "/v1/config?version=3", None, 503),
    ("GET", "/v1/history", None, 503),
    ("GET", "/v1/history?limit=0", None, 400),
    # The text `%d`, which must not be taken for a placeholder in the error message.
    ("GET", "/v1/history?limit=%25d", None, 400),
    ("POST", "/v1/explain", {"service": "a", "method": "GET"}, 400),
    ("POST", "/v1/explain", {"service": "a", "method": "GET", "path": "x"}, 400),
    ("GET", "/v1/nothing", None, 404),
]


def test_requests_are_validated(cluster):
    """Guards against a malformed announcement or request that is accepted."""
    node = cluster.start_node("n1")
    base = "http://{}:{}".format(*node.info["admin"])
    for method, path, body, status in REQUESTS:
        found_status, _, data = http(base + path, method, body)
        assert found_status == status, (method, path[:60], body, data)
        assert isinstance(json.loads(data), dict), data
        if status != 200:
            assert set(json.loads(data)) == {"error", "detail"}, data
    record = cluster.admin("n1", "/v1/mesh")[1]["members"][0]
    assert [target["target_id"] for target in record["targets"]] == ["t1"]
    # More than the 64 targets that may be announced at one node.
    for number in range(70):
        last_status, _, _ = http(f"{base}/v1/targets/more-{number}", "PUT", VALID)
    assert last_status == 400, "the number of targets is not bounded"


def test_rules_text_of_one_mebibyte_is_accepted(cluster):
    """Guards against a limit on the request body that rejects a text of 1 MiB."""
    # The table service is the store of the rules.
    cluster.start_table()
    cluster.start_node("n1")
    for size, status in ((1024 * 1024, 200), (1024 * 1024 + 1, 400)):
        body = {"base": 0, "author": "mary", "attempt": f"attempt-{size}"}
        # A tab takes two bytes in JSON.
        body["text"] = "#" + "\t" * (size - 1)
        assert cluster.admin("n1", "/v1/config", "POST", body)[0] == status


@pytest.mark.parametrize("addr", ["0.0.0.0:0", "127.0.0.2:0"])
def test_admin_interface_needs_a_flag_to_leave_loopback(cluster, addr):
    """Guards against an admin interface that is open to the network by mistake."""
    if addr.startswith("0."):
        with pytest.raises(AssertionError, match="did not start"):
            cluster.start_node("n1", admin_addr=addr)
        cluster.start_node("n1", admin_addr=addr, admin_remote="true")
    else:
        cluster.start_node("n1", admin_addr=addr)


def names_in_source():
    """Yield (called function, text) of each call whose first argument is a string.

    The calls are those in the source of the package. The test below picks the functions
    that record a metric or write a log entry; their first argument is its name.
    """
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            function = getattr(node.func, "attr", getattr(node.func, "id", ""))
            match node.args[0]:
                case ast.Constant(str(name)):
                    yield function.strip("_"), name
                case ast.IfExp(ast.expr(), ast.Constant(name), ast.Constant(other)):
                    yield function.strip("_"), name
                    yield function.strip("_"), other
                case ast.JoinedStr([ast.Constant(str(start)), *_]):
                    # "x" replaces the part of the name that is formatted in.
                    yield function.strip("_"), start + "x"


def test_metrics_and_log_entries_are_in_the_table():
    """Guards against a metric or log entry that is missing in its table or the page."""
    page = OPERATIONS_PAGE.read_text()
    for function, name in names_in_source():
        if function in ("IncrementCounter", "count", "timing", "record_duration"):
            # The names that begin with `apply.` end with the result of the request.
            # The table lists each of them instead of a pattern `apply.*`.
            known = is_known_metric(name) or name == "apply.x"
            assert known, f"metric {name} is not in metric_names.METRICS"
        elif function in ("LogEntry", "entry", "log_entry"):
            assert name in LOG_ENTRIES, f"{name} is not in metric_names.LOG_ENTRIES"
    for name in METRICS:
        assert f"`{name}`" in page, f"docs/operations.md lacks {name}"
    for name in LOG_ENTRIES:
        assert f"`{name}`" in page, f"docs/operations.md lacks {name}"


class FakeStatsClient:
    """A statsd client that records what it would send."""

    def __init__(self):
        self.items = []
        self.incr = lambda name, amount: self.items.append((name, amount))
        self.timing = self.incr

    def pipeline(self):
        """Return this client as its own pipeline."""
        return self

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        return None


def test_counters_are_sent_as_sums():
    """Guards against a datagram for each count, and a count that is sent twice."""
    now = [0.0]
    client = FakeStatsClient()
    metrics = Metrics(client, lambda: now[0])
    for _ in range(5):
        metrics.count("store.failed")
    assert client.items == []
    # The sums are sent by the first count after an interval of 1 s.
    now[0] = 1.5
    metrics.count("store.failed", 2)
    metrics.flush()
    metrics.timing("store.read", 0.25)
    assert client.items == [("store.failed", 7), ("store.read", 250.0)]
    assert metrics.counters["store.failed"] == 7
    assert metrics.timings["store.read"]["max_ms"] == 250.0
