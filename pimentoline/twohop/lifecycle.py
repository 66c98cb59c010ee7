"""pimentoline.twohop.lifecycle: the one reducer of a call at its caller's node.

`step(call, event, world)` returns the effects of an event. Sending a call to a
second target needs proof that the first has not run it, or a call that may be
repeated and room in the budget.
"""

from dataclasses import dataclass, field

from ..verdict import Verdict
from .model import MIN_FAILURE_STATUS, Route

__all__ = [
    "ResponseReceived",
    "CallReceived",
    "AttemptFailed",
    "Call",
    "CancelAttempt",
    "CallerDisconnected",
    "AttemptRefused",
    "Reject",
    "Reply",
    "Send",
    "AttemptStalled",
    "TimedOut",
    "step",
]

# Nodes that are asked before a call is refused, besides the last resort.
MAX_PLACES = 4
# A call is not sent again with less of its time left than this, seconds.
MIN_REPEAT_S = 0.03
DEFAULT_RETRY_AFTER_S = 0.1


@dataclass(slots=True, eq=False)
class Call:
    """State of one call.

    Attributes
    ----------
    goal_at, deadline_at : float
        Monotonic times, seconds.
    size : int
        Bytes of the call and, as far as known, of its answer.
    tried : set of str
        Nodes that are not asked again.
    attempts : int
        Sendings that may have reached a target.
    """

    route: Route
    service: str
    goal_at: float
    deadline_at: float
    size: int = 0
    tried: set = field(default_factory=set)
    attempts: int = 0
    places: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    current: object = None
    last_resort: bool = False
    retry_after_s: float | None = None
    least: object = None
    held: object = None
    ended: bool = False


@dataclass(frozen=True, slots=True)
class CallReceived:
    """The call has been read."""

    now: float


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """The target's node, or the target with proof, has not run the call."""

    now: float
    reason: str
    retry_after_s: float
    at_target: bool = False


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The attempt ended without a usable answer."""

    now: float
    verdict: Verdict
    reason: str


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """The target gave a whole answer; `answer` is passed on as it is."""

    now: float
    status: int
    answer: object


@dataclass(frozen=True, slots=True)
class AttemptStalled:
    """Nothing is heard from the target's node; the answer may still come."""

    now: float


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The caller's deadline or the route's timeout has come."""

    now: float


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller has gone."""

    now: float


@dataclass(frozen=True, slots=True)
class Send:
    """Send the call to a candidate."""

    candidate: object
    last_resort: bool
    repeat: bool


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Withdraw the attempt in progress."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Pass an answer of a target on."""

    answer: object


@dataclass(frozen=True, slots=True)
class Reject:
    """End the call with an answer of our own; None as status: just end it."""

    status: int | None
    reason: str
    retry_after_s: float | None = None


def step(call, event, world):
    """Return the effects of an event on a call.

    Parameters
    ----------
    call : Call
        Changed in place.
    event : object
        One of the event classes of this module.
    world : object
        `choose(call, now)` returns a candidate that has not been asked, or None;
        `acquire_retry(service, now)` takes a repeat from the budget.
    """
    if call.ended:
        return []
    match event:
        case CallReceived():
            return _place(call, event.now, world, False)
        case AttemptRefused():
            return _refused(call, event, world)
        case AttemptFailed():
            return _broken(call, event, world)
        case ResponseReceived():
            return _answered(call, event, world)
        case AttemptStalled():
            return _stalled(call, event.now, world)
        case TimedOut():
            call.ended = True
            return [CancelAttempt(), _timeout(call)]
        case CallerDisconnected():
            call.ended = True
            return [CancelAttempt(), Reject(None, "caller-left")]
    raise TypeError(f"unknown event {event!r:.80}")


def _timeout(call):
    if call.held is not None:
        return Reply(call.held)
    return Reject(504, "timeout")


def _place(call, now, world, repeat):
    found = world.choose(call, now)
    if found is None or call.places >= MAX_PLACES:
        return _last_resort(call, now, repeat)
    return _send(call, found, False, repeat)


def _send(call, candidate, last_resort, repeat):
    call.current = candidate
    call.places += 1
    call.tried.add(candidate.member.node)
    call.last_resort = last_resort
    return [Send(candidate, last_resort, repeat)]


def _last_resort(call, now, repeat):
    """Ask the node with the shortest wait to take the call even if it is late."""
    least, call.least = call.least, None
    if least is not None and least.reachable and not call.last_resort:
        return _send(call, least, True, repeat)
    return _give_up(call, "no-room" if call.places else "no-target")


def _give_up(call, reason):
    call.ended = True
    if call.held is not None:
        return [Reply(call.held)]
    if call.verdict is not Verdict.NOT_RUN:
        return [Reject(502, reason)]
    after = call.retry_after_s
    return [Reject(503, reason, DEFAULT_RETRY_AFTER_S if after is None else after)]


def _refused(call, event, world):
    best = call.retry_after_s
    if best is None or event.retry_after_s < best:
        call.retry_after_s = event.retry_after_s
        call.least = call.current
    if event.at_target:
        # The target itself turned it away: that was an arrival there.
        call.attempts += 1
        if not _may_repeat(call, event.now, world):
            return _give_up(call, event.reason)
        return _place(call, event.now, world, True)
    if call.last_resort:
        return _give_up(call, event.reason)
    return _place(call, event.now, world, call.attempts > 0)


def _may_repeat(call, now, world):
    if call.attempts >= call.route.max_attempts:
        return False
    if call.deadline_at - now < MIN_REPEAT_S:
        return False
    return world.acquire_retry(call.service, now)


def _broken(call, event, world):
    if event.verdict is Verdict.NOT_RUN:
        return _place(call, event.now, world, call.attempts > 0)
    call.attempts += 1
    call.verdict = event.verdict
    if call.route.retryable and _may_repeat(call, event.now, world):
        return _place(call, event.now, world, True)
    return _give_up(call, event.reason)


def _stalled(call, now, world):
    """Repeat a call elsewhere if that is allowed; otherwise go on waiting."""
    if not call.route.retryable or call.places >= MAX_PLACES:
        return []
    found = world.choose(call, now)
    if found is None:
        return []
    call.attempts += 1
    if not _may_repeat(call, now, world):
        call.attempts -= 1
        return []
    call.verdict = Verdict.MAY_HAVE_RUN
    return [CancelAttempt(), *_send(call, found, False, True)]


def _answered(call, event, world):
    if event.status >= MIN_FAILURE_STATUS and call.route.retryable:
        call.attempts += 1
        call.verdict = Verdict.RAN
        if _may_repeat(call, event.now, world):
            call.held = event.answer
            return _place(call, event.now, world, True)
    call.ended = True
    return [Reply(event.answer)]
