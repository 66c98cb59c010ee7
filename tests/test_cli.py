"""The command line: flags, variables, help and exit statuses."""

import json

import pytest

from pimentoline.cli import run
from pimentoline.commands import ExitStatus, command_names, get_command_by_name
from pimentoline.commands.exit_status import EXIT_DESCRIPTIONS
from pimentoline.flag_parsing import ENV_PREFIX, env_var_name

from .conftest import wait_until
from .operators import run_command, set_faults, start_command

NODE = ["node", "--region=rift", "--dc=kerio", "--mesh_keys=k"]


@pytest.fixture(autouse=True)
def no_variables(monkeypatch):
    """Take the variables of the caller's environment away."""
    for name in command_names():
        for flag in get_command_by_name(name).flags:
            monkeypatch.delenv(env_var_name(flag), raising=False)


# (arguments, variables, words of each line in order)
REFUSED = [
    (["status", "--nope"], {}, ["--nope: unknown flag"]),
    (["status", "--jsn"], {}, ["--jsn: unknown flag; did you mean --json?"]),
    (["status", "extra"], {}, ["found 1 arguments; allowed: no arguments"]),
    (["check"], {}, ["found 0 arguments; allowed: FILE..."]),
    (["explain", "desk", "GET"], {}, ["allowed: SERVICE METHOD PATH"]),
    (["status", "--admin_addr=host:1"], {}, ["found 'host:1'; allowed: IP:PORT"]),
    (["status", "--admin_addr"], {}, ["Missing value for flag --admin_addr"]),
    (["status"], {"TIMEOUT_S": "x"}, ["(PIMENTOLINE_TIMEOUT_S): found 'x'"]),
    (["status"], {"JSON": "maybe"}, ["PIMENTOLINE_JSON: found 'maybe'; allowed: 1"]),
    (["status"], {"JSNO": "1"}, ["PIMENTOLINE_JSNO: unknown; did you mean"]),
    (["status", "--a=1"], {"B": "1"}, ["PIMENTOLINE_B", "--a: unknown flag"]),
    (["apply", "f", "--base=-1"], {}, ["--author", "--base"]),
    (["apply", "f", "--base=x", "--author=a"], {}, ["allowed: a whole number"]),
    (
        ["apply", "f", "--base=1", "--author=a", "--attempt=a b"],
        {},
        ["--attempt (PIMENTOLINE_ATTEMPT): found 'a b'; allowed: text of the form"],
    ),
    (["history", "--limit=101"], {}, ["--limit (PIMENTOLINE_LIMIT): found '101'"]),
    (["explain", "a", "GET", "/", "--call_class=x"], {}, ["'critical', 'normal'"]),
    (["node"], {}, ["--region", "--dc", "--mesh_keys"]),
    (NODE + ["--region=a b"], {}, ["--region (PIMENTOLINE_REGION): found 'a b'"]),
    (
        NODE + ["--data_addr=1:2"],
        {},
        ["found '1:2'; allowed: IP:PORT with an IPv4 address"],
    ),
    (NODE + ["--data_addr=127.0.0.1:65536"], {}, ["--data_addr"]),
    (NODE + ["--seeds=127.0.0.1"], {}, ["--seeds"]),
    (NODE + ["--store_url=ftp://a"], {}, ["--store_url"]),
    (
        NODE + ["--policy=best"],
        {},
        ["--policy (PIMENTOLINE_POLICY): found 'best'; allowed: one of"],
    ),
    (NODE + ["--admin_addr=0.0.0.0:1"], {}, ["--admin_remote"]),
    (["frobnicate"], {}, ["allowed commands: node, check"]),
]


@pytest.mark.parametrize("argv, variables, words", REFUSED)
def test_bad_flag_is_refused_with_clear_lines(
    argv, variables, words, monkeypatch, capsys
):
    """Guards against a bad flag or variable that is ignored, or ends in a traceback."""
    for name, value in variables.items():
        monkeypatch.setenv(ENV_PREFIX + name, value)
    assert run(argv) == ExitStatus.USAGE
    found = capsys.readouterr()
    lines = found.err.splitlines()
    assert found.out == "" and "Traceback" not in found.err
    assert all(line.startswith("pimentoline: ") for line in lines)
    assert len(lines) == len(words), lines
    for word, line in zip(words, lines):
        assert word in line


def test_keys_do_not_appear_in_errors(monkeypatch, capsys):
    """Guards against a key of the mesh in a log of standard error."""
    monkeypatch.setenv("PIMENTOLINE_MESH_KEYS", ",")
    assert run(["node", "--region=a", "--dc=b"]) == ExitStatus.USAGE
    line = capsys.readouterr().err
    assert "--mesh_keys" in line and "found" not in line


@pytest.mark.parametrize("name", command_names())
def test_help_names_flags_variables_and_statuses(name, capsys):
    """Guards against a flag without help, a variable or a documented exit status."""
    command = get_command_by_name(name)
    assert run([name, "--help"]) == ExitStatus.OK
    text = capsys.readouterr().out
    assert text.startswith(f"usage: pimentoline {name}")
    for flag in command.flags:
        assert f"--{flag}" in text and env_var_name(flag) in text
    for status in command.exit_statuses:
        assert f"  {status:d}  {EXIT_DESCRIPTIONS[status]}" in text
    assert max(map(len, text.splitlines())) <= 92
    assert run(["--help"]) == ExitStatus.OK
    assert get_command_by_name(name).summary in capsys.readouterr().out


def test_exit_statuses_are_documented():
    """Guards against two meanings of one status."""
    assert (
        sorted(EXIT_DESCRIPTIONS) == sorted(ExitStatus) and len(set(ExitStatus)) == 10
    )


def test_check_reports_every_problem(tmp_path, capsys):
    """Guards against a check that stops at the first problem or file."""
    first, second = tmp_path / "a.rules", tmp_path / "b.rules"
    first.write_text("pause t1\npaws t2 # Mary\n")
    second.write_text("pause t1 # Mary\n")
    missing = str(tmp_path / "none")
    assert run(["check", str(first), missing, "--json"]) == ExitStatus.RULES_INVALID
    problems = json.loads(capsys.readouterr().out)["problems"]
    assert [(item["filename"], item["line"]) for item in problems] == [
        (str(first), 1),
        (str(first), 2),
        (missing, 0),
    ]
    assert run(["check", str(second)]) == ExitStatus.OK
    assert capsys.readouterr().out == "1 rules, no problems\n"


def test_variable_counts_unless_the_flag_is_given(monkeypatch, capsys):
    """Guards against a variable that is ignored, or wins over its flag."""
    monkeypatch.setenv("PIMENTOLINE_JSON", "true")
    assert run(["version"]) == ExitStatus.OK
    assert json.loads(capsys.readouterr().out)["version"]
    assert run(["version", "--nojson"]) == ExitStatus.OK
    assert capsys.readouterr().out.startswith("pimentoline ")


def test_commands_against_a_node(cluster, tmp_path):
    """Guards against a command that fails on a real node, or its exit status."""
    cluster.start_table()
    cluster.start_node("n1")
    cluster.start_target("t1", "n1")
    cluster.start_target("t2", "n1")
    wait_until(
        lambda: cluster.knows_target("n1", "t2") and cluster.knows_target("n1", "t1")
    )
    path = tmp_path / "edited.rules"
    path.write_text("weight t1 0  # Mary\nclass hive-ledger critical  # Mary\n")
    status, answer = run_command(cluster, "n1", "diff", path)
    assert (status, answer["version"]) == (ExitStatus.DIFFERENT, 0)
    assert "+weight t1 0  # Mary" in answer["diff"]
    assert (
        run_command(cluster, "n1", "apply", path, "--base=0", "--author=mary")[0] == 0
    )
    assert run_command(cluster, "n1", "diff", path)[0] == ExitStatus.OK
    assert run_command(cluster, "n1", "status")[1]["rules"]["version"] == 1
    assert run_command(cluster, "n1", "mesh")[1]["members"][0]["node_id"] == "n1"

    before = cluster.targets["t2"].get_json("/runs")
    status, answer = run_command(
        cluster, "n1", "explain", "hive-ledger", "POST", "/sales?x=1"
    )
    assert status == 0 and answer["outcomes"] == {"sent to t2": 1.0}
    assert answer["policy"]["call_class"] == "critical"
    assert answer["rules"] == {"class": "class hive-ledger critical  # Mary"}
    reasons = {target["target_id"]: target["reason"] for target in answer["targets"]}
    assert reasons["t1"] == "not used: weight t1 0  # Mary"
    assert cluster.targets["t2"].get_json("/runs") == before, "a call was sent"
    assert run_command(cluster, "n1", "status")[1]["calls"] == 0
    _, answer = run_command(cluster, "n1", "explain", "nowhere", "GET", "/")
    assert answer["outcomes"] == {"refused with 503 unknown-service": 1.0}
    assert run_command(cluster, "n1", "explain", "a", "get", "/")[0] == ExitStatus.USAGE

    assert run_command(cluster, "n1", "drain", "t9")[0] == ExitStatus.NOT_FOUND
    assert run_command(cluster, "n1", "drain", "t2") == (
        0,
        {"target": "t2", "state": "draining"},
    )
    _, answer = run_command(cluster, "n1", "explain", "hive-ledger", "GET", "/")
    assert list(answer["outcomes"]) == ["refused with 503 no-target"]

    set_faults(cluster, down=True)
    assert run_command(cluster, "n1", "history")[0] == ExitStatus.STORE_UNAVAILABLE
    assert run_command(cluster, "n1", "status")[0] == ExitStatus.OK
    cluster.nodes["n1"].kill()
    assert run_command(cluster, "n1", "status")[0] == ExitStatus.NODE_UNAVAILABLE
    text = start_command(cluster, "n1", "status")
    out, err = text.communicate(timeout=20)
    assert out == "" and err.startswith(
        "pimentoline: node-unavailable: no node listens"
    )
