"""pimentoline.rules.idempotent: rule for calls that may run more than once."""

from dataclasses import dataclass
from typing import ClassVar

from .base import Rule
from .field_parsers import parse_method, parse_name, parse_path

__all__ = ["IdempotentRule"]


@dataclass(frozen=True, slots=True, kw_only=True)
class IdempotentRule(Rule):
    """Allows the calls that the rule matches to be retried and hedged.

    Neither the service nor the method may be `*`. Otherwise a single rule could allow
    retries of every POST request to every service, also of those that must not run
    twice, such as payments.
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
