"""pimentoline.rules.spill: rule for spilling calls to the next locality ring.

The locality rings of a node are its data centre, its region and the other regions.
"""

from dataclasses import dataclass
from functools import partial
from typing import ClassVar

from .base import Rule
from .field_parsers import OptionError, parse_name_or_any, parse_number, parse_share

__all__ = ["SpillRule"]

# Maximum of `enter` and `leave`, in requests in flight per slot. A target serves as
# many requests at a time as it has slots.
MAX_LOAD = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SpillRule(Rule):
    """Loads at which spilling starts and stops, and the maximum share of spilled calls.

    The load of a ring is the number of requests in flight per slot of its targets.
    """

    kind: ClassVar = "spill"
    syntax: ClassVar = "spill SERVICE [enter=LOAD] [leave=LOAD] [share=SHARE]"
    positional: ClassVar = {"service": parse_name_or_any}
    options: ClassVar = {
        "enter": partial(parse_number, low=0.0, high=MAX_LOAD),
        "leave": partial(parse_number, low=0.0, high=MAX_LOAD),
        "share": parse_share,
    }
    selector_fields: ClassVar = ("service",)

    service: str
    enter: float = 0.8
    leave: float = 0.6
    share: float = 0.5

    def check(self):
        """Require hysteresis: the load at which spilling stops is the lower one."""
        if self.leave >= self.enter:
            raise OptionError("leave", f"{self.leave:g}", f"below enter={self.enter:g}")
