"""Helpers for tests that act as operators: commands, rules and faults of the store."""

import json
import os
import subprocess
import sys
import uuid

from .conftest import http

COMMAND_TIMEOUT_S = 60.0


def start_command(cluster, node_id, *args, **env):
    """Start a command that uses a node and return the running process.

    `env` has environment variables to add.
    """
    ip, port = cluster.nodes[node_id].info["admin"]
    return subprocess.Popen(
        [sys.executable, "-m", "pimentoline", *map(str, args)],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "PIMENTOLINE_ADMIN_ADDR": f"{ip}:{port}", **env},
    )


def wait_for_result(process):
    """Wait for a command started with `--json`; return (exit status, result)."""
    out, err = process.communicate(timeout=COMMAND_TIMEOUT_S)
    assert out, err
    return process.returncode, json.loads(out)


def run_command(cluster, node_id, *args):
    """Run a command with `--json` and return (exit status, result)."""
    return wait_for_result(start_command(cluster, node_id, *args, "--json"))


def apply_rules(cluster, node_id, text, base, author="mary", attempt=None):
    """Apply a rules text over HTTP, without a command; return the response.

    `base` is the version that the text is based on. `attempt` is the id of this attempt
    to apply it, by default a new one.
    """
    body = {"base": base, "text": text, "author": author}
    body["attempt"] = attempt or uuid.uuid4().hex
    return cluster.admin(node_id, "/v1/config", "POST", body)[1]


def set_faults(cluster, **faults):
    """Set faults of the table service, which is the store."""
    status, _, _ = http(f"{cluster.table_url}/faults", "POST", faults)
    assert status == 200, faults


def rules_text(name, requester="Mary"):
    """Return a valid rules text that is different for each name.

    The comment of a rule names its requester, the person who asked for it.
    """
    return f"pause target-{name}  # {requester}\n"


def rules_file(folder, name):
    """Write the rules text for a name to a file and return its path."""
    path = folder / f"{name}.rules"
    path.write_text(rules_text(name))
    return path
