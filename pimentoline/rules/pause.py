"""pimentoline.rules.pause: rule for a target that receives no new calls."""

from dataclasses import dataclass
from typing import ClassVar

from .base import Rule
from .field_parsers import parse_name

__all__ = ["PauseRule"]


@dataclass(frozen=True, slots=True, kw_only=True)
class PauseRule(Rule):
    """Target that receives no new calls; calls in flight are completed."""

    kind: ClassVar = "pause"
    syntax: ClassVar = "pause TARGET"
    positional: ClassVar = {"target": parse_name}
    selector_fields: ClassVar = ("target",)

    target: str
