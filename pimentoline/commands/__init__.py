"""pimentoline.commands: commands of the command line, one module each."""

from ._mapping import command_names, get_command_by_name
from .exit_status import Exit

__all__ = ["Exit", "command_names", "get_command_by_name"]
