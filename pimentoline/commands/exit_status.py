"""pimentoline.commands.exit_status: exit statuses of the command line."""

import enum

__all__ = ["EXIT_DESCRIPTIONS", "ExitStatus"]


class ExitStatus(enum.IntEnum):
    """Exit statuses; the numbers are stable because scripts rely on them."""

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
    ExitStatus.UNKNOWN: "unknown whether the rules were accepted; repeat the command",
    ExitStatus.NODE_UNAVAILABLE: "the node gave no usable response",
    ExitStatus.STORE_UNAVAILABLE: (
        "the store gave no usable response; nothing was changed"
    ),
    ExitStatus.DIFFERENT: "the file differs from the rules in force",
    ExitStatus.NOT_FOUND: "there is no such target or version",
    ExitStatus.INTERNAL: "an unexpected error",
}
