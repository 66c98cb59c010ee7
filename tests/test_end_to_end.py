"""End-to-end tests with separate processes."""

import json

from .conftest import wait_until


def start_two_nodes(cluster):
    """Start a table service, two nodes in two regions, and a target at the second.

    The table service is the transactional key-value store in which the nodes keep the
    rules.
    """
    cluster.start_table()
    cluster.start_node("n1", region="rift", dc="kerio")
    cluster.start_node("n2", region="coast", dc="kwale")
    cluster.start_target("t1", "n2")
    wait_until(lambda: cluster.knows_target("n1", "t1"), message="t1 at n1")


def test_call_reaches_target_of_another_host(cluster):
    """Guards against a failure anywhere on the path from the caller to the target."""
    start_two_nodes(cluster)
    # Optional id of the request, which the target returns in its response.
    headers = {"X-Run-Id": "r1"}
    status, _, body = cluster.call("n1", "/weights", headers=headers)
    assert status == 200
    assert json.loads(body)["target"] == "t1"


def test_unknown_service_is_not_run(cluster):
    """Guards against a verdict other than `not-run` for a call without a target."""
    start_two_nodes(cluster)
    status, headers, body = cluster.call("n1", "/", service="nowhere")
    assert status == 503
    assert headers["X-Verdict"] == "not-run"
    assert json.loads(body)["error"] == "unknown-service"


def test_applied_rules_reach_every_node(cluster):
    """Guards against a node that never applies an accepted rules version."""
    start_two_nodes(cluster)
    text = "pause t1  # asked by Wanjiru\n"
    # `attempt` is a unique id of the request, in case it is retried.
    body = {"base": 0, "text": text, "author": "otieno", "attempt": "attempt-1"}
    status, response = cluster.admin("n2", "/v1/config", "POST", body)
    assert (status, response["result"]) == (200, "accepted")
    wait_until(lambda: cluster.admin("n1", "/v1/config")[1]["version"] == 1)
    assert cluster.call("n1", "/weights")[0] == 503


def test_node_stops_gracefully(cluster):
    """Guards against a node that does not stop on SIGTERM."""
    start_two_nodes(cluster)
    assert cluster.nodes["n1"].stop() == 0
