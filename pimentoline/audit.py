"""pimentoline.audit: rows of the configuration in the store, and what changed."""

import datetime
import difflib
import hashlib
from collections import Counter

from pydantic import BaseModel, Field, ValidationError

from .errors import StoreError
from .rules import MAX_RULES_BYTES, parse

__all__ = [
    "HEAD_KEY",
    "AuditRow",
    "ConfigRow",
    "HeadRow",
    "audit_key",
    "audit_prefixes",
    "config_key",
    "diff_lines",
    "digest_of",
    "iso_time",
    "requesters",
    "validated",
]

HEAD_KEY = "config/head"
AUDIT_DIGITS = 10
# Keeps an audit row far below the text itself; the whole text is in its own row.
MAX_DIFF_LINES = 400
MAX_DIFF_LINE_CHARS = 500


class HeadRow(BaseModel):
    """Value of `config/head`: the version in force."""

    version: int = Field(ge=1)
    digest: str
    attempt: str


class ConfigRow(BaseModel):
    """Value of `config/<version>`: an accepted text."""

    text: str = Field(max_length=MAX_RULES_BYTES)


class AuditRow(BaseModel):
    """Value of `audit/<version>`: who put a version in force, when and why."""

    version: int = Field(ge=1)
    author: str
    time: float
    attempt: str
    base: int = Field(ge=0)
    digest: str
    diff: list[str]
    requesters: list[str] = []


def validated(model, row):
    """Return the model of a row's value.

    Raises
    ------
    StoreError
        If the value is not one that this program writes.
    """
    try:
        return model.model_validate(row.value)
    except ValidationError as exc:
        raise StoreError(f"row {row.key} is malformed", may_have_written=False) from exc


def config_key(version):
    """Return the key of a text."""
    return f"config/{version}"


def audit_key(version):
    """Return the key of an audit row; keys sort by version."""
    return f"audit/{version:0{AUDIT_DIGITS}d}"


def audit_prefixes(newest, count):
    """Return prefixes that cover `count` versions up to `newest`, the latest first.

    Each covers ten versions. The store scans upwards only, so that reading the latest
    rows with one prefix would read the whole trail.
    """
    oldest = max(newest - count + 1, 0)
    decades = range(newest // 10, oldest // 10 - 1, -1)
    return [audit_key(decade * 10)[:-1] for decade in decades]


def digest_of(text):
    """Return the SHA-256 of a text in hexadecimal digits."""
    return hashlib.sha256(text.encode()).hexdigest()


def diff_lines(old, new):
    """Return a unified diff of two texts, without context lines' ends and headers."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), n=1, lineterm="", fromfile="", tofile=""
    )
    found = list(lines)[2:]
    shown = [line[:MAX_DIFF_LINE_CHARS] for line in found[:MAX_DIFF_LINES]]
    if len(found) > MAX_DIFF_LINES:
        shown.append(f"... {len(found) - MAX_DIFF_LINES} further lines")
    return shown


def requesters(old, new):
    """Return who asked for the rules that are in only one of two texts."""
    counts = [
        Counter((rule.as_line(), rule.requester) for rule in _rules(text))
        for text in (old, new)
    ]
    changed = (counts[0] - counts[1]) + (counts[1] - counts[0])
    return sorted({requester for _, requester in changed})


def _rules(text):
    ruleset = parse(text).ruleset
    return ruleset.rules if ruleset else ()


def iso_time(seconds):
    """Return a time since the epoch in seconds as ISO 8601 in UTC."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.timezone.utc)
    return moment.isoformat(timespec="seconds").replace("+00:00", "Z")
