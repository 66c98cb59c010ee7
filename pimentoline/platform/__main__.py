"""pimentoline.platform.__main__: entry point of a node on the platform."""

import asyncio
import os
import signal
import sys

import eliot

from ..errors import SettingsError
from ..logs import log_entry
from ..twohop.node import HostNode
from .configuration import CONFIG_ROW, parse_configuration
from .header_names import DIALECT
from .report_server import ReportServer
from .settings import load_settings_file
from .store import PlatformStore

SETTINGS_VARIABLE = "PIMENTOLINE_CONFIG"


# How often the settings file is looked at, seconds; it may change without a signal.
SETTINGS_CHECK_S = 1.0


def reload(node, path):
    """Read the settings again; what cannot be used leaves those in force."""
    try:
        node.reload(load_settings_file(path).host_settings())
    except SettingsError as exc:
        log_entry("settings:refused", code=exc.code, detail=exc.detail)


async def follow_settings(node, path):
    """Reload when the file changes."""
    seen = os.stat(path).st_mtime_ns
    while True:
        await asyncio.sleep(SETTINGS_CHECK_S)
        try:
            changed = os.stat(path).st_mtime_ns
        except OSError as exc:
            log_entry("settings:unreadable", detail=str(exc))
            continue
        if changed != seen:
            seen = changed
            reload(node, path)


async def serve(boot, path):
    """Run a node until it is stopped."""
    node = HostNode(
        boot.host_settings(),
        DIALECT,
        parse_configuration,
        lambda pool: PlatformStore(boot.platform.address, pool),
        CONFIG_ROW,
        ReportServer,
        ReportServer,
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload, node, path)
    follower = loop.create_task(follow_settings(node, path))
    await node.run()
    follower.cancel()


def main():
    """Read the settings and serve; exit 2 if they cannot be used."""
    eliot.to_file(sys.stdout)
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        boot = load_settings_file(path)
        boot.host_settings()
    except SettingsError as exc:
        log_entry("settings:refused", code=exc.code, detail=exc.detail)
        sys.exit(2)
    asyncio.run(serve(boot, path))


if __name__ == "__main__":
    main()
