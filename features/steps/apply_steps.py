"""Steps for operators who apply rules."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when

from tests.conftest import http, wait_until
from tests.operators import apply_rules, rules_text, run_command, set_faults


@given("two nodes that share a store")
def step_two_nodes(context):
    """Start the store, a stand-in for a transactional database, and two nodes."""
    context.cluster.start_table()
    for node, region in (("n1", "rift"), ("n2", "coast")):
        context.cluster.start_node(node, region=region)
    members = lambda: context.cluster.admin("n1", "/v1/mesh")[1]["members"]  # noqa: E731
    wait_until(lambda: len(members()) == 2, message="nodes that know each other")


@given('version {version:d} "{text}" was accepted from "{author}"')
def step_accepted(context, version, text, author):
    """Over HTTP, apply a rules text that replaces the preceding version."""
    response = apply_rules(context.cluster, "n2", text + "\n", version - 1, author)
    assert response["result"] == "accepted", response


@when("the store has faults {faults}")
def step_faults(context, faults):
    """Set faults of the store; `faults` is the JSON body for its path `/faults`."""
    set_faults(context.cluster, **json.loads(faults))


@when('an operator applies "{text}" to version {base:d}')
def step_apply(context, text, base):
    """With the command line, apply a rules text that replaces version `base`."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / "edited.rules"
    path.write_text(text + "\n")
    context.command = ("apply", path, f"--base={base}", "--author=john")
    context.status, context.response = run_command(
        context.cluster, "n1", *context.command
    )


@when("{count:d} other versions are accepted")
def step_other_versions(context, count):
    """Apply further rules texts, each based on the latest version."""
    for number in range(count):
        base = _count_versions(context)
        response = apply_rules(context.cluster, "n2", rules_text(number), base)
        assert response["result"] == "accepted", response


@when("the operator asks again for the attempt")
def step_repeat(context):
    """Retry the last command with its attempt id.

    The nodes accept the rules text of one attempt id at most once.
    """
    attempt = f"--attempt={context.response['attempt']}"
    context.status, context.response = run_command(
        context.cluster, "n1", *context.command, attempt
    )


@then("the command says {result} with exit status {status:d}")
def step_result(context, result, status):
    """Check the exit status, and the result or the error code."""
    found = context.response.get("result") or context.response.get("error")
    assert (found, context.status) == (result, status), context.response


@then("the store holds {count:d} versions")
def step_versions(context, count):
    """Check the number of accepted versions in the store."""
    assert _count_versions(context) == count


@then("both nodes have version {version:d} in force within {limit_s:d} s")
def step_in_force(context, version, limit_s):
    """Wait until each node has the version in force."""
    for node in ("n1", "n2"):
        get_config = lambda: context.cluster.admin(node, "/v1/config")[1]  # noqa: E731
        wait_until(lambda: get_config()["version"] == version, limit_s, node)


def _count_versions(context):
    """Return the number of accepted versions in the store.

    First clear the faults that could prevent reads, and restore the limit of writes.

    Each version has a row under `audit/` and one under `config/`. If there is a
    version, `config/head` is a further row.
    """
    cluster = context.cluster
    # 400 writes/s is the limit of the store without faults.
    set_faults(
        cluster, down=False, silent=False, delay_s=0.0, nonsense="", writes_per_s=400.0
    )
    _, _, body = http(f"{cluster.table_url}/v1/rows?prefix=audit/")
    audit_rows = json.loads(body)
    config_rows = json.loads(http(f"{cluster.table_url}/v1/rows?prefix=config/")[2])
    assert len(config_rows) == (len(audit_rows) + 1 if audit_rows else 0), (
        "the head row or a text is missing"
    )
    return len(audit_rows)
