"""Steps of operators who apply rules."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when

from tests.conftest import http, wait_until
from tests.operators import apply_rules, rules_text, run_command, set_faults


@given("two nodes that share a store")
def step_pair(context):
    """Start a table service and two nodes."""
    context.cluster.start_table()
    for node, region in (("n1", "rift"), ("n2", "coast")):
        context.cluster.start_node(node, region=region)
    mesh = lambda: context.cluster.admin("n1", "/v1/mesh")[1]["members"]  # noqa: E731
    wait_until(lambda: len(mesh()) == 2, message="nodes that know each other")


@given('version {version:d} "{text}" was accepted from "{author}"')
def step_accepted(context, version, text, author):
    """Put a first version in force."""
    answer = apply_rules(context.cluster, "n2", text + "\n", version - 1, author)
    assert answer["result"] == "accepted", answer


@when("the store has faults {faults}")
def step_faults(context, faults):
    """Set faults of the table service."""
    set_faults(context.cluster, **json.loads(faults))


@when('an operator applies "{text}" to version {base:d}')
def step_apply(context, text, base):
    """Apply a text with the command line."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / "edited.rules"
    path.write_text(text + "\n")
    context.command = ("apply", path, f"--base={base}", "--author=john")
    context.status, context.answer = run_command(
        context.cluster, "n1", *context.command
    )


@when("{count:d} other versions are accepted")
def step_others(context, count):
    """Apply further texts, each as a change of the latest version."""
    for number in range(count):
        base = _versions(context)
        answer = apply_rules(context.cluster, "n2", rules_text(number), base)
        assert answer["result"] == "accepted", answer


@when("the operator asks again for the attempt")
def step_again(context):
    """Repeat the command with the id of the attempt."""
    again = f"--attempt={context.answer['attempt']}"
    context.status, context.answer = run_command(
        context.cluster, "n1", *context.command, again
    )


@then("the command says {result} with exit status {status:d}")
def step_result(context, result, status):
    """Check the answer and the exit status."""
    found = context.answer.get("result") or context.answer.get("error")
    assert (found, context.status) == (result, status), context.answer


@then("the store holds {count:d} versions")
def step_versions(context, count):
    """Check the accepted versions in the store itself."""
    assert _versions(context) == count


@then("both nodes have version {version:d} in force within {limit_s:d} s")
def step_in_force(context, version, limit_s):
    """Check the version in force at each node."""
    for node in ("n1", "n2"):
        ask_config = lambda: context.cluster.admin(node, "/v1/config")[1]  # noqa: E731
        wait_until(lambda: ask_config()["version"] == version, limit_s, node)


def _versions(context):
    """Count the versions in the store after its faults have ended."""
    cluster = context.cluster
    set_faults(
        cluster, down=False, silent=False, delay_s=0.0, nonsense="", writes_per_s=400.0
    )
    _, _, body = http(f"{cluster.table_url}/v1/rows?prefix=audit/")
    rows = json.loads(body)
    texts = json.loads(http(f"{cluster.table_url}/v1/rows?prefix=config/")[2])
    assert len(texts) == (len(rows) + 1 if rows else 0), "head, or a text, is missing"
    return len(rows)
