"""pimentoline.rules.limit: rule for the number of calls in flight at one node.

A node is the load balancer process of a host.
"""

from dataclasses import dataclass
from functools import partial
from typing import ClassVar

from .base import Rule
from .field_parsers import ANY, parse_class, parse_count, parse_name_or_any

__all__ = ["LimitRule"]

# Highest value of `inflight` that a rule can set.
MAX_LIMIT = 100_000


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitRule(Rule):
    """Maximum number of calls in flight at one node.

    `inflight` is that number. The calls of each service and call class (critical,
    normal or sheddable) are counted separately; a rule without a class applies to every
    class. The smallest limit is 1: to stop all calls of a service, use `pause` rules
    for its targets, which the command `explain` shows as the reason.
    """

    kind: ClassVar = "limit"
    syntax: ClassVar = "limit SERVICE COUNT [class=CLASS]"
    positional: ClassVar = {
        "service": parse_name_or_any,
        "inflight": partial(parse_count, low=1, high=MAX_LIMIT),
    }
    # The option `class` sets `call_class`, because `class` is a Python keyword.
    options: ClassVar = {"class": parse_class}
    selector_fields: ClassVar = ("service", "call_class")

    service: str
    inflight: int
    call_class: str = ANY
