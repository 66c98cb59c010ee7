"""pimentoline.rules.idempotent: rule for calls that may run more than once."""

from dataclasses import dataclass
from typing import ClassVar

from .base import Rule
from .field_parsers import parse_method, parse_name, parse_path

__all__ = ["IdempotentRule"]


@dataclass(frozen=True, slots=True, kw_only=True)
class IdempotentRule(Rule):
    """Calls that may be retried and hedged.

    `*` is not allowed for service and method, so that no single rule can allow
    retries of, for example, every sale of every service.
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
