"""pimentoline.rules.policy: answers of the rules in force."""

from dataclasses import dataclass

__all__ = ["CallPolicy", "ProbeBudget", "SpillPolicy"]

DEFAULT_DEADLINE_S = 10.0
DEFAULT_RETRY_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class CallPolicy:
    """What the rules say of one call.

    `deadline_s` is the longest time for the whole call in seconds; `call_class`
    is `critical`, `normal` or `sheddable`, or empty if the caller's word counts;
    `retry_share` is the allowed share of retries and hedges in first attempts.
    """

    idempotent: bool
    deadline_s: float = DEFAULT_DEADLINE_S
    call_class: str = ""
    hedge: bool = True
    retry_share: float = DEFAULT_RETRY_SHARE


@dataclass(frozen=True, slots=True)
class SpillPolicy:
    """When calls of a service may leave their locality ring.

    `enter` and `leave` are loads as a share of slots; `share` limits the part of
    calls that is spilled.
    """

    enter: float = 0.8
    leave: float = 0.6
    share: float = 0.5


@dataclass(frozen=True, slots=True)
class ProbeBudget:
    """Measuring budget of a region, for all its nodes together.

    `planned_nodes` is the largest number of nodes that the budget is split by.
    """

    probes_per_s: float = 20.0
    bytes_per_s: float = 10000.0
    planned_nodes: int = 0
