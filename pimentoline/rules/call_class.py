"""pimentoline.rules.call_class: rule for the class of calls.

Under overload, the class decides which calls are shed first.
"""

from dataclasses import dataclass
from typing import ClassVar

from .base import Rule
from .field_parsers import ANY, parse_class, parse_method, parse_name_or_any, parse_path

__all__ = ["ClassRule"]


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassRule(Rule):
    """Class of matching calls; it overrides the `X-Call-Class` header of the caller."""

    kind: ClassVar = "class"
    syntax: ClassVar = "class SERVICE CLASS [method=METHOD] [path=PATH]"
    positional: ClassVar = {"service": parse_name_or_any, "call_class": parse_class}
    options: ClassVar = {"method": parse_method, "path": parse_path}
    selector_fields: ClassVar = ("service", "method", "path")

    service: str
    call_class: str
    method: str = ANY
    path: str = ANY
