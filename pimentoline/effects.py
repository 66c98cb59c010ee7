"""pimentoline.effects: what the runtime has to do, as data."""

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
    """Send the call to a target; give up on the head after `timeout_s` seconds."""

    call_id: int
    attempt_id: int
    target_id: str
    addr: tuple[str, int]
    timeout_s: float
    idempotent: bool
    retry: bool = False


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close the connection of an attempt whose answer is no longer wanted."""

    call_id: int
    attempt_id: int


@dataclass(frozen=True, slots=True)
class ForwardResponse:
    """Pass the answer of this attempt on to the caller.

    `record` asks to keep the beginning of it for the claim row.
    """

    call_id: int
    attempt_id: int
    record: bool = False


@dataclass(frozen=True, slots=True)
class ReplayResponse:
    """Answer the caller with the recorded outcome of an earlier call."""

    call_id: int
    recorded: RecordedResponse


@dataclass(frozen=True, slots=True)
class RejectCall:
    """Answer the caller with an error of our own."""

    call_id: int
    status: int
    code: str
    verdict: Verdict
    detail: str


@dataclass(frozen=True, slots=True)
class ScheduleHedge:
    """Raise `HedgeDue` after `delay_s` seconds."""

    call_id: int
    delay_s: float


@dataclass(frozen=True, slots=True)
class InsertClaim:
    """Insert the claim row of a keyed call if it is absent."""

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
    """Record the outcome of a keyed call in its claim row."""

    call_id: int
    service: str
    key: str
    recorded: RecordedResponse


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a datagram to peers; `body` is a data class of `messages`."""

    addrs: tuple[tuple[str, int], ...]
    body: object


@dataclass(frozen=True, slots=True)
class QueryPeer:
    """Send a message over TCP and raise `MessageReceived` for the reply."""

    addr: tuple[str, int]
    body: object


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer the message that is being handled, on its own connection."""

    body: object


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Ask a target's load endpoint and raise `ProbeEnded`."""

    target_id: str
    addr: tuple[str, int]
    path: str


@dataclass(frozen=True, slots=True)
class FetchRules:
    """Ask a peer, or the store if `addr` is None, for rules of at least `version`."""

    version: int
    addr: tuple[str, int] | None


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Increase a counter of the metrics."""

    name: str
    amount: int = 1


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Write a structured log entry; `fields` are (name, value) pairs."""

    name: str
    fields: tuple[tuple[str, object], ...] = ()
