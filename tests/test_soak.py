"""The soak: that its checks see broken promises, and a short run with a fixed seed."""

import time

import pytest

from soak.__main__ import DRAIN_S, play
from soak.callers import Promises
from standins.platform import ReceivedRequest, ScriptedTarget

# Seeds that once failed are added here, each with a line on the cause. None so far.
SEEDS = [1]
LENGTH_S = 5.0


def ran(*requests):
    """Return an instance at which requests ran, each (path, body, id)."""
    instance = ScriptedTarget("i-1", "ledger")
    for path, body, request_id in requests:
        instance.received.append(
            ReceivedRequest("POST", path, {"x-request-id": request_id}, body)
        )
    return instance


@pytest.fixture
def promises():
    """Return the promises of a sale and a lookup that were sent."""
    found = Promises()
    found.sent = {"q1": ("/sale/q1", b"abc"), "q2": ("/look/q2", b"")}
    return found


SALE = ("/sale/q1", b"abc", "q1")


@pytest.mark.parametrize(
    ("requests", "said"),
    [
        ([SALE, SALE], "ran 2 times"),
        ([("/sale/q1", b"ab", "q1")], "another path or body"),
        ([("/sale/q9", b"", "q9")], "nobody sent it"),
    ],
)
def test_wrong_runs_are_seen(promises, requests, said):
    """Guards against a soak that passes whatever runs."""
    promises.check_runs([ran(*requests)])
    assert said in promises.broken[0]


def test_run_of_a_refused_sale_is_seen(promises):
    """Guards against a soak that believes a false promise."""
    promises.answered("q1", 503, b"")
    promises.check_runs([ran(SALE)])
    assert "heard it did not" in promises.broken[0]


@pytest.mark.parametrize("body", [b"q2 0", b"q1 2", b"q1 3 more"])
def test_answer_of_another_request_is_seen(promises, body):
    """Guards against a soak that takes any answer."""
    promises.answered("q1", 200, b"q1 3")
    assert not promises.broken
    promises.answered("q1", 200, body)
    assert promises.broken


def test_work_after_a_drain_is_seen(promises):
    """Guards against a soak that forgets acknowledged drains."""
    instance = ran(SALE)
    promises.check_drains([(instance, time.monotonic())], DRAIN_S)
    assert not promises.broken
    promises.check_drains([(instance, time.monotonic() - DRAIN_S - 1.0)], DRAIN_S)
    assert "after its drain" in promises.broken[0]


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_are_kept_under_faults(seed):
    """Guards against promises that hold on calm days only."""
    found = play(seed, LENGTH_S)
    assert not found.broken
    assert found.statuses.get(200, 0) > 0
