"""Tests of the stand-in target, on which the bench and the fault tests rely."""

import concurrent.futures as cf
import json

import pytest

from .conftest import http, wait_until


@pytest.fixture
def target(cluster):
    """Start a target; return a function that sends a request to it.

    The function has the signature (path, method, body) -> (status, headers, data).
    """
    process = cluster.start("standins.target", "--slots=1")
    url = "http://{}:{}".format(*process.info["addr"])

    def request(path, method="GET", body=None):
        return http(url + path, method, body)

    return request


def counters(target):
    """Return the counters, which the path that sets faults returns to a GET."""
    return json.loads(target("/faults")[2])


def test_full_queue_sheds_without_running(target):
    """Guards against a stand-in that runs requests which it reports as not run.

    It would hide violations of P3, the guarantee that no target ran a request that was
    reported to its caller as not run.
    """
    target("/faults", "POST", {"queue": 1, "delay_s": 30.0})
    with cf.ThreadPoolExecutor(2) as pool:
        blocking = [pool.submit(target, "/a") for _ in range(2)]
        wait_until(lambda: counters(target)["inflight"] == 2)
        status, headers, _ = target("/b")
        assert (status, headers["X-Not-Run"]) == (503, "1")
        assert counters(target)["ran"] == 1
        # `slowdown` is a factor on the service time, so a value below 1 speeds up the
        # target. It also applies to requests in progress, so both end now.
        target("/faults", "POST", {"slowdown": 1e-3, "delay_s": 0.0})
        assert [fut.result()[0] for fut in blocking] == [200, 200]
    assert counters(target)["ran"] == 2


def test_unknown_fault_is_rejected(target):
    """Guards against an experiment whose misspelt fault is ignored."""
    assert target("/faults", "POST", {"slow_down": 2})[0] == 400


def test_reports_lag_behind_the_actual_state(target):
    """Guards against a `load_lag_s` that has no effect on what the target reports.

    The target reports its load and health as they were `load_lag_s` ago. If it had not
    started by then, it reports that it is healthy.
    """
    target("/faults", "POST", {"fail": True})
    assert (target("/a")[0], target("/health")[0]) == (500, 500)
    target("/faults", "POST", {"load_lag_s": 60.0})
    assert (target("/a")[0], target("/health")[0]) == (500, 200)
