"""Tests of the checks that the soak makes, and a short soak with a fixed seed."""

import time

import pytest

from soak.__main__ import DRAIN_LIMIT_S, run_seed
from soak.callers import ResultChecker
from standins.platform import ReceivedRequest, ScriptedTarget

# A seed that fails is added here with a comment on the cause.
SEEDS = [1]
LENGTH_S = 5.0


def ran(*requests):
    """Return a target that ran the requests, each a tuple (path, body, id)."""
    target = ScriptedTarget("i-1", "ledger")
    for path, body, request_id in requests:
        target.received.append(
            ReceivedRequest("POST", path, {"x-request-id": request_id}, body)
        )
    return target


@pytest.fixture
def checker():
    """Return a checker with the sale `q1` and the lookup `q2` recorded as sent."""
    result_checker = ResultChecker()
    result_checker.sent = {"q1": ("/sale/q1", b"abc"), "q2": ("/look/q2", b"")}
    return result_checker


SALE = ("/sale/q1", b"abc", "q1")


@pytest.mark.parametrize(
    ("requests", "message"),
    [
        ([SALE, SALE], "ran 2 times"),
        ([("/sale/q1", b"ab", "q1")], "another path or body"),
        ([("/sale/q9", b"", "q9")], "no caller sent it"),
    ],
)
def test_wrong_runs_are_found(checker, requests, message):
    """Guards against a soak that passes although targets ran wrong requests."""
    checker.check_runs([ran(*requests)])
    assert message in checker.violations[0]


def test_run_of_a_rejected_sale_is_found(checker):
    """Guards against a soak that accepts a sale that ran in spite of a 503."""
    checker.record_response("q1", 503, b"")
    checker.check_runs([ran(SALE)])
    assert "was told that it did not" in checker.violations[0]


@pytest.mark.parametrize("body", [b"q2 0", b"q1 2", b"q1 3 more"])
def test_response_to_another_request_is_found(checker, body):
    """Guards against a soak that accepts any response body.

    A correct body contains the id of the request and the length of its body.
    """
    checker.record_response("q1", 200, b"q1 3")
    assert not checker.violations
    checker.record_response("q1", 200, body)
    assert checker.violations


def test_request_after_a_drain_is_found(checker):
    """Guards against a soak that does not check acknowledged drains.

    `check_drains` gets the time at which the drain of each target was acknowledged. Up
    to `DRAIN_LIMIT_S` later, requests are still permitted.
    """
    target = ran(SALE)
    checker.check_drains([(target, time.monotonic())], DRAIN_LIMIT_S)
    assert not checker.violations
    checker.check_drains(
        [(target, time.monotonic() - DRAIN_LIMIT_S - 1.0)], DRAIN_LIMIT_S
    )
    assert "after its drain" in checker.violations[0]


@pytest.mark.parametrize("seed", SEEDS)
def test_no_violation_under_faults(seed):
    """Guards against violations that occur only while nodes or the store fail."""
    result = run_seed(seed, LENGTH_S)
    assert not result.violations
    assert result.statuses.get(200, 0) > 0


def test_acknowledged_leaves_outlive_restarts():
    """Guards against calls to targets that left while the store failed."""
    result = run_seed(4, LENGTH_S, kinds=("leave",))
    assert not result.violations
    assert result.statuses.get(200, 0) > 0


def test_changes_are_in_force_after_the_store_went_back():
    """Guards against changes and rows that are missed when versions are reused."""
    result = run_seed(2, LENGTH_S, kinds=("rewind",))
    assert not result.violations
    assert result.statuses.get(200, 0) > 0


def test_change_is_in_force_at_the_only_node_that_runs():
    """Guards against a node that counts on others which are killed or suspended."""
    result = run_seed(2, LENGTH_S, kinds=("alone",))
    assert not result.violations
    assert result.statuses.get(200, 0) > 0
