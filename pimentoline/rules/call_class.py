"""pimentoline.rules.call_class: class of a call, which decides what is shed first."""

from dataclasses import dataclass
from typing import ClassVar

from .base import Rule
from .field_parsers import ANY, parse_any_name, parse_class, parse_method, parse_path

__all__ = ["ClassRule"]


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassRule(Rule):
    """Class of a call; it replaces the caller's `X-Call-Class`."""

    kind: ClassVar = "class"
    syntax: ClassVar = "class SERVICE CLASS [method=METHOD] [path=PATH]"
    positional: ClassVar = {"service": parse_any_name, "call_class": parse_class}
    options: ClassVar = {"method": parse_method, "path": parse_path}
    selector_fields: ClassVar = ("service", "method", "path")

    service: str
    call_class: str
    method: str = ANY
    path: str = ANY
