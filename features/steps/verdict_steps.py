"""Steps for verdicts of failed calls.

A verdict tells the caller whether a target may have run the call.
"""

from behave import given, then, when

from standins.cluster import http, wait_until


@given("a node with one target")
def step_one_target(context):
    """Start a node, its target and the table service in which the node stores data."""
    context.cluster.start_table()
    context.cluster.start_node("n1")
    context.cluster.start_target("t1", "n1")
    wait_until(lambda: context.cluster.knows_target("n1", "t1"))


@when("the target has fault {fault}")
def step_fault(context, fault):
    """Make the target inject a fault; `none` leaves it healthy."""
    if fault != "none":
        ip, port = context.cluster.targets["t1"].info["addr"]
        http(f"http://{ip}:{port}/faults", "POST", {fault: True})


@when("a caller sends {method} to the node")
def step_call(context, method):
    """Send one call and save its response."""
    body = b"sale" if method == "POST" else None
    context.response = context.cluster.call("n1", "/", method=method, body=body)


@then('the answer has status {status:d} and verdict "{verdict}"')
def step_answer(context, status, verdict):
    """Check the status and the `X-Verdict` header; `none` means no header."""
    assert context.response[0] == status, context.response
    assert context.response[1].get("X-Verdict", "none") == verdict, context.response
