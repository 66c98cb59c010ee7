"""pimentoline.twohop.model: configuration, members of the cluster and load reports."""

import enum
from dataclasses import dataclass, field

__all__ = [
    "COLD_START_SLOWDOWN",
    "MIN_FAILURE_STATUS",
    "CallerLimits",
    "Configuration",
    "LoadReport",
    "Member",
    "RetryLimits",
    "Route",
    "RouteKind",
    "ServiceInfo",
    "Share",
]

# An HTTP status from this one on means that the target failed, not that the call was
# wrong.
MIN_FAILURE_STATUS = 500
# A target that has just started takes about this many times as long for each call.
COLD_START_SLOWDOWN = 2.0


class RouteKind(enum.Enum):
    """Kind of the calls of a route.

    Only `SAFE` calls may run twice. `UNSAFE` and `UPLOAD` are treated alike.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


@dataclass(frozen=True, slots=True)
class Share:
    """The weight of one service in the traffic split of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The services for calls to a host and path prefix, and the limits of these calls.

    Attributes
    ----------
    host : str
        Host name in lower case, without a port.
    prefix : str
        Prefix of the path.
    timeout_s : float
        Longest time until the caller gets a response, seconds.
    objective_s : float
        Latency objective, seconds.
    priority : int
        0 is the most urgent.
    shares : tuple of Share
        Traffic split.
    max_attempts : int
        Maximum number of targets that may receive one call.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int

    @property
    def retryable(self):
        """Whether a call may run more than once."""
        return self.kind is RouteKind.SAFE


@dataclass(frozen=True, slots=True)
class ServiceInfo:
    """The configuration of a service.

    `max_connections` applies to each target. Without a `health_path`, health checks
    request `/`.
    """

    name: str
    max_connections: int
    health_path: str = ""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for a request and its connection: sizes in bytes, timeouts in seconds."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration.

    `routes_by_host` maps a host name to its routes, longest prefix first.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services: dict[str, ServiceInfo]
    limits: CallerLimits = field(default_factory=CallerLimits)

    @classmethod
    def from_routes(cls, version, routes, services, limits):
        """Return a configuration with the routes grouped and sorted for `find_route`.

        Parameters
        ----------
        version : int
        routes : iterable of Route
        services : iterable of ServiceInfo
        limits : CallerLimits
        """
        route_lists = {}
        for route in sorted(routes, key=lambda r: -len(r.prefix)):
            route_lists.setdefault(route.host, []).append(route)
        routes_by_host = {
            host: tuple(host_routes) for host, host_routes in route_lists.items()
        }
        return cls(version, routes_by_host, {s.name: s for s in services}, limits)

    def find_route(self, host, path):
        """Return the route with the longest prefix that matches `path`, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True, slots=True)
class Member:
    """A node of the cluster, and the service of the target on its host.

    The field names are the keys of the member's row in the store and of the member
    list that nodes send to each other.
    """

    node: str
    addr: tuple[str, int]
    dc: str
    region: str
    service: str


@dataclass(frozen=True, slots=True)
class LoadReport:
    """State of a target, measured by the node on its host.

    Attributes
    ----------
    accepting : bool
        Whether the node accepts new calls for the target.
    running, queued : int
        Calls in progress at the target, and calls that wait in its node's queue.
    limit : int
        Concurrency limit that the node applies to the target.
    delay_ms : int
        Expected time until a call that arrives now has its response, milliseconds.
        The slowdown after a start and the wait until noisy neighbours stop are not
        included.
    noise_remaining_ms : int
        Expected time until noisy neighbours on the host stop, milliseconds.
    success_rate : float
        Share of the calls that the target completes without a failure, 0 to 1.
    cold_remaining_ms : int
        Time until the target is no longer slow after its start, milliseconds.
    """

    accepting: bool = False
    running: int = 0
    queued: int = 0
    limit: int = 1
    delay_ms: int = 100
    noise_remaining_ms: int = 0
    success_rate: float = 1.0
    cold_remaining_ms: int = 0


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Retries that all nodes together may send to a service in a sliding window.

    Attributes
    ----------
    ratio : float
        Retries allowed for each first attempt.
    window_s : float
        Length of the window, seconds.
    allowance : float
        Retries allowed in addition, regardless of traffic.
    """

    ratio: float = 0.1
    window_s: float = 10.0
    allowance: float = 10.0
