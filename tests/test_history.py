"""Tests that the checks of `history` find injected violations of each guarantee."""

import json
from dataclasses import replace

from . import history
from .history import ANSWERED, REFUSED, UNKNOWN, Attempt, make_body

BODY = json.dumps({"run": "a.1", "target": "t1", "received": 0}).encode()
SALE = Attempt("a", "a.1", "n1", "POST", True, 0.0, 1.0, ANSWERED, 200, body=BODY)
READ = replace(
    SALE, method="GET", keyed=False, response_bytes=50, body=make_body("a.1", 50)
)


def test_correct_history_has_no_violation():
    """Guards against a check that reports permitted outcomes as violations."""
    unknown = replace(SALE, run_id="a.2", outcome=UNKNOWN, status=0, body=b"")
    replayed = replace(SALE, run_id="a.3", replayed=True, verdict="ran")
    conflict = replace(unknown, run_id="a.4", outcome=ANSWERED, status=409)
    not_run = replace(conflict, op="b", run_id="b.1", status=503, verdict="not-run")
    attempts = [
        SALE,
        unknown,
        replayed,
        conflict,
        not_run,
        replace(READ, op="c", run_id="c.1"),
    ]
    attempts[-1] = replace(attempts[-1], body=make_body("c.1", 50))
    assert history.check_all(attempts, ["a.1", "c.1", "c.1"]) == []
    assert (
        history.check_no_interruption([SALE, READ, replace(SALE, outcome=REFUSED)])
        == []
    )


def test_injected_violations_are_found():
    """Guards against a check that never fails."""
    not_run = replace(SALE, status=502, verdict="not-run", body=b"{}")
    unknown = replace(SALE, run_id="a.2", outcome=UNKNOWN, status=0, body=b"")
    unkeyed = replace(SALE, keyed=False)
    assert history.check_responses([replace(READ, body=READ.body[:-1])])
    assert history.check_responses([replace(READ, body=make_body("b.1", 50))])
    assert history.check_responses([replace(SALE, body=BODY[:-1])])
    assert history.check_responses([replace(SALE, run_id="a.2")])
    assert history.check_responses([replace(SALE, request_bytes=10)])
    assert history.check_responses([replace(SALE, op="b", run_id="b.1", replayed=True)])
    assert history.check_not_run([not_run], ["a.1"])
    assert history.check_not_run([replace(unknown, outcome=REFUSED)], ["a.2"])
    assert history.check_runs_at_most_once([SALE, unknown], ["a.1", "a.2"])
    assert history.check_runs_at_most_once([unknown], ["a.2", "a.2"])
    assert history.check_runs_at_most_once([unkeyed], ["a.1", "a.1"])
    assert history.check_responses_have_runs([SALE], [])
    assert history.check_no_interruption([unknown])
    assert history.check_no_interruption([not_run])
