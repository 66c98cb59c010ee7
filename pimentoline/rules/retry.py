"""pimentoline.rules.retry: rule for the allowed share of retries and hedges."""

from dataclasses import dataclass
from functools import partial
from typing import ClassVar

from .base import Rule
from .field_parsers import parse_name_or_any, parse_share

__all__ = ["RetryRule"]

# At most one retry or hedge for ten first attempts. Rules can only lower this share, so
# that no rule can cause a retry storm.
MAX_RETRY_SHARE = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryRule(Rule):
    """Allowed retries and hedges as a share of the first attempts of a service.

    The service selects what the rule applies to; `*` matches every service.
    """

    kind: ClassVar = "retry"
    syntax: ClassVar = "retry SERVICE SHARE"
    positional: ClassVar = {
        "service": parse_name_or_any,
        "share": partial(parse_share, high=MAX_RETRY_SHARE),
    }
    selector_fields: ClassVar = ("service",)

    service: str
    share: float
