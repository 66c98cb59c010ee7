"""pimentoline.rules.file_reader: reader of rules files with a limit on their size."""

import os
import stat
import sys

from .diagnostics import Diagnostic
from .parser import MAX_RULES_BYTES, ParseResult, parse

__all__ = ["read_rules"]

STDIN = "-"


def read_rules(filename):
    """Read and parse a rules file, or standard input.

    Parameters
    ----------
    filename : str
        `-` stands for standard input.

    Returns
    -------
    text : str or None
        None if the file could not be read as text.
    result : ParseResult
        Has one diagnostic if the file is unreadable, too large or not UTF-8.
    """
    try:
        data = _read_bytes(filename)
    except OSError as exc:
        return None, _failure(filename, exc.strerror or str(exc), "a readable file")
    if data is None:
        return None, _failure(filename, "no regular file", "a regular file, or -")
    if len(data) > MAX_RULES_BYTES:
        allowed = f"at most {MAX_RULES_BYTES} bytes"
        return None, _failure(filename, "a larger file", allowed)
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as exc:
        before = data[: exc.start]
        line = before.count(b"\n") + 1
        start = before.rfind(b"\n") + 1
        column = len(before[start:].decode("utf-8", "replace")) + 1
        found = f"byte 0x{data[exc.start]:02x}"
        return None, _failure(filename, found, "text in UTF-8", line, column)
    return text, parse(text, filename)


def _read_bytes(filename):
    """Return the content of a file, or None if it is not a regular file.

    At most one byte more than the limit is read, which shows that a file is too large.
    """
    if filename == STDIN:
        return sys.stdin.buffer.read(MAX_RULES_BYTES + 1)
    # Without O_NONBLOCK, opening a named pipe that has no writer blocks forever.
    fd = os.open(filename, os.O_RDONLY | os.O_NONBLOCK)
    with open(fd, "rb") as file:
        if not stat.S_ISREG(os.fstat(fd).st_mode):
            return None
        return file.read(MAX_RULES_BYTES + 1)


def _failure(filename, found, allowed, line=0, column=0):
    return ParseResult(None, (Diagnostic(filename, line, column, found, allowed),))
