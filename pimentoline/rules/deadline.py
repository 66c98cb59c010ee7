"""pimentoline.rules.deadline: rule for the maximum duration of calls."""

from dataclasses import dataclass
from typing import ClassVar

from .base import Rule
from .field_parsers import (
    ANY,
    parse_duration_s,
    parse_method,
    parse_name_or_any,
    parse_path,
)

__all__ = ["DeadlineRule"]


@dataclass(frozen=True, slots=True, kw_only=True)
class DeadlineRule(Rule):
    """Maximum duration of a call with its retries; a caller may set a shorter one."""

    kind: ClassVar = "deadline"
    syntax: ClassVar = "deadline SERVICE TIME [method=METHOD] [path=PATH]"
    positional: ClassVar = {
        "service": parse_name_or_any,
        "deadline_s": parse_duration_s,
    }
    options: ClassVar = {"method": parse_method, "path": parse_path}
    selector_fields: ClassVar = ("service", "method", "path")

    service: str
    deadline_s: float
    method: str = ANY
    path: str = ANY
