"""pimentoline.rules.ruleset: the rules in force, as questions the core asks."""

from dataclasses import dataclass, field

from .field_parsers import ANY, METHODS
from .policy import ProbeBudget, SpillPolicy
from .policy_table import CALL_KINDS, PolicyTable

__all__ = ["RuleSet"]


@dataclass(frozen=True, slots=True)
class RuleSet:
    """Rules in force; the first matching rule of a kind wins.

    Equality counts the rules only; the other attributes are indexes derived from
    them, so that a question costs a few dictionary look-ups.

    Parameters
    ----------
    rules : tuple of Rule
        In the order of the file.
    """

    rules: tuple = ()
    _kinds: dict = field(init=False, repr=False, compare=False)
    _services: frozenset = field(init=False, repr=False, compare=False)
    _plans: dict = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        """Index the rules by kind and selector, the first one of each kept."""
        kinds = {}
        services = set()
        for place, rule in enumerate(self.rules):
            table = kinds.setdefault(rule.kind, {})
            table.setdefault(rule.selector, (place, rule))
            if rule.kind in CALL_KINDS or rule.kind == "retry":
                services.add(rule.service)
        object.__setattr__(self, "_kinds", kinds)
        object.__setattr__(self, "_services", frozenset(services))
        object.__setattr__(self, "_plans", {})

    def call_policy(self, service, method, path):
        """Return the `CallPolicy` of a call.

        Parameters
        ----------
        service, method : str
        path : str
            Without the query.

        Returns
        -------
        CallPolicy
        """
        return self._plan(service, method).policy(path)

    def matching_rules(self, service, method, path):
        """Return the rules that decide the `CallPolicy` of a call, by kind."""
        return self._plan(service, method).matching(path)

    def _plan(self, service, method):
        # Callers choose service and method freely; the plans are kept only for
        # those that rules or HTTP name, so that their number is bounded.
        key = (
            service if service in self._services else ANY,
            method if method in METHODS else ANY,
        )
        plan = self._plans.get(key)
        if plan is None:
            plan = self._plans[key] = PolicyTable(self.rules, *key)
        return plan

    def _first(self, kind, *selectors):
        """Return the earliest rule of a kind with one of the selectors, or None."""
        table = self._kinds.get(kind)
        if table is None:
            return None
        found = [table[item] for item in selectors if item in table]
        return min(found, key=_place)[1] if found else None

    def target_rules(self, target):
        """Return the rules that decide the weight of a target, by kind."""
        service, region = target.service, target.region
        found = {
            "pause": self._first("pause", (target.target_id,)),
            "weight": self._first(
                "weight",
                (target.target_id,),
                (service, region),
                (service, ANY),
                (ANY, region),
                (ANY, ANY),
            ),
        }
        return {kind: rule for kind, rule in found.items() if rule is not None}

    def target_weight(self, target):
        """Return the weight of a target, 0.0 if it is paused.

        Parameters
        ----------
        target : Target

        Returns
        -------
        float
            1.0 without a rule.
        """
        kinds = self._kinds
        if "pause" not in kinds and "weight" not in kinds:
            return 1.0
        found = self.target_rules(target)
        if "pause" in found:
            return 0.0
        return found["weight"].weight if "weight" in found else 1.0

    def spill_policy(self, service):
        """Return the `SpillPolicy` of a service."""
        rule = self._first("spill", (service,), (ANY,))
        if rule is None:
            return SpillPolicy()
        return SpillPolicy(rule.enter, rule.leave, rule.share)

    def region_order(self, service, region):
        """Return the regions that calls received in `region` may spill to.

        Returns
        -------
        tuple of str or None
            The preferred first; None without a rule: every region, in any order.
        """
        rule = self._first(
            "prefer", (service, region), (service, ANY), (ANY, region), (ANY, ANY)
        )
        return None if rule is None else rule.regions

    def probe_budget(self, region):
        """Return the `ProbeBudget` of a region."""
        rule = self._first("budget", (region,), (ANY,))
        if rule is None:
            return ProbeBudget()
        return ProbeBudget(rule.probes, float(rule.bytes), rule.nodes)

    def inflight_limit(self, service, call_class):
        """Return the limit of a node's calls of one class in flight, or None."""
        rule = self._first(
            "limit",
            (service, call_class),
            (service, ANY),
            (ANY, call_class),
            (ANY, ANY),
        )
        return None if rule is None else rule.inflight

    def canary_share(self, service, version):
        """Return the share of calls for a release, or None without a rule."""
        rule = self._first("canary", (service, version))
        return None if rule is None else rule.share


def _place(entry):
    return entry[0]
