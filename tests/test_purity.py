"""Purity of the reducer and the policies: their imports, and replay of decisions."""

import ast
import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

import pimentoline
from pimentoline.fast_replace import replace
from pimentoline.model import State, TargetStats
from pimentoline.policies import policy_names
from pimentoline.reducer import reduce

from .core import digest, run_scenario

PACKAGE = Path(pimentoline.__file__).parent
# Modules that decide without clocks, sockets and other I/O. They belong to
# `pimentoline/twohop`, the path of calls through the nodes of caller and target.
TWOHOP_DECISIONS = (
    *("admission", "retry_budget", "durations", "lifecycle", "target_status", "model"),
    *("noise", "success_rate", "placement", "weighted_round_robin"),
    *("watch_schedule", "rate_limit"),
)
# Modules outside the package that the files of `core_modules()` may import.
ALLOWED_IMPORTS = {
    *("abc", "bisect", "collections", "dataclasses", "enum", "fnmatch", "functools"),
    *("hashlib", "heapq", "importlib", "itertools", "math", "operator", "re"),
    *("string", "typing", "immutables"),
}


def imports(path):
    """Return the files of this package, and the other modules, that a file imports."""
    own, other = set(), set()
    package = path.parent
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            other |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and not node.level:
            other.add(node.module.split(".")[0])
        elif isinstance(node, ast.ImportFrom):
            base = package.parents[node.level - 2] if node.level > 1 else package
            names = node.module.split(".") if node.module else []
            candidates = [base.joinpath(*names)]
            candidates += [candidates[0] / alias.name for alias in node.names]
            for candidate in candidates:
                own |= {
                    f for f in (candidate.with_suffix(".py"), candidate / "__init__.py")
                }
    return {path for path in own if path.exists()}, other


def core_modules():
    """Return the files that the reducer, the policies and `TWOHOP_DECISIONS` import.

    The reader of rules files does I/O. `rules/__init__.py` imports it only to export
    it to the command line, so that import is left out. An import of the reader by any
    other module is followed.
    """
    reader = PACKAGE / "rules" / "file_reader.py"
    found, pending = set(), [PACKAGE / "reducer.py", *PACKAGE.glob("policies/*.py")]
    pending += [PACKAGE / "twohop" / f"{name}.py" for name in TWOHOP_DECISIONS]
    while pending:
        path = pending.pop()
        if path not in found:
            found.add(path)
            reached = imports(path)[0]
            if path == reader.with_name("__init__.py"):
                reached.discard(reader)
            pending += reached
    return sorted(found)


@pytest.mark.parametrize("path", core_modules(), ids=lambda path: path.stem)
def test_core_imports_nothing_impure(path):
    """Guards against imports of clocks, sockets, random sources or tornado.

    Of the random sources, only `random` is allowed; the next test checks its seeds.
    """
    assert imports(path)[1] <= ALLOWED_IMPORTS | {"random"}


@pytest.mark.parametrize("path", core_modules(), ids=lambda path: path.stem)
def test_core_takes_randomness_from_draws(path):
    """Guards against a random generator that is not seeded with a `draw`.

    A draw is the random number that an event carries.
    """
    nodes = list(ast.walk(ast.parse(path.read_text())))
    used = [node for node in nodes if isinstance(node, ast.Name)]
    used = [node for node in used if node.id == "random"]
    calls = [ast.unparse(node) for node in nodes if isinstance(node, ast.Call)]
    seeded = [call for call in calls if re.fullmatch(r"random\.Random\(.*draw\)", call)]
    assert len(used) == len(seeded)
    modules = [node for node in nodes if isinstance(node, ast.ImportFrom)]
    assert not [node for node in modules if node.module == "random" and not node.level]


def test_core_modules_are_found():
    """Guards against an import check of no modules, or of modules that do I/O."""
    names = {path.stem for path in core_modules()}
    assert {
        "routing",
        "traffic_stats",
        "retries",
        "hot_cold",
        "ruleset",
        "model",
    } <= names
    assert "proxy" not in names
    assert not names & {"node", "peers", "links", "frontend", "target_side"}


@pytest.mark.parametrize("policy", policy_names())
def test_replay_gives_same_state(policy):
    """Guards against decisions that depend on anything but state and events."""
    core, _ = run_scenario(policy)
    state = State(core.state.identity, policy=policy)
    for event in core.events:
        state = reduce(state, event).state
    assert state == core.state


def test_replay_in_another_process_gives_same_effects():
    """Guards against decisions that depend on the hash seed of the process."""
    code = "from tests.core import *; print(digest(*run_scenario('hot-cold')))"
    digests = {digest(*run_scenario("hot-cold"))}
    for seed in ("1", "2"):
        env = {**os.environ, "PYTHONHASHSEED": seed}
        completed = subprocess.run(
            [sys.executable, "-c", code],
            cwd=PACKAGE.parent,
            env=env,
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        digests.add(completed.stdout.strip())
    assert len(digests) == 1


def test_replace_keeps_other_fields():
    """Guards against copies that lose fields, change the original or add fields."""
    stats = TargetStats(inflight=1, recent_outcomes=(True,))
    changed = replace(stats, consecutive_failures=3)
    assert changed == TargetStats(
        inflight=1, recent_outcomes=(True,), consecutive_failures=3
    )
    assert stats == TargetStats(inflight=1, recent_outcomes=(True,))
    with pytest.raises(KeyError):
        replace(stats, unknown=1)
