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
    """State of a target, as announced by its node."""

    STARTING = "starting"
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class MemberStatus(enum.Enum):
    """Status of a node in the mesh, as its peers see it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Target:
    """One running instance of a service.

    Parameters
    ----------
    target_id : str
        Unique identifier, chosen by the target.
    service : str
    addr : tuple of (str, int)
        IP address and port of the target's HTTP server.
    region, dc : str
        Region and data centre of the target's host, as configured at its node.
    slots : int
        Requests that the target serves concurrently.
    connections : int
        Connections that the target accepts in total, from all nodes.
    state : TargetState
    load_path : str
        Path of the endpoint at which the target reports its load to probes.
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
    """Record of one node in the mesh.

    A node writes its own record; other nodes change only the status, to `SUSPECT` or
    `DEAD`. Of two records of a node, the one with the higher `(incarnation, seq)` is
    valid; if these are equal, the one whose status is later in the order `ALIVE`,
    `LEAVING`, `SUSPECT`, `DEAD`. `incarnation` is the node's start time in
    milliseconds, and `seq` rises with each new record that the node writes. `addr` is
    the node's mesh address, and `targets` are the targets on its host. `rules_version`
    was in force when the node wrote the record. `age_s` is set only in messages:
    seconds since the node left or died, so that all receivers delete its record at the
    same time.
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
    """Id, location and addresses of this node.

    `data_addr` accepts calls, and `mesh_addr` receives messages from other nodes;
    `incarnation` is the node's start time in milliseconds.
    """

    node_id: str
    host: str
    region: str
    dc: str
    data_addr: tuple[str, int]
    mesh_addr: tuple[str, int]
    incarnation: int


@dataclass(frozen=True, slots=True)
class Request:
    """The parts of a caller's request head that decisions depend on.

    Parameters
    ----------
    service, method, path : str
    deadline : float
        Monotonic time, seconds.
    call_class : str
        Priority class of the call, one of `CALL_CLASSES`.
    depth : int
        Number of nested calls that led to this one.
    retry_attempt : int
        Number of times that callers or other nodes have already retried the call.
    key : str
        Idempotency key, empty if the caller sent none.
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
    """A request that this node received; `arrived` is monotonic time in seconds."""

    call_id: int
    req: Request
    arrived: float


@dataclass(frozen=True, slots=True)
class RecordedResponse:
    """Response to a call with an idempotency key, as stored in its claim row.

    A call that has a key and may run only once claims the key before it is sent: it
    inserts a row for the key in the store. Of the calls with the same key, only the one
    that inserted the row runs. `body` holds up to 4 KiB; `truncated` is True if the
    response was longer.
    """

    status: int
    content_type: str
    body: bytes
    truncated: bool = False


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request of a call to one target.

    `started` is monotonic time in seconds. `hedge` is True if the attempt was started
    while another one was in flight. `verdict` tells whether the target may have run the
    request; it is None until the attempt has received a response head, ended or been
    cancelled. `failed` is True after a response with a status of 500 or more.
    """

    attempt_id: int
    target_id: str
    started: float
    hedge: bool = False
    verdict: Verdict | None = None
    failed: bool = False


class CallPhase(enum.Enum):
    """Phase of a call.

    The call claims its idempotency key, if it has to, waits for a response, or forwards
    the response to the caller.
    """

    CLAIMING = "claiming"
    SENDING = "sending"
    FORWARDING = "answering"


@dataclass(frozen=True, slots=True)
class CallRecord:
    """A call in flight and its attempts, oldest first.

    `idempotent` tells whether the call may run more than once; `forwarded_attempt_id`
    is the id of the attempt whose response is forwarded to the caller, None before.
    `replayable` is not used: events tell whether the request can be sent again.
    """

    call: Call
    phase: CallPhase
    idempotent: bool
    attempts: tuple[Attempt, ...] = ()
    forwarded_attempt_id: int | None = None
    replayable: bool = True


@dataclass(frozen=True, slots=True)
class TargetStats:
    """Statistics that this node keeps of one target.

    Parameters
    ----------
    inflight : int
        Requests of this node in flight.
    waiting : int
        Requests of this node that wait for a response head.
    waiting_since_sum : float
        Sum of the monotonic times at which the waiting requests were sent, seconds.
    latency_s : float
        Peak-sensitive moving average of the time to the response head, seconds.
    latency_at : float
        Monotonic time of the last latency sample, seconds.
    reported_load : float
        Requests in flight at the target, from all nodes, as last reported by it.
    reported_at : float
        Monotonic time of the last load report, seconds; negative infinity if none.
    own_in_report : int
        Requests of this node that the last load report includes.
    consecutive_failures : int
        Failed attempts in a row; a certain number of them ejects the target. An
        ejection sets it to one less, so that the next failure ejects the target again.
    recent_outcomes : tuple of bool
        Outcomes of the latest attempts, True for success, newest last.
    ejected_until, ejected_for_s : float
        Monotonic end time and length of the current or last ejection, seconds.
    ready_at : float
        Monotonic time at which the target came up or its ejection ended, seconds;
        slow start begins then.
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


# From the highest priority to the lowest; tuples of counts by class have this order.
CALL_CLASSES = ("critical", "normal", "sheddable")
CLASS_RANKS = {name: rank for rank, name in enumerate(CALL_CLASSES)}


@dataclass(frozen=True, slots=True)
class ServiceStats:
    """Statistics that this node keeps of one service.

    Parameters
    ----------
    retry_tokens : float
        Number of retries and hedges that the retry budget allows; negative after
        borrowing.
    first_retry_used : bool
        Whether a retry or hedge has been allowed. Only the first may borrow its token.
    inflight : tuple of int
        Calls in flight by class, in the order of `CALL_CLASSES`.
    sent, accepted : tuple of float
        Decayed counts by class for adaptive throttling. `sent` includes the calls
        that throttling refused.
    counted_at : float
        Monotonic time up to which the counts are decayed, seconds.
    latencies, new_latencies : tuple of float
        Times to the response head of successful calls, seconds. `new_latencies` holds
        the latest ones, which are not yet part of `latencies`.
    median_latency_s, p95_latency_s : float
        Median and 95th percentile of the latencies, seconds; 0.0 if unknown.
    widest_ring : int
        Number of the outermost locality ring in use; 0 is the innermost. The targets
        of a service form rings around this node: its data centre, its region, other
        regions.
    spill_credit : float
        Number of calls that may spill to the next ring. Each call to a loaded ring
        adds a fraction, and each call that spills takes 1.
    calls_sent : int
        Number of calls whose first attempt was sent.
    """

    retry_tokens: float = 0.0
    first_retry_used: bool = False
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
    """Calls in flight, and statistics of targets and services.

    Parameters
    ----------
    calls : Map of int to CallRecord
        By call id.
    targets : Map of str to TargetStats
        By target id.
    services : Map of str to ServiceStats
        By service name.
    next_attempt_id : int
        Id of the next attempt.
    plan : RoutePlan or None
        Routes derived from the members and the rules, None at first.
    """

    calls: Map = field(default_factory=Map)
    targets: Map = field(default_factory=Map)
    services: Map = field(default_factory=Map)
    next_attempt_id: int = 1
    plan: object = None


@dataclass(frozen=True, slots=True)
class RulesState:
    """The rules in force, and what this node knows of newer versions.

    Parameters
    ----------
    version : int
        Version of the rules in force.
    text : str
        Text of the rules in force.
    ruleset : RuleSet
        The rules in force, parsed.
    source : str
        Source of the rules in force: `builtin`, `store` or a node id.
    known_version : int
        Highest version that any peer or the store has reported.
    outdated_since : float
        Monotonic time since which `known_version` is above `version`, seconds.
    requested_version : int
        Minimum version that the latest fetch of newer rules requested.
    requested_at : float
        Monotonic time of the latest fetch of newer rules, seconds.
    confirmed : bool
        Whether the store, or a peer that is confirmed itself, has reported its
        version since this node started.
    version_check_pending : bool
        Whether calls are refused until the store or a confirmed peer has reported its
        version and `known_version` is in force. The node sets it when it starts and
        after the process was paused.
    report_received : bool
        Whether the report that `version_check_pending` waits for has been received.
    remaining_sends : int
        Remaining gossip rounds in which the version in force is announced.
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
    version_check_pending: bool = False
    report_received: bool = False
    remaining_sends: int = 0


@dataclass(frozen=True, slots=True)
class PendingPing:
    """The failure detector's ping in flight.

    `sent_at` is monotonic time in seconds; `indirect` is True once other nodes have
    been requested to ping the node as well.
    """

    node_id: str
    ping_id: int
    sent_at: float
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class UnconfirmedTarget:
    """A target whose node left, died or restarted.

    The target is unconfirmed until a running node announces it. It stays routable until
    `until`, monotonic time in seconds.
    """

    target: Target
    until: float


@dataclass(frozen=True, slots=True)
class MeshState:
    """State of the mesh: members, routable targets and the failure detector.

    Parameters
    ----------
    members : Map of str to Member
        By node id.
    pending_gossip : Map of str to int
        Number of gossip rounds in which a member's record is still to be sent, by
        node id.
    by_service : Map of str to tuple of Target
        Routable targets by service. Derived from `members` and `unconfirmed`, and
        cached for fast routing.
    unconfirmed : Map of str to UnconfirmedTarget
        Targets whose node left, died or restarted, by target id, until a running node
        announces them.
    ended_at : Map of str to float
        Monotonic time at which a member left or died, seconds, by node id.
    suspect_deadlines : Map of str to float
        Monotonic time at which a suspect is declared dead, seconds, by node id.
    renewed_at : Map of str to float
        Monotonic time at which a target of this host last announced itself to this
        node, or at which it changed to `gone`, seconds, by target id.
    drained_addrs : Map of str to (str, int)
        Addresses at which targets of this host were drained, by target id. A drain ends
        when the target announces another address or `starting`, or becomes `gone`.
    pending_ping : PendingPing or None
    next_ping_at, next_sync_at, last_sync_at, last_tick : float
        Monotonic times, seconds. At a sync, this node compares its member records with
        those of peers.
    health_score : int
        Local health score as in Lifeguard: 0 while this node's pings are acknowledged,
        higher if its own network or load may be the cause of lost pings.
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
    """Load probes: which targets need them, and this node's share of the budget.

    The budget of a region limits its probes and their bytes per second. Each node of
    the region uses an equal share of it.

    Parameters
    ----------
    last_called : Map of str to float
        Monotonic time of the latest call of a service, seconds, by service name.
    last_probed : Map of str to float
        Monotonic time of the latest probe of a target, seconds, by target id.
    in_flight : frozenset of str
        Ids of the targets of the probes in flight.
    joined_at : float
        Monotonic time at which this node started or resumed after a pause. It sends
        probes only after the other nodes have had time to adapt their shares.
    last_tick : float or None
        Monotonic time of the latest tick, seconds.
    due_fraction : float
        Fraction of a probe that has fallen due and is not sent yet, below 1.0.
    free_bytes : float
        Bytes of this node's share that are neither spent nor reserved.
    """

    last_called: Map = field(default_factory=Map)
    last_probed: Map = field(default_factory=Map)
    in_flight: frozenset = frozenset()
    joined_at: float = 0.0
    last_tick: float | None = None
    due_fraction: float = 0.0
    free_bytes: float = 0.0


@dataclass(frozen=True, slots=True)
class State:
    """All state that a node's decisions depend on.

    `policy` names the load-balancing policy; `stopping` is True once the process has
    been requested to stop.
    """

    identity: Identity
    rules: RulesState = field(default_factory=RulesState)
    mesh: MeshState = field(default_factory=MeshState)
    traffic: TrafficState = field(default_factory=TrafficState)
    probing: ProbingState = field(default_factory=ProbingState)
    policy: str = "hot-cold"
    stopping: bool = False
