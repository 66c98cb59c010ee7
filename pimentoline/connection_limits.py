"""pimentoline.connection_limits: the maximum number of connections to each target."""

from .subsets import connections_per_node

__all__ = ["ConnectionLimits"]


class ConnectionLimits:
    """Maximum number of connections to each target, from the membership.

    The share of a service is spread evenly over the targets that the node uses.

    Parameters
    ----------
    get_state : callable
        Returns the node's `State`.
    default : int
        Maximum for an address that no member has announced.
    """

    def __init__(self, get_state, default):
        self._get_state = get_state
        self._default = default
        self._services = None
        self._nodes = 0
        self._limits = {}

    def limit_of(self, addr):
        """Return the maximum number of connections to a target address."""
        mesh = self._get_state().mesh
        nodes = len(mesh.members)
        if mesh.by_service is not self._services or nodes != self._nodes:
            self._services, self._nodes = mesh.by_service, nodes
            self._limits = dict(_limits(mesh.by_service, nodes))
        return self._limits.get(tuple(addr), self._default)


def _limits(by_service, nodes):
    for targets in by_service.values():
        share = connections_per_node(targets, max(1, nodes))
        each = max(1, share // len(targets))
        for target in targets:
            yield tuple(target.addr), each
