"""Runs nodes as processes of `pimentoline.platform`, for tests and the soak test."""

import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from .platform import free_port

__all__ = ["NodeProcess", "settings_text", "start_node_process"]

ROOT = Path(__file__).parent.parent
# Names of the ports at which the node listens, which are placeholders in
# `SETTINGS_TEMPLATE`.
PORT_NAMES = ("inbound", "outbound", "ready", "control")
# `new_field` stands for a setting that a later version of the platform adds; a node
# ignores settings that it does not know.
SETTINGS_TEMPLATE = """
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
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
[platform]
address = "{store}"
"""


def settings_text(**values):
    """Return the text of a settings file.

    Parameters
    ----------
    **values
        Values for the placeholders of `SETTINGS_TEMPLATE`. Without a value, the ports
        at which the node listens are 1 to 4.
    """
    fields = {
        "name": "sidecar-1",
        "dc": "kerio",
        "region": "rift",
        "service": "ledger",
        "grace": "2s",
        "slack": 64,
        "memory_mb": 300,
        "max_fds": 4100,
        "app": "127.0.0.1:1",
        "store": "127.0.0.1:1",
    }
    fields |= {name: number for number, name in enumerate(PORT_NAMES, 1)}
    return SETTINGS_TEMPLATE.format(**(fields | values))


def start_node_process(path, stdout=subprocess.PIPE):
    """Start `pimentoline.platform` with a settings file; return its `Popen`."""
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
    """Addresses for callers and for heartbeats.

    They are named as in `HostSettings`. Code that reads them from the `cfg` of a
    `HostNode`, a node in the process of the test, thus also takes a `NodeProcess`.
    """

    callers_addr: tuple[str, int]
    heartbeats_addr: tuple[str, int]


class NodeProcess:
    """A node process with fixed addresses, which can be killed and started again.

    Parameters
    ----------
    folder : str or Path
        Where the settings file and the log are written.
    name : str
        Name of the node.
    target : ScriptedTarget
        The target on the host of the node.
    store : StoreStandIn
        The store that has the operator's configuration and the list of the nodes.
    **values
        Further arguments of `settings_text`.

    Attributes
    ----------
    cfg : _Addresses
    process : subprocess.Popen or None
        The process that was started last, None before the first start.
    """

    def __init__(self, folder, name, target, store, **values):
        self.name = name
        self.target = target
        ports = {port_name: free_port() for port_name in PORT_NAMES}
        # Callers connect to the port `outbound`, heartbeats go to `control`.
        self.cfg = _Addresses(
            *(("127.0.0.1", ports[port_name]) for port_name in ("outbound", "control"))
        )
        self._settings = Path(folder) / f"{name}.toml"
        self._log = Path(folder) / f"{name}.log"
        self._settings.write_text(
            settings_text(
                name=name,
                service=target.service,
                app="{}:{}".format(*target.addr),
                store="{}:{}".format(*store.addr),
                **ports,
                **values,
            )
        )
        self.process = None

    def start(self):
        """Start the process; its log is appended to the log of earlier processes."""
        with self._log.open("a") as log:
            self.process = start_node_process(self._settings, log)

    @property
    def running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, signum):
        """Send a signal to the process if it runs."""
        if self.running:
            self.process.send_signal(signum)

    def kill(self):
        """Kill the process, even if `SIGSTOP` has suspended it."""
        if self.running:
            self.signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
