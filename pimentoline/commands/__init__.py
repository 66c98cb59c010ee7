"""pimentoline.commands: subcommands of the command line."""

from ._mapping import command_names, get_command_by_name
from .exit_status import ExitStatus

__all__ = ["ExitStatus", "command_names", "get_command_by_name"]
