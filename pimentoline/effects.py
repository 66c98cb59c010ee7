"""pimentoline.effects: the outputs of the reducer, executed by the runtime.

The reducer is the pure function that applies an event (`pimentoline.events`) to the
state of a node. It returns the effects that the runtime of the node has to execute.

A claim is a row in the store, the platform's table service. It reserves an idempotency
key for a call, so that at most one of the calls with the same key runs.
"""

from dataclasses import dataclass

from .model import RecordedResponse
from .verdict import Verdict

__all__ = [
    "CancelAttempt",
    "FetchRules",
    "FinishClaim",
    "ForwardResponse",
    "IncrementCounter",
    "InsertClaim",
    "LogEntry",
    "QueryPeer",
    "RejectCall",
    "ReleaseClaim",
    "ReplayResponse",
    "Reply",
    "ScheduleHedge",
    "SendMessage",
    "SendProbe",
    "StartAttempt",
]


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request to a target; wait `timeout_s` seconds for the response head.

    `idempotent` tells whether the call may run more than once. If not, only a very
    recently used connection is reused, since the target may be about to close an older
    one and the request could then not be retried. `retry` is True for every attempt of
    a call after the first, hedges included.
    """

    call_id: int
    attempt_id: int
    target_id: str
    addr: tuple[str, int]
    timeout_s: float
    idempotent: bool
    retry: bool = False


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close the connection of an attempt whose response is no longer needed."""

    call_id: int
    attempt_id: int


@dataclass(frozen=True, slots=True)
class ForwardResponse:
    """Forward the response of an attempt to the caller.

    If `record` is True, the beginning of the response is kept for the claim row.
    """

    call_id: int
    attempt_id: int
    record: bool = False


@dataclass(frozen=True, slots=True)
class ReplayResponse:
    """Send the caller the recorded response to an earlier call.

    Both calls have the same idempotency key.
    """

    call_id: int
    recorded: RecordedResponse


@dataclass(frozen=True, slots=True)
class RejectCall:
    """Send the caller an error response that the node itself creates.

    `status` is the HTTP status, `code` the error code, and `detail` a text for people.
    `verdict` tells the caller whether the request may have run on a target.
    """

    call_id: int
    status: int
    code: str
    verdict: Verdict
    detail: str


@dataclass(frozen=True, slots=True)
class ScheduleHedge:
    """Dispatch the event `HedgeDue` after `delay_s` seconds."""

    call_id: int
    delay_s: float


@dataclass(frozen=True, slots=True)
class InsertClaim:
    """Insert the claim row of an idempotency key if it is absent."""

    call_id: int
    service: str
    key: str


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Delete the claim row of a call that is proven not to have run."""

    call_id: int
    service: str
    key: str


@dataclass(frozen=True, slots=True)
class FinishClaim:
    """Record the response to a call in its claim row."""

    call_id: int
    service: str
    key: str
    recorded: RecordedResponse


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a datagram to each address.

    `body` is an instance of a data class in `pimentoline.messages`.
    """

    addrs: tuple[tuple[str, int], ...]
    body: object


@dataclass(frozen=True, slots=True)
class QueryPeer:
    """Send a message over TCP and dispatch the event `MessageReceived` for the reply.

    `body` is an instance of a data class in `pimentoline.messages`.
    """

    addr: tuple[str, int]
    body: object


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply to the message being handled, on the connection that it came from.

    `body` is an instance of a data class in `pimentoline.messages`.
    """

    body: object


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Request a target's load endpoint and dispatch the event `ProbeEnded`."""

    target_id: str
    addr: tuple[str, int]
    path: str


@dataclass(frozen=True, slots=True)
class FetchRules:
    """Fetch rules of at least `version`.

    `addr` is the address of the peer to ask. The store is read if `addr` is None or the
    peer does not have these rules.
    """

    version: int
    addr: tuple[str, int] | None


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Increase a metrics counter."""

    name: str
    amount: int = 1


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Write a structured log entry; `fields` are (name, value) pairs."""

    name: str
    fields: tuple[tuple[str, object], ...] = ()
