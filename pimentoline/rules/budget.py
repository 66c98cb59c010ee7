"""pimentoline.rules.budget: rule for the probe budget of a region.

A probe asks a target for its load.
"""

from dataclasses import dataclass
from functools import partial
from typing import ClassVar

from .base import Rule
from .field_parsers import parse_count, parse_name_or_any, parse_number

__all__ = ["BudgetRule"]

MAX_PROBES_PER_S = 100_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetRule(Rule):
    """Load probes, and their bytes, per second for all nodes of a region together.

    Each node uses an equal share: the budget divided by the number of nodes of the
    region that it knows of, or by `nodes` if this is larger. If the region is `*`,
    every region has such a budget of its own.
    """

    kind: ClassVar = "budget"
    syntax: ClassVar = "budget REGION [probes=PER_S] [bytes=PER_S] [nodes=COUNT]"
    positional: ClassVar = {"region": parse_name_or_any}
    options: ClassVar = {
        "probes": partial(parse_number, low=0.0, high=MAX_PROBES_PER_S),
        "bytes": parse_count,
        "nodes": partial(parse_count, high=100_000),
    }
    selector_fields: ClassVar = ("region",)

    region: str
    probes: float = 20.0
    bytes: int = 10_000
    nodes: int = 0
