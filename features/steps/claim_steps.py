"""Steps for calls with an Idempotency-Key.

A node claims the key in the store before it sends a call to the target, and adds the
outcome to the claim afterwards. A call that repeats the key is not run: it gets this
outcome, or 409 while there is none. If the first call was not run, its claim is
released.
"""

import itertools
import json

from behave import given, then, when

from tests.conftest import http, wait_until
from tests.raw_sockets import serve_responses
from tests.target_faults import OK_RESPONSE

KEY_NUMBERS = itertools.count(1)
# Faults of the store, by the text of the step "a store that ...".
STORE_FAULTS = {
    "is down": {"down": True},
    "loses an answer": {"lose_answers": 1},
    "answers after the deadline": {"delay_s": 0.8},
}
NO_FAULTS = {"down": False, "lose_answers": 0, "delay_s": 0.0}


def send_keyed(context):
    """Send a POST with the key of the scenario and save its response."""
    headers = {"Idempotency-Key": context.key, "X-Deadline-Ms": "400"}
    status, head, context.body = context.cluster.call(
        "n1", "/", context.service, "POST", body=b"sale", headers=headers
    )
    context.response = Response(status, head)


class Response:
    """Status and headers of a response, with the interface of `http.client`."""

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
    context.writes_before_fault = count_writes(context)
    http(context.cluster.table_url + "/faults", "POST", STORE_FAULTS[fault])
    context.add_cleanup(clear_faults, context.cluster.table_url)


def count_writes(context):
    """Return the number of transactions that the store has run."""
    return json.loads(http(context.cluster.table_url + "/faults")[2])["writes"]


def clear_faults(table_url):
    """Clear every fault of the store."""
    http(table_url + "/faults", "POST", NO_FAULTS)


@when("a caller sends a keyed POST")
def step_keyed(context):
    """Send the first call with a new key."""
    context.key = f"key-{next(KEY_NUMBERS)}"
    send_keyed(context)


@then("the claim is written")
def step_claim_written(context):
    """Wait until the claim has the outcome, or is released if the call was not run.

    If it is unknown whether the call ran, the claim must stay without an outcome.
    """
    verdict = context.response.getheader("X-Verdict")
    if verdict == "not-run":
        wait_until(
            lambda: claim_row(context) is None, message="the release of the claim"
        )
    elif verdict is None:
        wait_until(
            lambda: "status" in claim_row(context), message="the outcome in the claim"
        )
    else:
        assert "status" not in claim_row(context)


@when("the caller sends it again after the target is healthy")
def step_repeat(context):
    """Send the call with the same key again, now to a target that answers 200.

    The target's connections are closed, because those in use would keep its previous
    behaviour. The list of the requests that it has received is emptied.
    """
    context.target.serve = serve_responses(OK_RESPONSE)
    context.target.end_connections()
    context.target.heads.clear()
    send_keyed(context)


@then("the answer is replayed: {replayed}")
def step_replayed(context, replayed):
    """Check the headers of a replayed response, and its body if that is truncated."""
    received = [
        context.response.getheader(n) for n in ("X-Replayed", "X-Replay-Truncated")
    ]
    expected = {"yes": ["1", None], "cut": ["1", "1"], "no": [None, None]}[replayed]
    assert received == expected, received
    if replayed == "cut":
        # A claim holds at most the first 4096 bytes of a response body.
        assert context.body == b"r" * 4096


@then("the target has received {runs:d} requests")
def step_runs(context, runs):
    """Check the number of requests at the target.

    They are counted from the step in which it becomes healthy, if the scenario has one.
    """
    assert len(context.target.heads) == runs, context.target.heads


@when("the store recovers")
def step_recover(context):
    """Clear the faults of the store; if a write is delayed, first wait for it."""
    if context.response.getheader("X-Error-Code") == "deadline-exceeded":
        wait_until(lambda: count_writes(context) > context.writes_before_fault)
    clear_faults(context.cluster.table_url)


@then("the same key is answered 200 and has run once")
def step_usable(context):
    """Repeat the call until it succeeds, and check that the target ran it once.

    If the store did not confirm the first call's claim, the claim blocks the key until
    the node has released it.
    """

    def succeeds():
        send_keyed(context)
        return context.response.status == 200

    wait_until(succeeds, message="the key to be released")
    assert len(context.target.heads) == 1
