"""pimentoline.platform.__main__: entry point of a node on the deployment platform."""

import asyncio
import os
import signal
import sys

import eliot

from ..errors import SettingsError
from ..logs import log_entry
from ..tasks import start_task
from ..twohop.node import HostNode
from .configuration import CONFIG_ROW, parse_configuration
from .header_names import HEADER_NAMES
from .heartbeat_server import HeartbeatServer
from .settings import load_settings_file
from .store import PlatformStore

SETTINGS_VARIABLE = "PIMENTOLINE_CONFIG"
# The settings file is checked for changes, since not every change comes with a SIGHUP.
SETTINGS_CHECK_INTERVAL_S = 1.0


def reload(node, path):
    """Load the settings file again; if it is invalid, keep the current settings."""
    try:
        node.reload(load_settings_file(path).host_settings())
    except SettingsError as exc:
        log_entry("settings:refused", code=exc.code, detail=exc.detail)


async def watch_settings(node, path):
    """Reload the settings whenever the modification time of their file changes."""
    mtime_ns = os.stat(path).st_mtime_ns
    while True:
        await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
        try:
            new_mtime_ns = os.stat(path).st_mtime_ns
        except OSError as exc:
            log_entry("settings:unreadable", detail=str(exc))
            continue
        if new_mtime_ns != mtime_ns:
            mtime_ns = new_mtime_ns
            reload(node, path)


async def serve(settings, path):
    """Run a node until it is stopped; `path` is the path of the settings file."""
    # The settings are those of this node, from the file. The configuration is the
    # operator's, from the row `CONFIG_ROW` of the platform's store.
    node = HostNode(
        settings.host_settings(),
        HEADER_NAMES,
        parse_configuration,
        # Creates the client of the store from the node's connection pool.
        lambda pool: PlatformStore(settings.platform.address, pool),
        CONFIG_ROW,
        # One class serves both heartbeats and readiness checks.
        HeartbeatServer,
        HeartbeatServer,
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload, node, path)
    watcher = start_task(watch_settings(node, path), "watch settings")
    await node.run()
    watcher.cancel()


def main():
    """Read the settings file and run a node; exit with status 2 if it is invalid."""
    eliot.to_file(sys.stdout)
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_settings_file(path)
        # The result is not needed yet; an invalid value raises SettingsError here.
        settings.host_settings()
    except SettingsError as exc:
        log_entry("settings:refused", code=exc.code, detail=exc.detail)
        sys.exit(2)
    asyncio.run(serve(settings, path))


if __name__ == "__main__":
    main()
