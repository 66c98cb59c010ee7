"""pimentoline.events: the inputs of the reducer, as data.

The reducer is a pure function that takes the state of a node and an event, and returns
the next state and the effects that the runtime has to execute, such as to send a
request.

In all events, `now` is monotonic time in seconds, and `draw` is a random 64-bit integer
from which the reducer derives its random choices.
"""

import enum
from dataclasses import dataclass

from .model import Call, Member, RecordedResponse, Target
from .rules.ruleset import RuleSet
from .verdict import Verdict

__all__ = [
    "AttemptEnded",
    "AttemptOutcome",
    "CallArrived",
    "CallEnded",
    "CallerDisconnected",
    "ClaimOutcome",
    "ClaimResolved",
    "DeadlinePassed",
    "HedgeDue",
    "MembersReceived",
    "MessageReceived",
    "ProbeEnded",
    "ResponseHeadReceived",
    "RulesLoaded",
    "RulesVersionReceived",
    "StopRequested",
    "TargetAnnounced",
    "TargetDrained",
    "TargetWithdrawn",
    "Tick",
]


class AttemptOutcome(enum.Enum):
    """How an attempt ended without a response.

    `REFUSED` means that no connection was opened, and `BROKEN` that the connection
    closed too early or carried no usable response head. After
    `REUSED_CONNECTION_TIMEOUT`, the connection may be at fault instead of the target.
    """

    REFUSED = "refused"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    REUSED_CONNECTION_TIMEOUT = "silent"


class ClaimOutcome(enum.Enum):
    """Result of claiming an idempotency key in the store.

    `HELD` means that another call holds the claim, and `REPLAY` that the response to an
    earlier call with the key has been recorded.
    """

    GRANTED = "granted"
    HELD = "held"
    REPLAY = "replay"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A caller's request head has been read."""

    now: float
    draw: int
    call: Call


@dataclass(frozen=True, slots=True)
class ClaimResolved:
    """The insertion of a claim row has ended (effect `InsertClaim`).

    `recorded` is the response to the earlier call if `outcome` is `REPLAY`, else None.
    """

    now: float
    draw: int
    call_id: int
    outcome: ClaimOutcome
    recorded: RecordedResponse | None = None


@dataclass(frozen=True, slots=True)
class ResponseHeadReceived:
    """A target's response head has been read.

    `not_run` is True if the target declares in a header that it shed the request
    without running it. `load` is the target's number of requests in flight, or None if
    the target does not report this number. `replayable` is True if the whole body
    received so far is still buffered, so that the request can be sent again.
    """

    now: float
    draw: int
    call_id: int
    attempt_id: int
    status: int
    not_run: bool = False
    load: float | None = None
    replayable: bool = True


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended before a response head arrived.

    `verdict` tells whether the request may have run. `replayable` is True if the whole
    body received so far is still buffered, so that the request can be sent again.
    """

    now: float
    draw: int
    call_id: int
    attempt_id: int
    outcome: AttemptOutcome
    verdict: Verdict
    replayable: bool


@dataclass(frozen=True, slots=True)
class CallEnded:
    """The forwarding of a response ended.

    `complete` is False if the target broke off the response or the deadline passed.
    `recorded` is the response to store in the call's claim row, or None if the call has
    no claim row or `complete` is False.
    """

    now: float
    call_id: int
    complete: bool
    recorded: RecordedResponse | None = None


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The deadline of a call passed before the forwarding of a response began."""

    now: float
    draw: int
    call_id: int


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection before the response was complete."""

    now: float
    call_id: int


@dataclass(frozen=True, slots=True)
class HedgeDue:
    """The hedge delay of a call has passed.

    `replayable` is True if the whole body received so far is still buffered, so that
    the request can be sent again.
    """

    now: float
    draw: int
    call_id: int
    replayable: bool


@dataclass(frozen=True, slots=True)
class TargetAnnounced:
    """A target on this host announced itself or renewed its announcement."""

    now: float
    target: Target


@dataclass(frozen=True, slots=True)
class TargetDrained:
    """A target on this host starts to drain, at its own or an operator's request."""

    now: float
    target_id: str


@dataclass(frozen=True, slots=True)
class TargetWithdrawn:
    """A target on this host has stopped, so its announcement was withdrawn."""

    now: float
    target_id: str


@dataclass(frozen=True, slots=True)
class MembersReceived:
    """Member records arrived from a peer."""

    now: float
    records: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message arrived from a peer.

    `addr` is the mesh address of the sender, or None for a request received over TCP,
    where that address is not known. `body` is an instance of a data class of
    `messages`. `is_reply` is True if the message is the reply to a message of this
    node.

    `rules_version` is the version in force at the sender, and `known_rules_version` the
    highest one that it knows of. `rules_confirmed` is True if the sender has verified
    its version since it booted, with the store or a peer whose version is confirmed.
    """

    now: float
    sender: str
    addr: tuple[str, int] | None
    body: object
    rules_version: int = 0
    known_rules_version: int = 0
    rules_confirmed: bool = False
    is_reply: bool = False


@dataclass(frozen=True, slots=True)
class RulesVersionReceived:
    """A peer or the store reported a rules version.

    `source` is the node id of the peer, "store", or "nobody". `confirmed` is True if
    the store reported the version.

    A node without a store creates this event itself when it looks for peers: version 0
    (no rules yet), confirmed, with the source "nobody". It does so once a peer has
    responded, or without a response if it has no other node to query.
    """

    now: float
    version: int
    source: str
    confirmed: bool = False


@dataclass(frozen=True, slots=True)
class RulesLoaded:
    """A rules text has been loaded and validated.

    `source` is the node id of the peer that sent the text, or "store".
    """

    now: float
    version: int
    text: str
    ruleset: RuleSet
    source: str


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A load probe ended; `load` is None if it failed.

    `load` is the number of requests in flight at the target. `sent_bytes` and
    `received_bytes` are the bytes sent and received on the probe's connection.
    """

    now: float
    target_id: str
    load: float | None
    sent_bytes: int
    received_bytes: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event, every `node.TICK_INTERVAL_S` seconds."""

    now: float
    draw: int


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was requested to stop."""

    now: float
