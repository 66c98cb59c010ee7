"""Hosts of the platform for tests and the soak: a node process beside an instance."""

import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from .platform import free_port

__all__ = ["NodeProcess", "settings_text", "start_node_process"]

ROOT = Path(__file__).parent.parent
PORTS = ("inbound", "outbound", "ready", "control")
SETTINGS = """
node_name = "{name}"
zone = "{dc}"
region = "{region}"
service = "{service}"
app_addr = "{app}"
new_field = {{ unknown = true }}
bounds = ["grace={grace}","retry_ratio=0.2","retry_window=10s","retry_slack={slack}"]
[listen]
inbound = "127.0.0.1:{inbound}"
outbound = "127.0.0.1:{outbound}"
ready_addr = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[platform]
address = "{store}"
"""


def settings_text(**given):
    """Return a settings file; ports that are not given are 1 to 4."""
    fields = {
        "name": "sidecar-1",
        "dc": "kerio",
        "region": "rift",
        "service": "ledger",
        "grace": "2s",
        "slack": 64,
        "app": "127.0.0.1:1",
        "store": "127.0.0.1:1",
    }
    fields |= {name: number for number, name in enumerate(PORTS, 1)}
    return SETTINGS.format(**(fields | given))


def start_node_process(path, stdout=subprocess.PIPE):
    """Start the program with a settings file."""
    env = {**os.environ, "PIMENTOLINE_CONFIG": str(path)}
    return subprocess.Popen(
        [sys.executable, "-m", "pimentoline.platform"],
        cwd=ROOT,
        env=env,
        stdout=stdout,
        text=True,
    )


@dataclass(frozen=True, slots=True)
class _Addresses:
    """Where a node listens, as `ScriptedTarget.send_heartbeat` asks for it."""

    callers_addr: tuple[str, int]
    heartbeats_addr: tuple[str, int]


class NodeProcess:
    """A node process with fixed addresses, which can be ended and started again.

    Parameters
    ----------
    folder : Path
        Where the settings file and the log are written.
    instance : ScriptedTarget
    store : StoreStandIn
    """

    def __init__(self, folder, name, instance, store, **given):
        self.name = name
        self.instance = instance
        ports = {kind: free_port() for kind in PORTS}
        self.cfg = _Addresses(
            *(("127.0.0.1", ports[kind]) for kind in ("outbound", "control"))
        )
        self._settings = Path(folder) / f"{name}.toml"
        self._log = Path(folder) / f"{name}.log"
        self._settings.write_text(
            settings_text(
                name=name,
                service=instance.service,
                app="{}:{}".format(*instance.addr),
                store="{}:{}".format(*store.addr),
                **ports,
                **given,
            )
        )
        self.process = None

    def start(self):
        """Start the process; its log goes on in the same file."""
        with self._log.open("a") as log:
            self.process = start_node_process(self._settings, log)

    @property
    def up(self):
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, signum):
        """Send a signal to the process if it runs."""
        if self.up:
            self.process.send_signal(signum)

    def kill(self):
        """End the process at once, also if it is stopped."""
        if self.up:
            self.signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
