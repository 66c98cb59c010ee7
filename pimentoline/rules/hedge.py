"""pimentoline.rules.hedge: whether late calls get a second attempt."""

from dataclasses import dataclass
from typing import ClassVar

from .base import Rule
from .field_parsers import ANY, get_any_name, get_method, get_path, get_switch

__all__ = ["HedgeRule"]


@dataclass(frozen=True, slots=True, kw_only=True)
class HedgeRule(Rule):
    """Hedging of idempotent calls, `on` or `off`."""

    kind: ClassVar = "hedge"
    form: ClassVar = "hedge SERVICE on|off [method=METHOD] [path=PATH]"
    readers: ClassVar = {"service": get_any_name, "hedge": get_switch}
    options: ClassVar = {"method": get_method, "path": get_path}
    selects: ClassVar = ("service", "method", "path")

    service: str
    hedge: bool
    method: str = ANY
    path: str = ANY
