"""pimentoline.rules.idempotent: calls that may safely run more than once."""

from dataclasses import dataclass
from typing import ClassVar

from .base import Rule
from .field_parsers import parse_method, parse_name, parse_path

__all__ = ["IdempotentRule"]


@dataclass(frozen=True, slots=True, kw_only=True)
class IdempotentRule(Rule):
    """Calls that may be retried and hedged.

    Service and method are always named, so that no single rule can make every
    sale of every service repeatable.
    """

    kind: ClassVar = "idempotent"
    syntax: ClassVar = "idempotent SERVICE METHOD PATH"
    positional: ClassVar = {
        "service": parse_name,
        "method": parse_method,
        "path": parse_path,
    }
    selector_fields: ClassVar = ("service", "method", "path")

    service: str
    method: str
    path: str
