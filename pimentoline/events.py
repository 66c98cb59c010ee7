"""pimentoline.events: everything that can happen to a node, as data.

`now` is the node's monotonic clock in seconds; `draw` is a random 64-bit integer.
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
    "ClaimAnswered",
    "ClaimOutcome",
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
    """How an attempt ended without an answer.

    `SILENT` is a timeout on a connection that was used before: the connection may
    be at fault, not the target.
    """

    REFUSED = "refused"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    SILENT = "silent"


class ClaimOutcome(enum.Enum):
    """The store's word on an idempotency claim."""

    GRANTED = "granted"
    HELD = "held"
    REPLAY = "replay"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A caller's request head was read."""

    now: float
    draw: int
    call: Call


@dataclass(frozen=True, slots=True)
class ClaimAnswered:
    """The store answered an `InsertClaim`; `recorded` comes with `REPLAY`."""

    now: float
    draw: int
    call_id: int
    outcome: ClaimOutcome
    recorded: RecordedResponse | None = None


@dataclass(frozen=True, slots=True)
class ResponseHeadReceived:
    """A target answered with a response head.

    `not_run` is the target's own contract word that it shed the request;
    `load` is its requests in flight, or None if it did not say.
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
    """An attempt ended before a response head; `verdict` says if it may have run."""

    now: float
    draw: int
    call_id: int
    attempt_id: int
    outcome: AttemptOutcome
    verdict: Verdict
    replayable: bool


@dataclass(frozen=True, slots=True)
class CallEnded:
    """The answering attempt finished; `whole` is False if the answer was cut.

    `recorded` is the outcome to keep in the claim row of a keyed call.
    """

    now: float
    call_id: int
    whole: bool
    recorded: RecordedResponse | None = None


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The deadline of a call passed before an answer was passed on."""

    now: float
    draw: int
    call_id: int


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection before the answer was complete."""

    now: float
    call_id: int


@dataclass(frozen=True, slots=True)
class HedgeDue:
    """The hedge delay of a call has passed."""

    now: float
    draw: int
    call_id: int
    replayable: bool


@dataclass(frozen=True, slots=True)
class TargetAnnounced:
    """The target on this host announced itself or renewed its announcement."""

    now: float
    target: Target


@dataclass(frozen=True, slots=True)
class TargetDrained:
    """The target on this host asked for, or was ordered to, drain."""

    now: float
    target_id: str


@dataclass(frozen=True, slots=True)
class TargetWithdrawn:
    """The target on this host has stopped."""

    now: float
    target_id: str


@dataclass(frozen=True, slots=True)
class MembersReceived:
    """Records of members arrived from a peer."""

    now: float
    records: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message arrived from a peer.

    `addr` is the mesh address of the sender, or None if it is not known; `body` is a
    data class of `messages`; `is_reply` says that this node asked for the message.
    The other fields are those of `messages.Message`.
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
    """A peer or the store named a rules version.

    `confirmed` is True if the answer is the store's, or if there is nobody to ask.
    """

    now: float
    version: int
    source: str
    confirmed: bool = False


@dataclass(frozen=True, slots=True)
class RulesLoaded:
    """A validated rules text arrived."""

    now: float
    version: int
    text: str
    ruleset: RuleSet
    source: str


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe was answered, or failed if `load` is None.

    `sent_bytes` and `received_bytes` were metered on its connection.
    """

    now: float
    target_id: str
    load: float | None
    sent_bytes: int
    received_bytes: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event, ten times a second."""

    now: float
    draw: int


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was told to stop."""

    now: float
