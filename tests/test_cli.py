"""Tests of the command line: flags, environment variables, help and exit statuses."""

import json

import pytest

from pimentoline.cli import run
from pimentoline.commands import ExitStatus, command_names, get_command_by_name
from pimentoline.commands.exit_status import EXIT_DESCRIPTIONS
from pimentoline.flag_parsing import ENV_PREFIX, env_var_name

from .conftest import wait_until
from .operators import run_command, set_faults, start_command
from .raw_sockets import RawTarget

NODE_ARGS = ["node", "--region=rift", "--dc=kerio", "--mesh_keys=k"]


@pytest.fixture(autouse=True)
def no_variables(monkeypatch):
    """Remove the environment variables of the flags."""
    for name in command_names():
        for flag in get_command_by_name(name).flags:
            monkeypatch.delenv(env_var_name(flag), raising=False)


# (arguments, environment variables without prefix, a part of each error line in order)
REJECTED = [
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
    (NODE_ARGS + ["--region=a b"], {}, ["--region (PIMENTOLINE_REGION): found 'a b'"]),
    (
        NODE_ARGS + ["--data_addr=1:2"],
        {},
        ["found '1:2'; allowed: IP:PORT with an IPv4 address"],
    ),
    (NODE_ARGS + ["--data_addr=127.0.0.1:65536"], {}, ["--data_addr"]),
    (NODE_ARGS + ["--seeds=127.0.0.1"], {}, ["--seeds"]),
    (NODE_ARGS + ["--store_url=ftp://a"], {}, ["--store_url"]),
    (
        NODE_ARGS + ["--policy=best"],
        {},
        ["--policy (PIMENTOLINE_POLICY): found 'best'; allowed: one of"],
    ),
    (NODE_ARGS + ["--admin_addr=0.0.0.0:1"], {}, ["--admin_remote"]),
    (["frobnicate"], {}, ["allowed commands: node, check"]),
]


@pytest.mark.parametrize("argv, variables, words", REJECTED)
def test_bad_flag_is_refused_with_clear_lines(
    argv, variables, words, monkeypatch, capsys
):
    """Guards against a bad flag or variable that is ignored, or ends in a traceback."""
    for name, value in variables.items():
        monkeypatch.setenv(ENV_PREFIX + name, value)
    assert run(argv) == ExitStatus.USAGE
    captured = capsys.readouterr()
    lines = captured.err.splitlines()
    assert captured.out == "" and "Traceback" not in captured.err
    assert all(line.startswith("pimentoline: ") for line in lines)
    assert len(lines) == len(words), lines
    for word, line in zip(words, lines):
        assert word in line


def test_keys_do_not_appear_in_errors(monkeypatch, capsys):
    """Guards against an error message that shows a mesh key."""
    monkeypatch.setenv("PIMENTOLINE_MESH_KEYS", ",")
    assert run(["node", "--region=a", "--dc=b"]) == ExitStatus.USAGE
    line = capsys.readouterr().err
    assert "--mesh_keys" in line and "found" not in line


@pytest.mark.parametrize("name", command_names())
def test_help_names_flags_variables_and_statuses(name, capsys):
    """Guards against a help text without a flag, its variable or an exit status."""
    command = get_command_by_name(name)
    assert run([name, "--help"]) == ExitStatus.OK
    text = capsys.readouterr().out
    assert text.startswith(f"usage: pimentoline {name}")
    for flag in command.flags:
        assert f"--{flag}" in text and env_var_name(flag) in text
    for status in command.exit_statuses:
        assert f"  {status:d}  {EXIT_DESCRIPTIONS[status]}" in text
    # The program wraps only the texts of the flags. The descriptions of commands keep
    # their line breaks.
    assert max(map(len, text.splitlines())) <= 92
    assert run(["--help"]) == ExitStatus.OK
    assert get_command_by_name(name).summary in capsys.readouterr().out


def test_exit_statuses_are_documented():
    """Guards against an exit status without a description, or used twice."""
    assert (
        sorted(EXIT_DESCRIPTIONS) == sorted(ExitStatus) and len(set(ExitStatus)) == 10
    )


def test_check_reports_every_problem(tmp_path, capsys):
    """Guards against a check that stops at the first problem or file."""
    first, second = tmp_path / "a.rules", tmp_path / "b.rules"
    # Each rule needs a comment that names who asked for it, which the first line lacks.
    # The second line has an unknown kind of rule.
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


def test_flag_overrides_its_variable(monkeypatch, capsys):
    """Guards against a variable that is ignored, or overrides its flag."""
    monkeypatch.setenv("PIMENTOLINE_JSON", "true")
    assert run(["version"]) == ExitStatus.OK
    assert json.loads(capsys.readouterr().out)["version"]
    assert run(["version", "--nojson"]) == ExitStatus.OK
    assert capsys.readouterr().out.startswith("pimentoline ")


def test_commands_against_a_node(cluster, tmp_path):
    """Guards against a command that fails against a node, or a wrong exit status."""
    # The table service is the store of the rules.
    cluster.start_table()
    cluster.start_node("n1")
    cluster.start_target("t1", "n1")
    cluster.start_target("t2", "n1")
    wait_until(
        lambda: cluster.knows_target("n1", "t2") and cluster.knows_target("n1", "t1")
    )
    path = tmp_path / "edited.rules"
    path.write_text("weight t1 0  # Mary\nclass hive-ledger critical  # Mary\n")
    status, response = run_command(cluster, "n1", "diff", path)
    assert (status, response["version"]) == (ExitStatus.DIFFERENT, 0)
    assert "+weight t1 0  # Mary" in response["diff"]
    assert (
        run_command(cluster, "n1", "apply", path, "--base=0", "--author=mary")[0] == 0
    )
    assert run_command(cluster, "n1", "diff", path)[0] == ExitStatus.OK
    assert run_command(cluster, "n1", "status")[1]["rules"]["version"] == 1
    assert run_command(cluster, "n1", "mesh")[1]["members"][0]["node_id"] == "n1"

    before = cluster.targets["t2"].get_json("/runs")
    status, response = run_command(
        cluster, "n1", "explain", "hive-ledger", "POST", "/sales?x=1"
    )
    assert status == 0 and response["outcomes"] == {"sent to t2": 1.0}
    assert response["policy"]["call_class"] == "critical"
    assert response["rules"] == {"class": "class hive-ledger critical  # Mary"}
    reasons = {target["target_id"]: target["reason"] for target in response["targets"]}
    assert reasons["t1"] == "not used: weight t1 0  # Mary"
    assert cluster.targets["t2"].get_json("/runs") == before, "a call was sent"
    assert run_command(cluster, "n1", "status")[1]["calls"] == 0
    _, response = run_command(cluster, "n1", "explain", "nowhere", "GET", "/")
    assert response["outcomes"] == {"refused with 503 unknown-service": 1.0}
    assert run_command(cluster, "n1", "explain", "a", "get", "/")[0] == ExitStatus.USAGE

    assert run_command(cluster, "n1", "drain", "t9")[0] == ExitStatus.NOT_FOUND
    assert run_command(cluster, "n1", "drain", "t2") == (
        0,
        {"target": "t2", "state": "draining"},
    )
    _, response = run_command(cluster, "n1", "explain", "hive-ledger", "GET", "/")
    assert list(response["outcomes"]) == ["refused with 503 no-target"]

    # Now the table service is down.
    set_faults(cluster, down=True)
    assert run_command(cluster, "n1", "history")[0] == ExitStatus.STORE_UNAVAILABLE
    assert run_command(cluster, "n1", "status")[0] == ExitStatus.OK
    cluster.nodes["n1"].kill()
    assert run_command(cluster, "n1", "status")[0] == ExitStatus.NODE_UNAVAILABLE
    process = start_command(cluster, "n1", "status")
    out, err = process.communicate(timeout=20)
    assert out == "" and err.startswith(
        "pimentoline: node-unavailable: no node listens"
    )


@pytest.mark.parametrize("status", [b"000", b"099", b"600"])
def test_response_with_a_status_out_of_range_is_not_usable(status, capsys):
    """Guards against a result that is taken from a response that is not HTTP."""
    body = b'{"node": "n1", "members": []}'

    def serve(target, sock, number):
        if target.read_request(sock):
            length = b"Content-Length: %d" % len(body)
            sock.sendall(b"HTTP/1.1 %s Odd\r\n%s\r\n\r\n" % (status, length) + body)

    node = RawTarget(serve)
    try:
        args = ["mesh", "--admin_addr={}:{}".format(*node.addr)]
        assert run(args) == ExitStatus.NODE_UNAVAILABLE
    finally:
        node.close()
    assert "node-unavailable" in capsys.readouterr().err
