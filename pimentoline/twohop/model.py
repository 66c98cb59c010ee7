"""pimentoline.twohop.model: configuration, members and load reports."""

import enum
from dataclasses import dataclass, field

__all__ = [
    "COLD_START_SLOWDOWN",
    "MIN_FAILURE_STATUS",
    "CallerLimits",
    "Configuration",
    "RouteKind",
    "LoadReport",
    "Member",
    "RetryLimits",
    "Route",
    "ServiceInfo",
    "Share",
]

# Statuses from here on say that a target failed, and not what it was asked.
MIN_FAILURE_STATUS = 500
# A target that has just started takes about this many times as long.
COLD_START_SLOWDOWN = 2.0


class RouteKind(enum.Enum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


@dataclass(frozen=True, slots=True)
class Share:
    """The part of a route's calls that goes to one service."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Where calls to a host and path prefix go, and what they are promised.

    Attributes
    ----------
    timeout_s : float
        Longest time that a caller is kept waiting, seconds.
    goal_s : float
        Latency objective, seconds.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Targets that one call may be sent to.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    goal_s: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int

    @property
    def retryable(self):
        """Whether a call may run more than once."""
        return self.kind is RouteKind.SAFE


@dataclass(frozen=True, slots=True)
class ServiceInfo:
    """What the operator says of a service; `max_connections` is for each target."""

    name: str
    max_connections: int
    health_path: str = ""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, in bytes, and how long it may take, in seconds."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration.

    `by_host` holds the routes of a host, longest prefix first.
    """

    version: int
    by_host: dict[str, tuple[Route, ...]]
    services: dict[str, ServiceInfo]
    limits: CallerLimits = field(default_factory=CallerLimits)

    @classmethod
    def from_routes(cls, version, routes, services, limits):
        """Make a configuration with its routes arranged for `find_route`."""
        by_host = {}
        for route in sorted(routes, key=lambda r: -len(r.prefix)):
            by_host.setdefault(route.host, []).append(route)
        frozen = {host: tuple(found) for host, found in by_host.items()}
        return cls(version, frozen, {s.name: s for s in services}, limits)

    def find_route(self, host, path):
        """Return the route with the longest prefix that begins `path`, or None."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True, slots=True)
class Member:
    """A node and the service of the target on its host."""

    node: str
    addr: tuple[str, int]
    dc: str
    region: str
    service: str


@dataclass(frozen=True, slots=True)
class LoadReport:
    """State of a target, as its own node sees it.

    Attributes
    ----------
    accepting : bool
        Whether new calls are taken.
    running, queued : int
        Calls at the target, and calls that wait in its node.
    limit : int
        Calls that the node lets run at once.
    delay_ms : int
        Expected time to the answer of a call that arrives now at a warm target,
        milliseconds.
    cold_ms : int
        How much longer the target is slow after its start, milliseconds.
    rest_ms : int
        How long noise of the target's neighbours still adds to it, milliseconds.
    good_rate : float
        Part of the calls that the target answers well, 0 to 1.
    """

    accepting: bool = False
    running: int = 0
    queued: int = 0
    limit: int = 1
    delay_ms: int = 100
    rest_ms: int = 0
    good_rate: float = 1.0
    cold_ms: int = 0


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Repeats that all nodes together may send to a service in a window."""

    ratio: float = 0.1
    window_s: float = 10.0
    allowance: float = 10.0
