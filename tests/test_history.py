"""The checks of `history` find a planted fault for each guarantee."""

import json
from dataclasses import replace

from . import history as hi
from .history import ANSWERED, REFUSED, UNKNOWN, Try, fill_body

BODY = json.dumps({"run": "a.1", "target": "t1", "received": 0}).encode()
SALE = Try("a", "a.1", "n1", "POST", True, 0.0, 1.0, ANSWERED, 200, body=BODY)
READ = replace(SALE, method="GET", keyed=False, fill=50, body=fill_body("a.1", 50))


def test_correct_history_has_no_violation():
    """Guards against a check that reports what is allowed."""
    lost = replace(SALE, run_id="a.2", outcome=UNKNOWN, status=0, body=b"")
    again = replace(SALE, run_id="a.3", replayed=True, verdict="ran")
    held = replace(lost, run_id="a.4", outcome=ANSWERED, status=409)
    told = replace(held, op="b", run_id="b.1", status=503, verdict="not-run")
    tries = [SALE, lost, again, held, told, replace(READ, op="c", run_id="c.1")]
    tries[-1] = replace(tries[-1], body=fill_body("c.1", 50))
    assert hi.check(tries, ["a.1", "c.1", "c.1"]) == []
    assert hi.nothing_was_cut([SALE, READ, replace(SALE, outcome=REFUSED)]) == []


def test_planted_faults_are_found():
    """Guards against a check that cannot fail."""
    told = replace(SALE, status=502, verdict="not-run", body=b"{}")
    lost = replace(SALE, run_id="a.2", outcome=UNKNOWN, status=0, body=b"")
    unkeyed = replace(SALE, keyed=False)
    assert hi.whole_and_own([replace(READ, body=READ.body[:-1])])
    assert hi.whole_and_own([replace(READ, body=fill_body("b.1", 50))])
    assert hi.whole_and_own([replace(SALE, body=BODY[:-1])])
    assert hi.whole_and_own([replace(SALE, run_id="a.2")])
    assert hi.whole_and_own([replace(SALE, sent=10)])
    assert hi.whole_and_own([replace(SALE, op="b", run_id="b.1", replayed=True)])
    assert hi.not_run_is_true([told], ["a.1"])
    assert hi.not_run_is_true([replace(lost, outcome=REFUSED)], ["a.2"])
    assert hi.at_most_once([SALE, lost], ["a.1", "a.2"])
    assert hi.at_most_once([lost], ["a.2", "a.2"])
    assert hi.at_most_once([unkeyed], ["a.1", "a.1"])
    assert hi.answers_are_of_runs([SALE], [])
    assert hi.nothing_was_cut([lost])
    assert hi.nothing_was_cut([told])
