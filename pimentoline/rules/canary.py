"""pimentoline.rules.canary: rule for the share of calls that a version receives."""

from dataclasses import dataclass
from typing import ClassVar

from .base import Rule
from .field_parsers import parse_name, parse_share

__all__ = ["CanaryRule"]


@dataclass(frozen=True, slots=True, kw_only=True)
class CanaryRule(Rule):
    """Share of a service's calls that go to targets of one version."""

    kind: ClassVar = "canary"
    syntax: ClassVar = "canary SERVICE VERSION SHARE"
    positional: ClassVar = {
        "service": parse_name,
        "version": parse_name,
        "share": parse_share,
    }
    selector_fields: ClassVar = ("service", "version")

    service: str
    version: str
    share: float
