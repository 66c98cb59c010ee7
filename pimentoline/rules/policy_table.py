"""pimentoline.rules.policy_table: look-up of the policy of a call by its path."""

import re
from fnmatch import translate

from .field_parsers import ANY
from .policy import CallPolicy

__all__ = ["CALL_RULE_KINDS", "PolicyTable"]

# Calls with these methods, which HTTP defines as safe, are idempotent without a rule.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
# Rule kinds that select by service, method and path, each with a function that returns
# the attributes of `CallPolicy` that a rule sets, as a dict.
CALL_RULE_KINDS = {
    "idempotent": lambda rule: {"idempotent": True},
    "deadline": lambda rule: {"deadline_s": rule.deadline_s},
    "class": lambda rule: {"call_class": rule.call_class},
    "hedge": lambda rule: {"hedge": rule.hedge},
}


class _PathMatcher:
    """Finds the first rule of one kind that matches a path.

    The patterns are joined into one regular expression with an empty group after
    each, so that the number of the matched group is the number of the rule, counted
    from 1. A rule for `*` matches every path: it is tried after the patterns, and
    rules after it, which would never apply, are dropped.
    """

    __slots__ = ("match_all_number", "pattern", "rules")

    def __init__(self, rules):
        # Number 0 stands for no rule.
        self.rules = [None]
        # Number of the rule for `*`, or 0 if there is none.
        self.match_all_number = 0
        self.pattern = None
        for rule in rules:
            self.rules.append(rule)
            if rule.path == ANY:
                self.match_all_number = len(self.rules) - 1
                break
        patterns = [rule.path for rule in self.rules[1:] if rule.path != ANY]
        if patterns:
            parts = (f"(?:{translate(path)})()" for path in patterns)
            self.pattern = re.compile("|".join(parts))

    def find(self, path):
        """Return the number of the first matching rule, or 0 if none matches."""
        if self.pattern is None:
            return self.match_all_number
        match = self.pattern.match(path)
        return self.match_all_number if match is None else match.lastindex


class PolicyTable:
    """Finds the policies of calls of one service and method by their paths.

    Parameters
    ----------
    rules : iterable of Rule
        In the order of the rules file, with rules of any kind and service.
    service, method : str
        `*` stands for the services that no rule names, or for unknown methods.
    """

    __slots__ = (
        "_only_policy",
        "_matchers",
        "_policies",
        "_retry",
        "_is_safe_method",
    )

    def __init__(self, rules, service, method):
        rules_by_kind = {kind: [] for kind in CALL_RULE_KINDS}
        self._retry = None
        for rule in rules:
            if rule.kind == "retry":
                if self._retry is None and rule.service in (ANY, service):
                    self._retry = rule
            elif rule.kind in rules_by_kind and rule.service in (ANY, service):
                if rule.method in (ANY, method):
                    rules_by_kind[rule.kind].append(rule)
        self._is_safe_method = method in SAFE_METHODS
        self._matchers = tuple(
            _PathMatcher(kind_rules) for kind_rules in rules_by_kind.values()
        )
        # One policy for each combination of matching rules, created at its first use.
        self._policies = {}
        # The policy of every path, if no rule depends on the path.
        self._only_policy = None
        if all(matcher.pattern is None for matcher in self._matchers):
            self._only_policy = self.policy("")

    def policy(self, path):
        """Return the `CallPolicy` of a path."""
        if self._only_policy is not None:
            return self._only_policy
        first, second, third, fourth = self._matchers
        key = (first.find(path), second.find(path), third.find(path), fourth.find(path))
        policy = self._policies.get(key)
        if policy is None:
            policy = self._policies[key] = self._create_policy(
                self.matching_rules(path)
            )
        return policy

    def matching_rules(self, path):
        """Return the first matching rule of each kind, by kind."""
        rules_by_kind = {}
        for kind, matcher in zip(CALL_RULE_KINDS, self._matchers):
            rule = matcher.rules[matcher.find(path)]
            if rule is not None:
                rules_by_kind[kind] = rule
        if self._retry is not None:
            rules_by_kind["retry"] = self._retry
        return rules_by_kind

    def _create_policy(self, matching):
        values = {"idempotent": self._is_safe_method}
        for kind, rule in matching.items():
            if kind == "retry":
                values["retry_share"] = rule.share
            else:
                values |= CALL_RULE_KINDS[kind](rule)
        return CallPolicy(**values)
