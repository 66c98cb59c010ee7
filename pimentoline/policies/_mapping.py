"""pimentoline.policies._mapping: load-balancing policies by name."""

import functools
import importlib

from ..errors import SettingsError

__all__ = ["get_policy_by_name", "policy_names"]

# policy name: (module, class)
POLICIES = {
    "hot-cold": ("hot_cold", "HotColdPolicy"),
    "least-inflight": ("least_inflight", "LeastInflightPolicy"),
    "random": ("random", "RandomPolicy"),
    "round-robin": ("round_robin", "RoundRobinPolicy"),
    "two-choices": ("two_choices", "TwoChoicesPolicy"),
}


def policy_names():
    """Return the names of all policies, sorted."""
    return sorted(POLICIES)


@functools.cache
def get_policy_by_name(name):
    """Return the policy with the given name.

    Raises
    ------
    SettingsError
        If the name is unknown.
    """
    if name not in POLICIES:
        raise SettingsError(f"policy {name!r}; allowed: {', '.join(policy_names())}")
    module, cls = POLICIES[name]
    return getattr(importlib.import_module(f".{module}", __package__), cls)()
