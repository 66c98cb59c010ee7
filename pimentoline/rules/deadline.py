"""pimentoline.rules.deadline: longest time of a call."""

from dataclasses import dataclass
from typing import ClassVar

from .base import Rule
from .field_parsers import ANY, get_any_name, get_duration_s, get_method, get_path

__all__ = ["DeadlineRule"]


@dataclass(frozen=True, slots=True, kw_only=True)
class DeadlineRule(Rule):
    """Longest time of a whole call, in seconds; a caller may ask for less."""

    kind: ClassVar = "deadline"
    form: ClassVar = "deadline SERVICE TIME [method=METHOD] [path=PATH]"
    readers: ClassVar = {"service": get_any_name, "deadline_s": get_duration_s}
    options: ClassVar = {"method": get_method, "path": get_path}
    selects: ClassVar = ("service", "method", "path")

    service: str
    deadline_s: float
    method: str = ANY
    path: str = ANY
