"""Node processes of the platform deployment, for tests and the soak."""

import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from .platform import free_port

__all__ = ["NodeProcess", "settings_text", "start_node_process"]

ROOT = Path(__file__).parent.parent
# Placeholders in `SETTINGS_TEMPLATE` of the ports at which the node listens.
PORT_NAMES = ("inbound", "outbound", "ready", "control")
# `new_field` stands for a setting of a newer platform, which a node ignores.
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
    """Addresses of a node, named as in `HostSettings`.

    So code that takes a node inside this process also takes a `NodeProcess`.
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
    **values
        Further arguments of `settings_text`.

    Attributes
    ----------
    cfg : _Addresses
    process : subprocess.Popen or None
        The process that was started last.
    """

    def __init__(self, folder, name, target, store, **values):
        self.name = name
        self.target = target
        ports = {kind: free_port() for kind in PORT_NAMES}
        self.cfg = _Addresses(
            *(("127.0.0.1", ports[kind]) for kind in ("outbound", "control"))
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
        """Kill the process, also if `SIGSTOP` has suspended it."""
        if self.running:
            self.signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
