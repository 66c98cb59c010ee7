"""pimentoline.rules.ruleset: the rules in force, as questions the core asks."""

from dataclasses import dataclass
from fnmatch import fnmatchcase

__all__ = ["CallPolicy", "ProbeBudget", "RuleSet", "SpillRule"]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
DEFAULT_DEADLINE_S = 10.0
DEFAULT_RETRY_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class CallPolicy:
    """What the rules say of one call.

    `deadline_s` is the longest time for the whole call in seconds; `call_class`
    is `critical`, `normal` or `sheddable`, or empty if the caller's word counts;
    `retry_share` is the allowed share of retries and hedges in first tries.
    """

    idempotent: bool
    deadline_s: float = DEFAULT_DEADLINE_S
    call_class: str = ""
    hedge: bool = True
    retry_share: float = DEFAULT_RETRY_SHARE


@dataclass(frozen=True, slots=True)
class SpillRule:
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


@dataclass(frozen=True, slots=True)
class RuleSet:
    """Rules in force; the first matching rule of a kind wins.

    Parameters
    ----------
    rules : tuple of rule data classes
        In the order of the file.
    """

    rules: tuple = ()

    def call_policy(self, service, method, path):
        """Return the `CallPolicy` of a call."""
        idempotent = method in IDEMPOTENT_METHODS or any(
            rule.kind == "idempotent"
            and rule.service == service
            and rule.method == method
            and fnmatchcase(path, rule.path)
            for rule in self.rules
        )
        return CallPolicy(idempotent)

    def target_weight(self, target):
        """Return the weight of a target, 0.0 if it is paused."""
        paused = any(
            rule.kind == "pause" and rule.target == target.target_id
            for rule in self.rules
        )
        return 0.0 if paused else 1.0

    def spill_rule(self, service):
        """Return the `SpillRule` of a service."""
        return SpillRule()

    def probe_budget(self, region):
        """Return the `ProbeBudget` of a region."""
        return ProbeBudget()

    def inflight_limit(self, service, call_class):
        """Return the limit of a node's calls in flight, or None."""
        return None

    def canary_share(self, service, version):
        """Return the share of calls for a release, or None without a rule."""
        return None
