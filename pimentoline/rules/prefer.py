"""pimentoline.rules.prefer: rule for the regions that calls spill to, in order."""

from dataclasses import dataclass
from typing import ClassVar

from .base import Rule
from .field_parsers import ANY, parse_name_or_any, parse_names

__all__ = ["PreferRule"]


@dataclass(frozen=True, slots=True, kw_only=True)
class PreferRule(Rule):
    """Regions that calls received in region `home` may spill to, preferred ones first.

    A region that is not listed receives no spilled calls of the service.
    """

    kind: ClassVar = "prefer"
    syntax: ClassVar = "prefer SERVICE REGION[,REGION...] [home=REGION]"
    positional: ClassVar = {"service": parse_name_or_any, "regions": parse_names}
    options: ClassVar = {"home": parse_name_or_any}
    selector_fields: ClassVar = ("service", "home")

    service: str
    regions: tuple[str, ...]
    home: str = ANY
