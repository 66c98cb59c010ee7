"""pimentoline.commands.exit_status: exit statuses of the command line."""

import enum

__all__ = ["Exit", "MEANINGS"]


class Exit(enum.IntEnum):
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


MEANINGS = {
    Exit.OK: "done",
    Exit.RULES_INVALID: "a rules file has problems; nothing was changed",
    Exit.USAGE: "a command, flag, variable or argument is not allowed",
    Exit.CONFLICT: "another version was accepted first; nothing was changed",
    Exit.UNKNOWN: "the rules may or may not have been accepted; ask again",
    Exit.NODE_UNAVAILABLE: "the node gave no usable answer",
    Exit.STORE_UNAVAILABLE: "the store gave no usable answer; nothing was changed",
    Exit.DIFFERENT: "the file differs from the rules in force",
    Exit.NOT_FOUND: "there is no such target or version",
    Exit.INTERNAL: "an error that is not expected",
}
