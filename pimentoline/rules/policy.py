"""pimentoline.rules.policy: values that the queries of a `RuleSet` return."""

from dataclasses import dataclass

__all__ = ["CallPolicy", "ProbeBudget", "SpillPolicy"]

DEFAULT_DEADLINE_S = 10.0
DEFAULT_RETRY_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class CallPolicy:
    """What the rules set for one call.

    Attributes
    ----------
    idempotent : bool
        Whether the call may run more than once, so that it may be retried and hedged.
    deadline_s : float
        Maximum duration of the call with its retries.
    call_class : str
        `critical`, `normal` or `sheddable`; empty if the caller decides.
    hedge : bool
        Whether hedging is on.
    retry_share : float
        Allowed retries and hedges per first attempt.
    """

    idempotent: bool
    deadline_s: float = DEFAULT_DEADLINE_S
    call_class: str = ""
    hedge: bool = True
    retry_share: float = DEFAULT_RETRY_SHARE


@dataclass(frozen=True, slots=True)
class SpillPolicy:
    """When calls of a service may spill from their locality ring to the next one.

    The rings are the node's data centre, its region and the other regions. Spilling
    starts above load `enter` and stops at load `leave`, both in requests in flight per
    slot of the ring's targets. A target has one slot for each request that it can serve
    concurrently. `share` is the maximum share of calls that spill.
    """

    enter: float = 0.8
    leave: float = 0.6
    share: float = 0.5


@dataclass(frozen=True, slots=True)
class ProbeBudget:
    """Load probes, and their bytes, per second for all nodes of a region together.

    Each node uses an equal share: the budget divided by the number of nodes of the
    region that it knows of, or by `planned_nodes` if this is larger.
    """

    probes_per_s: float = 20.0
    bytes_per_s: float = 10000.0
    planned_nodes: int = 0
