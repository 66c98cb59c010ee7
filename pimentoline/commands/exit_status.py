"""pimentoline.commands.exit_status: exit statuses of the command line."""

import enum

__all__ = ["EXIT_DESCRIPTIONS", "ExitStatus"]


class ExitStatus(enum.IntEnum):
    """Exit status; scripts rely on the numbers, so they never change."""

    OK = 0
    RULES_INVALID = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    NODE_UNAVAILABLE = 5
    STORE_UNAVAILABLE = 6
    DIFFERENT = 7
    NOT_FOUND = 8
    INTERNAL = 9


EXIT_DESCRIPTIONS = {
    ExitStatus.OK: "done",
    ExitStatus.RULES_INVALID: "a rules file has problems; nothing was changed",
    ExitStatus.USAGE: "a command, flag, variable or argument is not allowed",
    ExitStatus.CONFLICT: "another version was accepted first; nothing was changed",
    ExitStatus.UNKNOWN: "the rules may or may not have been accepted; ask again",
    ExitStatus.NODE_UNAVAILABLE: "the node gave no usable answer",
    ExitStatus.STORE_UNAVAILABLE: (
        "the store gave no usable answer; nothing was changed"
    ),
    ExitStatus.DIFFERENT: "the file differs from the rules in force",
    ExitStatus.NOT_FOUND: "there is no such target or version",
    ExitStatus.INTERNAL: "an error that is not expected",
}
