"""pimentoline.rules.hedge: rule that turns hedging on or off."""

from dataclasses import dataclass
from typing import ClassVar

from .base import Rule
from .field_parsers import (
    ANY,
    parse_method,
    parse_name_or_any,
    parse_path,
    parse_switch,
)

__all__ = ["HedgeRule"]


@dataclass(frozen=True, slots=True, kw_only=True)
class HedgeRule(Rule):
    """Whether slow idempotent calls get a second attempt in parallel (hedging)."""

    kind: ClassVar = "hedge"
    syntax: ClassVar = "hedge SERVICE on|off [method=METHOD] [path=PATH]"
    positional: ClassVar = {"service": parse_name_or_any, "hedge": parse_switch}
    options: ClassVar = {"method": parse_method, "path": parse_path}
    selector_fields: ClassVar = ("service", "method", "path")

    service: str
    hedge: bool
    method: str = ANY
    path: str = ANY
