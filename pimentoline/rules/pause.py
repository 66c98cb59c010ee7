"""pimentoline.rules.pause: targets that receive no calls."""

from dataclasses import dataclass
from typing import ClassVar

from .base import Rule
from .field_parsers import parse_name

__all__ = ["PauseRule"]


@dataclass(frozen=True, slots=True, kw_only=True)
class PauseRule(Rule):
    """A target that receives no new calls; calls in flight complete."""

    kind: ClassVar = "pause"
    syntax: ClassVar = "pause TARGET"
    positional: ClassVar = {"target": parse_name}
    selector_fields: ClassVar = ("target",)

    target: str
