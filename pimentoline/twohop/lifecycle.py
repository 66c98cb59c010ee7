"""pimentoline.twohop.lifecycle: state machine of a call at its caller's node.

`step(call, event, environment)` updates the call and returns the effects of an event.
A call goes to a second target only if it is proven that the first has not run it, or
if its route is retryable and the retry budget is not used up. If a call is retried
because the link of its attempt is silent, that attempt stays open, and the first
response of the two is used.
"""

from dataclasses import dataclass, field

from ..verdict import Verdict
from .model import MIN_FAILURE_STATUS, Route

__all__ = [
    "AttemptFailed",
    "AttemptRefused",
    "AttemptStalled",
    "Call",
    "CallReceived",
    "CallerDisconnected",
    "CancelAttempts",
    "KeepAttempt",
    "Reject",
    "Reply",
    "ResponseReceived",
    "Send",
    "TimedOut",
    "step",
]

# Maximum number of nodes that a call is sent to, not counting the last resort: after
# that many nodes, or if no other node is left, the call is sent again to a node that
# refused it. That node now accepts it even if its response will miss the latency
# objective, but may still refuse it for another reason, such as the deadline.
MAX_PLACEMENTS = 4
# A call with less time than this until its deadline is not retried, seconds.
MIN_RETRY_TIME_S = 0.03
# Retry-After of a rejected call if no node gave one.
DEFAULT_RETRY_AFTER_S = 0.1


@dataclass(slots=True, eq=False)
class Call:
    """State of one call.

    Attributes
    ----------
    objective_at, deadline_at : float
        Monotonic times of the latency objective and of the deadline, seconds.
    size : int
        Body size of the call plus the expected size of its response, bytes.
    tried : set of str
        Names of the nodes that the call was sent to.
    attempts : int
        Attempts that may have reached a target.
    placements : int
        Times that the call was sent to a node, refused ones included.
    verdict : Verdict
        What is known about whether a target has run the call.
    current_candidate : Candidate or None
        Where the call was sent last.
    waits_for_current, waits_for_stalled : bool
        Whether the current attempt, and an earlier one whose link went silent, are
        open.
    last_resort : bool
        Whether the current attempt is accepted even if its response will miss the
        latency objective. It may still be refused for another reason.
    retry_after_s : float or None
        Shortest retry-after time of the refusals of the call, seconds.
    last_resort_candidate : Candidate or None
        Candidate of the node that gave `retry_after_s`.
    held_response : object
        Failure response of a target, passed on if no retry gives a better one.
    """

    route: Route
    service: str
    objective_at: float
    deadline_at: float
    size: int = 0
    tried: set = field(default_factory=set)
    attempts: int = 0
    placements: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    current_candidate: object = None
    waits_for_current: bool = False
    waits_for_stalled: bool = False
    last_resort: bool = False
    retry_after_s: float | None = None
    last_resort_candidate: object = None
    held_response: object = None
    ended: bool = False


@dataclass(frozen=True, slots=True)
class CallReceived:
    """The request has been read completely."""

    now: float


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """The call was refused and has not run.

    The target's node refused it, or the target itself responded that it has not run the
    call (`by_target`). `stalled` tells whether this is the outcome of the stalled
    attempt, here and in the other outcomes.
    """

    now: float
    reason: str
    retry_after_s: float
    by_target: bool = False
    stalled: bool = False


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The attempt ended without a usable response."""

    now: float
    verdict: Verdict
    reason: str
    stalled: bool = False


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """The target sent a complete response; `response` is not interpreted here."""

    now: float
    status: int
    response: object
    stalled: bool = False


@dataclass(frozen=True, slots=True)
class AttemptStalled:
    """The target's node has not replied to a ping; the response may still come."""

    now: float


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The caller's deadline or the route's timeout has passed."""

    now: float


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller has closed its connection."""

    now: float


@dataclass(frozen=True, slots=True)
class Send:
    """Send the call to a candidate.

    Attributes
    ----------
    candidate : Candidate
    last_resort : bool
        Whether the candidate's node accepts the call even if its response will miss the
        latency objective. It may still refuse the call for another reason.
    retry : bool
        Whether an earlier attempt may have reached a target.
    """

    candidate: object
    last_resort: bool
    retry: bool


@dataclass(frozen=True, slots=True)
class KeepAttempt:
    """Keep the attempt at a candidate open as the stalled one, beside the next one."""

    candidate: object


@dataclass(frozen=True, slots=True)
class CancelAttempts:
    """Cancel all attempts that are open."""


@dataclass(frozen=True, slots=True)
class Reply:
    """Pass a target's response on to the caller."""

    response: object


@dataclass(frozen=True, slots=True)
class Reject:
    """End the call with an error response of this node.

    Attributes
    ----------
    status : int or None
        HTTP status; if it is None, no response is sent.
    reason : str
        Error code.
    retry_after_s : float or None
        Time after which the caller may retry, seconds.
    """

    status: int | None
    reason: str
    retry_after_s: float | None = None


def step(call, event, environment):
    """Update a call after an event and return the effects to carry out.

    Parameters
    ----------
    call : Call
        Changed in place.
    event : object
        `CallReceived`, `AttemptRefused`, `AttemptFailed`, `ResponseReceived`,
        `AttemptStalled`, `TimedOut` or `CallerDisconnected`.
    environment : object
        Has two methods: `choose(call, now)` returns a candidate that has not been
        tried, or None; `acquire_retry(service, now)` takes a retry from the budget and
        returns whether there was one.

    Returns
    -------
    list of Send, KeepAttempt, CancelAttempts, Reply or Reject
    """
    if call.ended:
        return []
    match event:
        case AttemptRefused() | AttemptFailed() | ResponseReceived():
            return _on_outcome(call, event, environment)
        case CallReceived():
            return _place_call(call, event.now, environment, False)
        case AttemptStalled():
            return _on_stalled(call, event.now, environment)
        case TimedOut():
            call.ended = True
            return [CancelAttempts(), _timeout_effect(call)]
        case CallerDisconnected():
            call.ended = True
            return [CancelAttempts(), Reject(None, "caller-left")]
    raise TypeError(f"unknown event {event!r:.80}")


def _on_outcome(call, event, environment):
    if event.stalled:
        call.waits_for_stalled = False
        # Counted again below if the attempt reached the target.
        call.attempts -= 1
    else:
        call.waits_for_current = False
    match event:
        case AttemptRefused():
            return _on_refused(call, event, environment)
        case AttemptFailed():
            return _on_failed(call, event, environment)
        case ResponseReceived():
            return _on_response(call, event, environment)


def _timeout_effect(call):
    if call.held_response is not None:
        return Reply(call.held_response)
    return Reject(504, "timeout")


def _place_call(call, now, environment, retry):
    candidate = environment.choose(call, now)
    if candidate is None or call.placements >= MAX_PLACEMENTS:
        return _use_last_resort(call, now, retry)
    return _send_to(call, candidate, False, retry)


def _send_to(call, candidate, last_resort, retry):
    call.current_candidate = candidate
    call.waits_for_current = True
    call.placements += 1
    call.tried.add(candidate.member.node)
    call.last_resort = last_resort
    return [Send(candidate, last_resort, retry)]


def _use_last_resort(call, now, retry):
    """Send the call to `last_resort_candidate` even if it will be late, or end it."""
    candidate, call.last_resort_candidate = call.last_resort_candidate, None
    if candidate is not None and candidate.reachable and not call.last_resort:
        return _send_to(call, candidate, True, retry)
    return _give_up(call, "no-room" if call.placements else "no-target")


def _give_up(call, reason):
    """End the call, unless its stalled attempt may still give a response."""
    if call.waits_for_stalled:
        return []
    call.ended = True
    if call.held_response is not None:
        return [Reply(call.held_response)]
    if call.verdict is not Verdict.NOT_RUN:
        return [Reject(502, reason)]
    after_s = call.retry_after_s
    return [Reject(503, reason, DEFAULT_RETRY_AFTER_S if after_s is None else after_s)]


def _on_refused(call, event, environment):
    shortest_s = call.retry_after_s
    if shortest_s is None or event.retry_after_s < shortest_s:
        call.retry_after_s = event.retry_after_s
        if not event.stalled:
            call.last_resort_candidate = call.current_candidate
    if event.by_target:
        # The call reached the target, so it counts as an attempt.
        call.attempts += 1
    if call.waits_for_current:
        return []
    if event.by_target:
        if not _acquire_retry(call, event.now, environment):
            return _give_up(call, event.reason)
        return _place_call(call, event.now, environment, True)
    if call.last_resort:
        return _give_up(call, event.reason)
    return _place_call(call, event.now, environment, call.attempts > 0)


def _acquire_retry(call, now, environment):
    if call.attempts >= call.route.max_attempts:
        return False
    if call.deadline_at - now < MIN_RETRY_TIME_S:
        return False
    return environment.acquire_retry(call.service, now)


def _on_failed(call, event, environment):
    not_run = event.verdict is Verdict.NOT_RUN
    if not not_run:
        call.attempts += 1
        call.verdict = event.verdict
    if call.waits_for_current:
        return []
    if not_run:
        return _place_call(call, event.now, environment, call.attempts > 0)
    if call.route.retryable and _acquire_retry(call, event.now, environment):
        return _place_call(call, event.now, environment, True)
    return _give_up(call, event.reason)


def _on_stalled(call, now, environment):
    """Retry a call elsewhere as well, if that is allowed.

    The silence does not show that the target has stopped working on the call, so the
    stalled attempt is not cancelled before another response has arrived.
    """
    if not call.route.retryable or call.placements >= MAX_PLACEMENTS:
        return []
    if call.waits_for_stalled or not call.waits_for_current:
        return []
    stalled_candidate = call.current_candidate
    candidate = environment.choose(call, now)
    if candidate is None:
        return []
    # The stalled attempt counts against `max_attempts` until its outcome is known.
    call.attempts += 1
    if not _acquire_retry(call, now, environment):
        call.attempts -= 1
        return []
    call.waits_for_stalled = True
    return [KeepAttempt(stalled_candidate), *_send_to(call, candidate, False, True)]


def _on_response(call, event, environment):
    is_failure = event.status >= MIN_FAILURE_STATUS
    if is_failure and call.route.retryable:
        call.attempts += 1
        call.verdict = Verdict.RAN
        if call.waits_for_current or call.waits_for_stalled:
            call.held_response = event.response
            return []
        if _acquire_retry(call, event.now, environment):
            call.held_response = event.response
            return _place_call(call, event.now, environment, True)
    call.ended = True
    if call.waits_for_current or call.waits_for_stalled:
        return [CancelAttempts(), Reply(event.response)]
    return [Reply(event.response)]
