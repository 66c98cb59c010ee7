"""pimentoline.commands._mapping: subcommands by name."""

import importlib

__all__ = ["COMMANDS", "command_names", "get_command_by_name"]

# name: (module, class, summary), in the order of the help text.
COMMANDS = {
    "node": ("node", "NodeCommand", "run a node until SIGTERM"),
    "check": ("check", "CheckCommand", "report every problem of rules files"),
    "diff": ("diff", "DiffCommand", "compare a rules file with the rules in force"),
    "apply": ("apply", "ApplyCommand", "put a rules file in force"),
    "history": ("history", "HistoryCommand", "show who changed the rules and how"),
    "status": ("status", "StatusCommand", "show the state of a node"),
    "mesh": ("mesh", "MeshCommand", "show the nodes and targets that a node knows"),
    "explain": ("explain", "ExplainCommand", "show where a call would be sent and why"),
    "drain": ("drain", "DrainCommand", "stop new calls to a target"),
    "version": ("version", "VersionCommand", "show the version of the program"),
}


def command_names():
    """Return the names of all commands, in the order of the help text."""
    return list(COMMANDS)


def get_command_by_name(name):
    """Return a new instance of a command, or None if the name is unknown."""
    if name not in COMMANDS:
        return None
    module, cls, summary = COMMANDS[name]
    command = getattr(importlib.import_module(f".{module}", __package__), cls)()
    command.name, command.summary = name, summary
    return command
