"""pimentoline.rules._mapping: rule classes by the name of the rule kind."""

import functools
import importlib

__all__ = ["get_rule_class_by_kind", "kind_names"]

# kind: (module, class)
KINDS = {
    "budget": ("budget", "BudgetRule"),
    "canary": ("canary", "CanaryRule"),
    "class": ("call_class", "ClassRule"),
    "deadline": ("deadline", "DeadlineRule"),
    "hedge": ("hedge", "HedgeRule"),
    "idempotent": ("idempotent", "IdempotentRule"),
    "limit": ("limit", "LimitRule"),
    "pause": ("pause", "PauseRule"),
    "prefer": ("prefer", "PreferRule"),
    "retry": ("retry", "RetryRule"),
    "spill": ("spill", "SpillRule"),
    "weight": ("weight", "WeightRule"),
}


def kind_names():
    """Return the names of all rule kinds, sorted."""
    return sorted(KINDS)


@functools.cache
def get_rule_class_by_kind(name):
    """Return the class of a rule kind, or None if the kind is unknown."""
    if name not in KINDS:
        return None
    module, cls = KINDS[name]
    return getattr(importlib.import_module(f".{module}", __package__), cls)
