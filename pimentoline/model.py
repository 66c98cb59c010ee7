"""pimentoline.model: the frozen data classes that make up a node's state."""

import enum
from dataclasses import dataclass, field

from immutables import Map

from .rules.ruleset import RuleSet
from .verdict import Verdict

__all__ = [
    "CALL_CLASSES",
    "CLASS_RANKS",
    "Attempt",
    "Call",
    "CallRecord",
    "Identity",
    "Member",
    "MemberStatus",
    "MeshState",
    "PendingPing",
    "ProbingState",
    "RecordedResponse",
    "Request",
    "RulesState",
    "ServiceStats",
    "State",
    "Target",
    "TargetState",
    "TargetStats",
    "TrafficState",
    "UnconfirmedTarget",
]


class TargetState(enum.Enum):
    """Life of a target, as told by its node."""

    STARTING = "starting"
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class MemberStatus(enum.Enum):
    """Life of a node, as its peers see it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Target:
    """One instance of a service.

    Parameters
    ----------
    target_id : str
        Unique name, chosen by the target.
    service : str
    addr : tuple of (str, int)
        IP number and port of the target's HTTP server.
    region, dc : str
        Region and data centre of the host, taken from its node.
    slots : int
        Requests that the target serves at once.
    connections : int
        Connections that the target accepts in total.
    state : TargetState
    load_path : str
        Path of the load endpoint that probes ask.
    version : str
        Release that the target runs; canary rules select on it.
    """

    target_id: str
    service: str
    addr: tuple[str, int]
    region: str
    dc: str
    slots: int = 12
    connections: int = 260
    state: TargetState = TargetState.UP
    load_path: str = "/load"
    version: str = ""


@dataclass(frozen=True, slots=True)
class Member:
    """Record of one node, written only by that node.

    Of two records of a node the one with the higher `(incarnation, seq)` is valid;
    `incarnation` is the boot time in milliseconds. `age_s` is set only in messages:
    seconds since the node left or died, so that receivers forget it at the same time.
    """

    node_id: str
    host: str
    addr: tuple[str, int]
    region: str
    dc: str
    incarnation: int
    seq: int = 0
    status: MemberStatus = MemberStatus.ALIVE
    targets: tuple[Target, ...] = ()
    rules_version: int = 0
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Identity:
    """What a process is, from its settings."""

    node_id: str
    host: str
    region: str
    dc: str
    data_addr: tuple[str, int]
    mesh_addr: tuple[str, int]
    incarnation: int


@dataclass(frozen=True, slots=True)
class Request:
    """What the core knows of a caller's request; the body stays in the proxy.

    `deadline` is in seconds of the node's monotonic clock.
    """

    service: str
    method: str
    path: str
    deadline: float
    call_class: str = "normal"
    depth: int = 0
    retry_attempt: int = 0
    key: str = ""


@dataclass(frozen=True, slots=True)
class Call:
    """A request received by this node."""

    call_id: int
    req: Request
    arrived: float


@dataclass(frozen=True, slots=True)
class RecordedResponse:
    """Outcome of a keyed call, as kept in its claim row.

    `body` holds up to 4 KiB; `truncated` tells that the answer was longer.
    """

    status: int
    content_type: str
    body: bytes
    truncated: bool = False


@dataclass(frozen=True, slots=True)
class Attempt:
    """One sending of a call to one target.

    `verdict` is None while the attempt is in flight; `failed` tells of an answer
    with a status of 500 or more.
    """

    attempt_id: int
    target_id: str
    started: float
    hedge: bool = False
    verdict: Verdict | None = None
    failed: bool = False


class CallPhase(enum.Enum):
    """Progress of a call."""

    CLAIMING = "claiming"
    SENDING = "sending"
    ANSWERING = "answering"


@dataclass(frozen=True, slots=True)
class CallRecord:
    """A call in flight and its attempts, oldest first.

    `answering` is the attempt whose answer goes to the caller.
    """

    call: Call
    phase: CallPhase
    idempotent: bool
    attempts: tuple[Attempt, ...] = ()
    answering: int | None = None
    replayable: bool = True


@dataclass(frozen=True, slots=True)
class TargetStats:
    """What this node has observed of one target.

    Parameters
    ----------
    inflight : int
        Own requests in flight.
    waiting : int
        Own requests whose response head has not come yet.
    waiting_since_sum : float
        Sum of the monotonic times at which those were sent, seconds.
    latency_s : float
        Peak-sensitive moving average of the time to the response head, seconds.
    latency_at : float
        Monotonic time of the last latency sample, seconds.
    reported_load : float
        Last reported requests in flight at the target, from all nodes.
    reported_at : float
        Monotonic time of that report, seconds; negative infinity if none.
    own_in_report : int
        Own requests in flight at that time, which are part of the reported ones.
    consecutive_failures : int
        Consecutive failures.
    recent_outcomes : tuple of bool
        Outcomes of the latest calls, True for success, newest last.
    ejected_until, ejected_for_s : float
        End and length of the current or last ejection, seconds.
    ready_at : float
        Monotonic time at which the target came up or came back, for slow start.
    """

    inflight: int = 0
    waiting: int = 0
    waiting_since_sum: float = 0.0
    latency_s: float = 0.0
    latency_at: float = 0.0
    reported_load: float = 0.0
    reported_at: float = float("-inf")
    own_in_report: int = 0
    consecutive_failures: int = 0
    recent_outcomes: tuple[bool, ...] = ()
    ejected_until: float = 0.0
    ejected_for_s: float = 0.0
    ready_at: float = float("-inf")


# The lowest class is the last; counts by class are kept in this order.
CALL_CLASSES = ("critical", "normal", "sheddable")
CLASS_RANKS = {name: rank for rank, name in enumerate(CALL_CLASSES)}


@dataclass(frozen=True, slots=True)
class ServiceStats:
    """What this node has observed of one service.

    Parameters
    ----------
    retry_tokens : float
        Credit for retries and hedges; negative after borrowing.
    borrowed : bool
        Whether the one retry that may come before its credit was made.
    inflight : tuple of int
        Calls in flight by class.
    sent, accepted : tuple of float
        Decayed counts by class for adaptive throttling. `sent` includes the calls
        that throttling refused.
    counted_at : float
        Monotonic time up to which the counts are decayed, seconds.
    latencies, new_latencies : tuple of float
        Times to the response head of successful calls, seconds;
        `new_latencies` holds the few that are not yet in `latencies`.
    median_latency_s, p95_latency_s : float
        Median and 95th percentile of the latencies, seconds; 0.0 if unknown.
    widest_ring : int
        Widest locality ring in use.
    spill_credit : float
        Calls that may still be spilled.
    calls_sent : int
        Number of calls sent.
    """

    retry_tokens: float = 0.0
    borrowed: bool = False
    inflight: tuple[int, ...] = (0, 0, 0)
    sent: tuple[float, ...] = (0.0, 0.0, 0.0)
    accepted: tuple[float, ...] = (0.0, 0.0, 0.0)
    counted_at: float = 0.0
    latencies: tuple[float, ...] = ()
    new_latencies: tuple[float, ...] = ()
    median_latency_s: float = 0.0
    p95_latency_s: float = 0.0
    widest_ring: int = 0
    spill_credit: float = 0.0
    calls_sent: int = 0


@dataclass(frozen=True, slots=True)
class TrafficState:
    """Calls in flight and observations; keys are call, target and service names.

    `plan` is the `RoutePlan` derived from the members and rules, None at first.
    """

    calls: Map = field(default_factory=Map)
    targets: Map = field(default_factory=Map)
    services: Map = field(default_factory=Map)
    next_attempt: int = 1
    plan: object = None


@dataclass(frozen=True, slots=True)
class RulesState:
    """The configuration in force and what is known of newer ones.

    Parameters
    ----------
    version, text, ruleset
        The rules in force.
    source : str
        Who gave them: `builtin`, `store` or a node id.
    known_version : int
        Highest version that any peer or the store has named.
    outdated_since : float
        Monotonic time since which `known_version` is above `version`, seconds.
    requested_version, requested_at
        Version and monotonic time of the latest fetch.
    confirmed : bool
        Whether the store, or a peer that is confirmed itself, has answered since
        the node booted.
    must_check : bool
        Whether calls are refused until an answer has come and the highest version
        heard is in force: at boot, and after the process was paused.
    answered : bool
        Whether such an answer has come.
    remaining_sends : int
        Remaining rounds in which the version in force is announced to peers.
    """

    version: int = 0
    text: str = ""
    ruleset: RuleSet = field(default_factory=RuleSet)
    source: str = "builtin"
    known_version: int = 0
    outdated_since: float = 0.0
    requested_version: int = 0
    requested_at: float = float("-inf")
    confirmed: bool = False
    must_check: bool = False
    answered: bool = False
    remaining_sends: int = 0


@dataclass(frozen=True, slots=True)
class PendingPing:
    """The ping in flight of the failure detector."""

    node_id: str
    ping_id: int
    sent_at: float
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class UnconfirmedTarget:
    """A target whose node left or died; `until` is monotonic time in seconds."""

    target: Target
    until: float


@dataclass(frozen=True, slots=True)
class MeshState:
    """Members by node id, the routable targets by service, and the detector's state.

    Parameters
    ----------
    members : Map of str to Member
    pending_gossip : Map of str to int
        Remaining sends of a member's record.
    by_service : Map of str to tuple of Target
        Derived from `members` and `unconfirmed`, kept for fast routing.
    unconfirmed : Map of str to UnconfirmedTarget
        By target id.
    ended_at : Map of str to float
        Monotonic time at which a member left or died.
    suspect_deadlines : Map of str to float
        Monotonic time at which a suspect is declared dead.
    renewed_at : Map of str to float
        Monotonic time of the latest announcement of a target of this node, or of
        its end.
    drained_addrs : Map of str to (str, int)
        Addresses of the targets of this host that were ordered to drain, by id.
    pending_ping : PendingPing or None
    next_ping_at, next_sync_at, last_sync_at, last_tick : float
        Monotonic times, seconds.
    health_score : int
        Local health score, 0 if this node's own pings are answered.
    draw : int
        Random integer of the latest tick.
    """

    members: Map = field(default_factory=Map)
    pending_gossip: Map = field(default_factory=Map)
    by_service: Map = field(default_factory=Map)
    unconfirmed: Map = field(default_factory=Map)
    ended_at: Map = field(default_factory=Map)
    suspect_deadlines: Map = field(default_factory=Map)
    renewed_at: Map = field(default_factory=Map)
    drained_addrs: Map = field(default_factory=Map)
    pending_ping: PendingPing | None = None
    next_ping_at: float = float("-inf")
    next_sync_at: float = float("-inf")
    last_sync_at: float = float("-inf")
    last_tick: float | None = None
    health_score: int = 0
    draw: int = 0


@dataclass(frozen=True, slots=True)
class ProbingState:
    """Demand for probes and this node's share of the budget.

    Parameters
    ----------
    asked : Map of str to float
        Monotonic time of the latest call of a service, seconds.
    probed : Map of str to float
        Monotonic time of the latest probe of a target, seconds.
    in_flight : frozenset of str
        Targets of the probes in flight.
    joined_at, last_tick : float or None
        Monotonic time since which this node is counted by others, and of the latest
        tick.
    due : float
        Fraction of the next probe that has fallen due.
    free_bytes : float
        Bytes of the share that are not spent or reserved.
    """

    asked: Map = field(default_factory=Map)
    probed: Map = field(default_factory=Map)
    in_flight: frozenset = frozenset()
    joined_at: float = 0.0
    last_tick: float | None = None
    due: float = 0.0
    free_bytes: float = 0.0


@dataclass(frozen=True, slots=True)
class State:
    """All of a node's decision state."""

    identity: Identity
    rules: RulesState = field(default_factory=RulesState)
    mesh: MeshState = field(default_factory=MeshState)
    traffic: TrafficState = field(default_factory=TrafficState)
    probing: ProbingState = field(default_factory=ProbingState)
    policy: str = "hot-cold"
    stopping: bool = False
