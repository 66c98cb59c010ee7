"""pimentoline.audit: rows of the store with the rules versions and their audit trail.

A rules text has one rule per line, each with a comment that names its requester, the
person who asked for it. Each accepted text is a version.
"""

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
    "iso_time",
    "parse_row",
    "requesters",
    "sha256_hex",
]

HEAD_KEY = "config/head"
VERSION_DIGITS = 10
# Keeps an audit row much smaller than the rules text, which has a row of its own.
MAX_DIFF_LINES = 400
MAX_DIFF_LINE_CHARS = 500


class HeadRow(BaseModel):
    """Value of the row `config/head`: the latest accepted version.

    `digest` is the SHA-256 digest of the rules text in hexadecimal, and `attempt` the
    id of the request that was accepted.
    """

    version: int = Field(ge=1)
    digest: str
    attempt: str


class ConfigRow(BaseModel):
    """Value of a row `config/<version>`: an accepted rules text."""

    text: str = Field(max_length=MAX_RULES_BYTES)


class AuditRow(BaseModel):
    """Value of a row `audit/<version>`: who changed what, when and at whose request.

    `author` made the change, at the Unix time `time`, and `requesters` asked for the
    rules that changed. `attempt` and `digest` are as in `HeadRow`. `base` is the
    version that the text replaced, 0 if there was none, and `diff` has the lines of the
    diff from it.
    """

    version: int = Field(ge=1)
    author: str
    time: float
    attempt: str
    base: int = Field(ge=0)
    digest: str
    diff: list[str]
    requesters: list[str] = []


def parse_row(model, row):
    """Validate the value of a store row and return it as an instance of the model.

    Raises
    ------
    StoreError
        If the value does not match the model.
    """
    try:
        return model.model_validate(row.value)
    except ValidationError as exc:
        raise StoreError(f"row {row.key} is malformed", may_have_written=False) from exc


def config_key(version):
    """Return the key of the row with the text of a version."""
    return f"config/{version}"


def audit_key(version):
    """Return the key of the audit row of a version; the keys sort by version."""
    return f"audit/{version:0{VERSION_DIGITS}d}"


def audit_prefixes(newest, count):
    """Return prefixes that cover `count` versions up to `newest`, the latest first.

    Each prefix covers ten versions. The store scans in ascending order only, so a scan
    with one prefix for all rows would read the whole trail to get the latest ones.
    """
    oldest = max(newest - count + 1, 0)
    decades = range(newest // 10, oldest // 10 - 1, -1)
    return [audit_key(decade * 10)[:-1] for decade in decades]


def sha256_hex(text):
    """Return the SHA-256 digest of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def diff_lines(old, new):
    """Return the lines of a unified diff of two texts, without its file headers.

    Long lines and long diffs are truncated.
    """
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), n=1, lineterm="", fromfile="", tofile=""
    )
    hunk_lines = list(lines)[2:]
    kept = [line[:MAX_DIFF_LINE_CHARS] for line in hunk_lines[:MAX_DIFF_LINES]]
    if len(hunk_lines) > MAX_DIFF_LINES:
        kept.append(f"... {len(hunk_lines) - MAX_DIFF_LINES} further lines")
    return kept


def requesters(old, new):
    """Return the sorted requesters of the rules that only one of two texts contains."""
    counts = [
        Counter((rule.as_line(), rule.requester) for rule in _rules(text))
        for text in (old, new)
    ]
    changed = (counts[0] - counts[1]) + (counts[1] - counts[0])
    return sorted({requester for _, requester in changed})


def _rules(text):
    """Return the rules of a text, none if it is invalid."""
    ruleset = parse(text).ruleset
    return ruleset.rules if ruleset else ()


def iso_time(seconds):
    """Return a Unix time in seconds as ISO 8601 in UTC."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.timezone.utc)
    return moment.isoformat(timespec="seconds").replace("+00:00", "Z")
