"""Steps for keyed calls."""

import itertools
import json

from behave import given, then, when

from tests.conftest import http, wait_until
from tests.raw_sockets import serve_responses
from tests.target_faults import OK_RESPONSE

KEYS = itertools.count(1)
STORE_FAULTS = {
    "is down": {"down": True},
    "loses an answer": {"lose_answers": 1},
    "answers after the deadline": {"delay_s": 0.8},
}
HEALTHY = {"down": False, "lose_answers": 0, "delay_s": 0.0}


def send_keyed(context):
    """Send a POST with the key of the scenario; keep its answer."""
    headers = {"Idempotency-Key": context.key, "X-Deadline-Ms": "400"}
    status, head, context.body = context.cluster.call(
        "n1", "/", context.service, "POST", body=b"sale", headers=headers
    )
    context.answer = Answer(status, head)


class Answer:
    """Status and headers of an answer, as `http.client` has them."""

    def __init__(self, status, headers):
        self.status = status
        self.getheader = headers.get


def claim_row(context):
    """Return the claim row of the scenario's key, or None."""
    key = f"claim%2F{context.service}%2F{context.key}"
    row = json.loads(http(f"{context.cluster.table_url}/v1/rows/{key}")[2])
    return row["value"]


@given("a store that {fault}")
def step_store_fault(context, fault):
    """Set a fault of the store."""
    context.writes = count_writes(context)
    http(context.cluster.table_url + "/faults", "POST", STORE_FAULTS[fault])
    context.add_cleanup(recover, context.cluster.table_url)


def count_writes(context):
    """Return the number of transactions that the store has run."""
    return json.loads(http(context.cluster.table_url + "/faults")[2])["writes"]


def recover(table_url):
    """End every fault of the store."""
    http(table_url + "/faults", "POST", HEALTHY)


@when("a caller sends a keyed POST")
def step_keyed(context):
    """Send the first call with a new key."""
    context.key = f"key-{next(KEYS)}"
    send_keyed(context)


@then("the claim is written")
def step_claim_written(context):
    """Wait for the outcome, or for the release if the call has not run."""
    verdict = context.answer.getheader("X-Verdict")
    if verdict == "not-run":
        wait_until(lambda: claim_row(context) is None, message="the release")
    elif verdict is None:
        wait_until(lambda: "status" in claim_row(context), message="the outcome")
    else:
        assert "status" not in claim_row(context)


@when("the caller sends it again after the target is healthy")
def step_again(context):
    """Send the same key to a target that now answers 200."""
    context.target.serve = serve_responses(OK_RESPONSE)
    context.target.end_connections()
    context.target.heads.clear()
    send_keyed(context)


@then("the answer is replayed: {replayed}")
def step_replayed(context, replayed):
    """Check the headers of a recorded answer."""
    seen = [context.answer.getheader(n) for n in ("X-Replayed", "X-Replay-Truncated")]
    wanted = {"yes": ["1", None], "cut": ["1", "1"], "no": [None, None]}[replayed]
    assert seen == wanted, seen
    if replayed == "cut":
        assert context.body == b"r" * 4096


@then("the target has received {runs:d} requests")
def step_runs(context, runs):
    """Count the requests at the target."""
    assert len(context.target.heads) == runs, context.target.heads


@when("the store recovers")
def step_recover(context):
    """End the faults of the store, after a late write has taken effect."""
    if context.answer.getheader("X-Error-Code") == "deadline-exceeded":
        wait_until(lambda: count_writes(context) > context.writes)
    recover(context.cluster.table_url)


@then("the same key is answered 200 and has run once")
def step_usable(context):
    """Wait until claims that had no answer are released, then use the key."""

    def answered():
        send_keyed(context)
        return context.answer.status == 200

    wait_until(answered, message="the key to be released")
    assert len(context.target.heads) == 1
