"""pimentoline.rules.weight: rule for the share of calls that targets receive."""

from dataclasses import dataclass
from functools import partial
from typing import ClassVar

from .base import Rule
from .field_parsers import parse_number, parse_scope

__all__ = ["WeightRule"]

MAX_WEIGHT = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightRule(Rule):
    """Weight of a target, or of the targets of a service in a region.

    A target receives calls in proportion to its weight, and none if the weight is 0.
    """

    kind: ClassVar = "weight"
    syntax: ClassVar = "weight TARGET|SERVICE@REGION WEIGHT"
    positional: ClassVar = {
        "scope": parse_scope,
        "weight": partial(parse_number, low=0.0, high=MAX_WEIGHT),
    }
    selector_fields: ClassVar = ("scope",)

    scope: str
    weight: float

    @property
    def selector(self):
        """What the rule applies to: (target,) or (service, region)."""
        return tuple(self.scope.split("@"))
