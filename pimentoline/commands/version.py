"""pimentoline.commands.version: show the version of the program."""

import platform

from .. import __version__
from .base import Command
from .exit_status import ExitStatus

__all__ = ["VersionCommand"]


class VersionCommand(Command):
    """Shows the version."""

    description = "Shows the version of the program and of the Python interpreter."

    def run(self, cfg, args, out):
        """Show the version."""
        python = platform.python_version()
        data = {"version": __version__, "python": python}
        out.write_result(data, [f"pimentoline {__version__}, Python {python}"])
        return ExitStatus.OK
