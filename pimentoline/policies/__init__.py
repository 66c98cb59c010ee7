"""pimentoline.policies: load-balancing policies."""

from ._mapping import get_policy_by_name, policy_names

__all__ = ["get_policy_by_name", "policy_names"]
