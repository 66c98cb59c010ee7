"""pimentoline.rules.policy_table: policies of the calls of one service and method."""

import re
from fnmatch import translate

from .field_parsers import ANY
from .policy import CallPolicy

__all__ = ["CALL_KINDS", "PolicyTable"]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
# Kinds that select by service, method and path, and the value each one sets.
CALL_KINDS = {
    "idempotent": lambda rule: {"idempotent": True},
    "deadline": lambda rule: {"deadline_s": rule.deadline_s},
    "class": lambda rule: {"call_class": rule.call_class},
    "hedge": lambda rule: {"hedge": rule.hedge},
}


class _Matcher:
    """Finds the first rule of one kind that matches a path.

    The patterns become one regular expression with an empty group behind each, so
    that the number of the last group is the number of the rule, from 1.
    """

    __slots__ = ("final", "pattern", "rules")

    def __init__(self, rules):
        self.rules = [None]
        self.final = 0
        self.pattern = None
        for rule in rules:
            self.rules.append(rule)
            if rule.path == ANY:
                self.final = len(self.rules) - 1
                break
        patterns = [rule.path for rule in self.rules[1:] if rule.path != ANY]
        if patterns:
            parts = (f"(?:{translate(path)})()" for path in patterns)
            self.pattern = re.compile("|".join(parts))

    def find(self, path):
        """Return the number of the first matching rule, 0 if none matches."""
        if self.pattern is None:
            return self.final
        match = self.pattern.match(path)
        return self.final if match is None else match.lastindex


class PolicyTable:
    """Policies by path.

    Parameters
    ----------
    rules : iterable of Rule
    service, method : str
        `*` stands for every name that no rule mentions.
    """

    __slots__ = ("_fixed", "_matchers", "_policies", "_retry", "_always")

    def __init__(self, rules, service, method):
        chosen = {kind: [] for kind in CALL_KINDS}
        self._retry = None
        for rule in rules:
            if rule.kind == "retry":
                if self._retry is None and rule.service in (ANY, service):
                    self._retry = rule
            elif rule.kind in chosen and rule.service in (ANY, service):
                if rule.method in (ANY, method):
                    chosen[rule.kind].append(rule)
        self._always = method in IDEMPOTENT_METHODS
        self._matchers = tuple(_Matcher(found) for found in chosen.values())
        # One policy for each combination of deciding rules, made at its first use.
        self._policies = {}
        self._fixed = None
        if all(matcher.pattern is None for matcher in self._matchers):
            self._fixed = self.policy("")

    def policy(self, path):
        """Return the `CallPolicy` of a path."""
        if self._fixed is not None:
            return self._fixed
        first, second, third, fourth = self._matchers
        key = (first.find(path), second.find(path), third.find(path), fourth.find(path))
        policy = self._policies.get(key)
        if policy is None:
            policy = self._policies[key] = self._make(self.matching(path))
        return policy

    def matching(self, path):
        """Return the deciding rules by kind."""
        found = {}
        for kind, matcher in zip(CALL_KINDS, self._matchers):
            rule = matcher.rules[matcher.find(path)]
            if rule is not None:
                found[kind] = rule
        if self._retry is not None:
            found["retry"] = self._retry
        return found

    def _make(self, found):
        values = {"idempotent": self._always}
        for kind, rule in found.items():
            if kind == "retry":
                values["retry_share"] = rule.share
            else:
                values |= CALL_KINDS[kind](rule)
        return CallPolicy(**values)
