"""pimentoline.rules.call_class: class of a call, which decides what is shed first."""

from dataclasses import dataclass
from typing import ClassVar

from .base import Rule
from .field_parsers import ANY, get_any_name, get_class, get_method, get_path

__all__ = ["ClassRule"]


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassRule(Rule):
    """Class of a call; it replaces the caller's `X-Call-Class`."""

    kind: ClassVar = "class"
    form: ClassVar = "class SERVICE CLASS [method=METHOD] [path=PATH]"
    readers: ClassVar = {"service": get_any_name, "call_class": get_class}
    options: ClassVar = {"method": get_method, "path": get_path}
    selects: ClassVar = ("service", "method", "path")

    service: str
    call_class: str
    method: str = ANY
    path: str = ANY
