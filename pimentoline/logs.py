"""pimentoline.logs: structured logs through eliot, on standard error."""

import sys

import eliot

__all__ = ["configure_logs", "log_entry"]


def configure_logs():
    """Write log entries as lines of JSON to standard error."""
    eliot.to_file(sys.stderr)


def log_entry(name, **fields):
    """Write one entry; names and fields are listed in docs/operations.md."""
    eliot.log_message(message_type=name, **fields)
