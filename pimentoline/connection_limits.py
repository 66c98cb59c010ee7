"""pimentoline.connection_limits: the maximum number of connections to each target."""

from .subsets import connections_per_node

__all__ = ["ConnectionLimits"]


class ConnectionLimits:
    """Maximum number of connections from this node to each target.

    A target accepts a limited number of connections from all nodes together. The
    node's share of the connections to a service is divided evenly among all targets of
    the service, at least one to each. If the share is smaller than the number of
    targets, the node uses only some of them (see `subsets`).

    Parameters
    ----------
    get_state : callable
        Returns the node's `State`.
    default : int
        Maximum for an address that no member announces.
    """

    def __init__(self, get_state, default):
        self._get_state = get_state
        self._default = default
        self._by_service = None
        self._node_count = 0
        self._limits = {}

    def limit_for(self, addr):
        """Return the maximum number of connections to a target address."""
        mesh = self._get_state().mesh
        node_count = len(mesh.members)
        # The state is immutable, so a change of the targets makes a new `by_service`.
        if mesh.by_service is not self._by_service or node_count != self._node_count:
            self._by_service, self._node_count = mesh.by_service, node_count
            self._limits = dict(_target_limits(mesh.by_service, node_count))
        return self._limits.get(tuple(addr), self._default)


def _target_limits(by_service, node_count):
    for targets in by_service.values():
        share = connections_per_node(targets, max(1, node_count))
        limit = max(1, share // len(targets))
        for target in targets:
            yield tuple(target.addr), limit
