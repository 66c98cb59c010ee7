"""pimentoline.rules.ruleset: the rules of a rules text, indexed for look-ups."""

from dataclasses import dataclass, field

from .field_parsers import ANY, METHODS
from .policy import ProbeBudget, SpillPolicy
from .policy_table import CALL_RULE_KINDS, PolicyTable

__all__ = ["RuleSet"]


@dataclass(frozen=True, slots=True)
class RuleSet:
    """The rules of one rules text; of each kind, the first matching rule applies.

    The private attributes are indexes derived from the rules, so that a method
    needs only a few dictionary look-ups. Comparisons ignore them.

    Parameters
    ----------
    rules : tuple of Rule
        Rules in the order of the text.
    """

    rules: tuple = ()
    # kind: {selector: (index in `rules`, first rule with this selector)}
    _first_rules: dict = field(init=False, repr=False, compare=False)
    # Services that are named in the rules that determine a `CallPolicy`.
    _services_with_rules: frozenset = field(init=False, repr=False, compare=False)
    # (service, method): PolicyTable, created when first needed
    _policy_tables: dict = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        """Index the first rule of each kind and selector."""
        first_rules = {}
        services = set()
        for index, rule in enumerate(self.rules):
            rules_by_selector = first_rules.setdefault(rule.kind, {})
            rules_by_selector.setdefault(rule.selector, (index, rule))
            if rule.kind in CALL_RULE_KINDS or rule.kind == "retry":
                services.add(rule.service)
        object.__setattr__(self, "_first_rules", first_rules)
        object.__setattr__(self, "_services_with_rules", frozenset(services))
        object.__setattr__(self, "_policy_tables", {})

    def call_policy(self, service, method, path):
        """Return the `CallPolicy` of a call.

        Parameters
        ----------
        service, method : str
        path : str
            Without the query string.

        Returns
        -------
        CallPolicy
        """
        return self._policy_table(service, method).policy(path)

    def matching_rules(self, service, method, path):
        """Return the rules that determine the `CallPolicy` of a call.

        Returns
        -------
        dict of str to Rule
            First matching rule by kind; kinds without a matching rule are left out.
        """
        return self._policy_table(service, method).matching_rules(path)

    def _policy_table(self, service, method):
        # Callers may send any service and method. Services without rules share a table,
        # and so do unknown methods, so that the number of tables is bounded.
        key = (
            service if service in self._services_with_rules else ANY,
            method if method in METHODS else ANY,
        )
        policy_table = self._policy_tables.get(key)
        if policy_table is None:
            policy_table = self._policy_tables[key] = PolicyTable(self.rules, *key)
        return policy_table

    def _find_first(self, kind, *selectors):
        """Return the first rule in the text with one of the selectors, or None."""
        rules_by_selector = self._first_rules.get(kind)
        if rules_by_selector is None:
            return None
        indexed_rules = [
            rules_by_selector[selector]
            for selector in selectors
            if selector in rules_by_selector
        ]
        return min(indexed_rules, key=_rule_index)[1] if indexed_rules else None

    def target_rules(self, target):
        """Return the rules that determine the weight of a target.

        Returns
        -------
        dict of str to Rule
            First matching rule by kind; kinds without a matching rule are left out.
        """
        service, region = target.service, target.region
        rules_by_kind = {
            "pause": self._find_first("pause", (target.target_id,)),
            "weight": self._find_first(
                "weight",
                (target.target_id,),
                (service, region),
                (service, ANY),
                (ANY, region),
                (ANY, ANY),
            ),
        }
        return {kind: rule for kind, rule in rules_by_kind.items() if rule is not None}

    def target_weight(self, target):
        """Return the weight of a target, 0.0 if it is paused.

        Parameters
        ----------
        target : Target

        Returns
        -------
        float
            1.0 if no rule matches.
        """
        first_rules = self._first_rules
        if "pause" not in first_rules and "weight" not in first_rules:
            return 1.0
        rules_by_kind = self.target_rules(target)
        if "pause" in rules_by_kind:
            return 0.0
        return rules_by_kind["weight"].weight if "weight" in rules_by_kind else 1.0

    def spill_policy(self, service):
        """Return the `SpillPolicy` of a service."""
        rule = self._find_first("spill", (service,), (ANY,))
        if rule is None:
            return SpillPolicy()
        return SpillPolicy(rule.enter, rule.leave, rule.share)

    def region_order(self, service, region):
        """Return the regions that calls received in `region` may spill to.

        Returns
        -------
        tuple of str or None
            Preferred regions first. None if no rule matches: calls may spill to every
            region, in any order.
        """
        rule = self._find_first(
            "prefer", (service, region), (service, ANY), (ANY, region), (ANY, ANY)
        )
        return None if rule is None else rule.regions

    def probe_budget(self, region):
        """Return the `ProbeBudget` of a region."""
        rule = self._find_first("budget", (region,), (ANY,))
        if rule is None:
            return ProbeBudget()
        return ProbeBudget(rule.probes, float(rule.bytes), rule.nodes)

    def inflight_limit(self, service, call_class):
        """Return the maximum number of calls in flight at one node.

        Only calls of this service and class are counted.

        Returns
        -------
        int or None
            None if no rule matches: the number is not limited by the rules.
        """
        rule = self._find_first(
            "limit",
            (service, call_class),
            (service, ANY),
            (ANY, call_class),
            (ANY, ANY),
        )
        return None if rule is None else rule.inflight

    def canary_share(self, service, version):
        """Return the share of a service's calls that go to targets of a version.

        Returns
        -------
        float or None
            From 0 to 1. None if no rule matches.
        """
        rule = self._find_first("canary", (service, version))
        return None if rule is None else rule.share


def _rule_index(indexed_rule):
    return indexed_rule[0]
