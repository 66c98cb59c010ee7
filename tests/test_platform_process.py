"""Tests of the node process on the platform: settings file, signals and exit."""

import asyncio
import json
import signal
import time
from pathlib import Path

import pytest

from pimentoline.errors import SettingsError
from pimentoline.platform.settings import load_settings_file, parse_duration
from standins.node_process import settings_text, start_node_process
from standins.platform import ScriptedTarget, StoreStandIn, free_port

from .test_twohop_path import config


def test_settings_are_read_and_unknown_fields_ignored(tmp_path):
    """Guards against rejecting the settings file of a newer platform.

    The text of `settings_text` has an unknown field, `new_field`.
    """
    path = tmp_path / "boot.toml"
    path.write_text(settings_text())
    cfg = load_settings_file(path).host_settings()
    assert (cfg.node, cfg.dc, cfg.grace_s) == ("sidecar-1", "kerio", 2.0)
    assert cfg.retry_limits.allowance == 64


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (lambda text: None, "No such file"),
        (lambda text: text[: len(text) // 2], "not TOML"),
        (lambda text: text.partition("[platform]")[0], "platform"),
        (lambda text: text + "[broken", "not TOML"),
        (lambda text: "a = " + "[" * 20_000, "nested too deeply"),
        (lambda text: text.replace('"127.0.0.1:1"', '"nowhere"', 1), "app_addr"),
        # The setting `bounds` is a list with the grace period and the retry limits.
        (lambda text: text.replace("grace=2s", "grace=soon"), "bounds"),
        (lambda text: text.replace('"grace=2s",', ""), "bounds"),
    ],
)
def test_error_names_the_wrong_setting(tmp_path, change, message):
    """Guards against an error that does not say which setting is wrong."""
    path = tmp_path / "boot.toml"
    text = change(settings_text())
    if text is not None:
        path.write_text(text)
    with pytest.raises(SettingsError, match=message) as caught:
        load_settings_file(path).host_settings()
    # `host_settings` checks the items of `bounds` and does not know the file name.
    assert "boot.toml" in str(caught.value) or message == "bounds"


@pytest.mark.parametrize(("text", "value"), [("1500ms", 1.5), ("2.5s", 2.5)])
def test_durations_are_read(text, value):
    """Guards against a duration that is read in the wrong unit."""
    assert parse_duration(text) == value


@pytest.mark.parametrize(
    "text", ["5", "5m", "-1s", "s", None, 7, "1e3s", "9" * 400 + "s"]
)
def test_invalid_durations_are_refused(text):
    """Guards against durations without a unit, negative ones and other formats."""
    with pytest.raises(ValueError):
        parse_duration(text)


def test_ports_of_tests_are_outside_the_ephemeral_range():
    """Guards against an outgoing connection that uses the port chosen for a node."""
    low, high = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()
    ports = [free_port() for _ in range(50)]
    assert len(set(ports)) == len(ports)
    assert not [port for port in ports if int(low) <= port <= int(high)]


def test_program_exits_with_status_2_on_wrong_settings(tmp_path):
    """Guards against a program that starts without usable settings."""
    process = start_node_process(tmp_path / "none.toml")
    out, _ = process.communicate(timeout=20)
    assert process.returncode == 2
    assert json.loads(out)["code"] == "settings-invalid"


async def is_ready(port):
    """Return whether the node reports that it is ready for callers."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
    response = await reader.read()
    writer.close()
    return response.startswith(b"HTTP/1.1 200")


async def until(condition, timeout_s=15.0):
    """Wait until `await condition()` is true; fail after `timeout_s`."""
    end = time.monotonic() + timeout_s
    while not await condition():
        assert time.monotonic() < end, "timed out"
        await asyncio.sleep(0.05)


def test_program_reloads_on_hangup_and_stops_within_grace(tmp_path):
    """Guards against a program that ends on SIGHUP, or exceeds its grace time."""

    async def run():
        store = StoreStandIn()
        # The operator's configuration: routes, services and limits of requests.
        store.put_config(config())
        target = ScriptedTarget("i-1", "ledger")
        await target.start()
        ports = {
            name: free_port() for name in ("inbound", "outbound", "ready", "control")
        }
        fields = {
            "app": "{}:{}".format(*target.addr),
            "store": "{}:{}".format(*store.addr),
            **ports,
        }
        path = tmp_path / "boot.toml"
        path.write_text(settings_text(**fields))
        process = start_node_process(path)
        try:
            await until(lambda: is_ready(ports["ready"]))
            # Another value of the retry limit `retry_slack` in `bounds`.
            path.write_text(settings_text(slack=7, **fields))
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            assert await is_ready(ports["ready"])
            process.send_signal(signal.SIGTERM)
            stop_began_at = time.monotonic()
            await until(lambda: negated(is_ready(ports["ready"])), 1.0)
            await asyncio.to_thread(process.wait, 10)
            assert time.monotonic() - stop_began_at < 2.5
        finally:
            process.kill()
            out = process.stdout.read()
            process.wait()
            target.close()
            store.close()
        assert process.returncode == 0
        message_types = [json.loads(line)["message_type"] for line in out.splitlines()]
        assert "node:reloaded" in message_types
        assert message_types[-1] == "node:stopped"

    async def negated(condition):
        return not await condition

    asyncio.run(run())
