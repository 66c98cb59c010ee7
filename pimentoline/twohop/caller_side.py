"""pimentoline.twohop.caller_side: sends the calls of the callers on this host.

Besides its deadline, a call has a latency objective, the time by which its response
should arrive. A verdict tells whether a target may have run the call.
"""

import asyncio
import random
from dataclasses import dataclass

from ..headers import is_final_status
from ..logs import RateLimitedLog
from ..verdict import Verdict
from . import lifecycle as lc
from .frames import CallFrame, FailedFrame, RefusedFrame, ResponseFrame
from .model import MIN_FAILURE_STATUS
from .placement import CallRequirements, choose
from .retry_budget import RetryBudget
from .weighted_round_robin import WeightedRoundRobin

__all__ = ["CallOutcome", "CallerSide", "IncomingCall"]

MS_PER_S = 1000.0
# A node that refused a call is avoided for the retry-after time of the refusal, at most
# this long, seconds.
MAX_AVOIDANCE_S = 0.3
# Weight of the newest response in the moving average of a route's response sizes.
MEAN_SIZE_WEIGHT = 0.05


@dataclass(frozen=True, slots=True)
class IncomingCall:
    """A request that was read from a caller.

    Attributes
    ----------
    path : str
        Path and query string, as sent.
    headers : tuple of (str, str)
        Names and values of the headers to forward to the target.
    body : bytes or Body
    remaining_s : float or None
        Time from arrival to the caller's deadline, seconds; None without a deadline.
    arrived_at : float
        When the head of the request was read, monotonic time in seconds.
    """

    request_id: str
    method: str
    path: str
    headers: tuple
    body: object
    remaining_s: float | None
    arrived_at: float


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """How a call ended.

    Attributes
    ----------
    status : int or None
        HTTP status; None if the caller gets no response.
    reason : str
        Error code if this node ends the call itself, otherwise empty.
    response : ResponseFrame or None
        The target's response; None if this node ends the call itself.
    body : bytes or Body
        Body of the target's response.
    retry_after_s : float or None
        Time after which the caller may retry, seconds.
    """

    status: int | None
    reason: str
    response: ResponseFrame | None = None
    body: object = b""
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class _TargetResponse:
    """A target's response, which `lifecycle` passes on without reading it."""

    frame: ResponseFrame
    body: object


class _ActiveCall:
    """An open call and its attempts.

    Attributes
    ----------
    attempt_number : int
        Identifies the current attempt; callbacks of earlier attempts are ignored.
    cancel_attempt : callable or None
        Cancels the current attempt.
    stalled_number, cancel_stalled : int or None, callable or None
        The same for an earlier attempt that is open, because its link went silent.
    deadline_timer : asyncio.TimerHandle or None
    """

    def __init__(self, caller_side, incoming, call, respond):
        self.caller_side = caller_side
        self.incoming = incoming
        self.call = call
        self.respond = respond
        self.attempt_number = 0
        self.cancel_attempt = None
        self.stalled_number = None
        self.cancel_stalled = None
        self.deadline_timer = None

    def dispatch(self, event):
        """Pass an event to the state machine and carry out its effects."""
        for effect in lc.step(self.call, event, self.caller_side):
            match effect:
                case lc.Send():
                    self._send(effect)
                case lc.KeepAttempt():
                    self._keep_attempt(effect.candidate)
                case lc.CancelAttempts():
                    self._cancel()
                case lc.Reply():
                    response = effect.response
                    self._finish(
                        CallOutcome(
                            response.frame.status, "", response.frame, response.body
                        )
                    )
                case lc.Reject():
                    self._reject(effect)

    def _reject(self, effect):
        self.caller_side.log.entry(
            "call:refused",
            request=self.incoming.request_id,
            route=self.call.route.name,
            service=self.call.service,
            status=effect.status,
            reason=effect.reason,
            asked=sorted(self.call.tried),
            attempts=self.call.attempts,
            verdict=self.call.verdict.value,
            age_ms=int(
                (self.caller_side.clock() - self.incoming.arrived_at) * MS_PER_S
            ),
        )
        self._finish(
            CallOutcome(effect.status, effect.reason, None, b"", effect.retry_after_s)
        )

    def _send(self, effect):
        """Send the call to the candidate of a `Send` effect.

        `last_resort` requests the candidate's node to accept the call even if its
        response will miss the latency objective.
        """
        caller_side, call = self.caller_side, self.call
        self.attempt_number += 1
        number = self.attempt_number
        # `placements` counts how often the call was sent to a node. A refused call that
        # is sent to another node is still the same first attempt.
        if not effect.retry and call.placements == 1:
            caller_side.retry_budget(call.service).count_first_attempt(
                caller_side.clock()
            )

        def on_frame(frame, body):
            if number in (self.attempt_number, self.stalled_number):
                self._handle_frame(number, effect.candidate, frame, body)

        def on_stall():
            if number == self.attempt_number:
                self.dispatch(lc.AttemptStalled(caller_side.clock()))

        cancel = caller_side.peers.send(
            effect.candidate,
            lambda stream: self._make_call_frame(stream, effect.last_resort),
            self.incoming.body,
            on_frame,
            on_stall,
        )
        # The target on this host may refuse the call within `send`; the call is then
        # already at its next attempt.
        if number == self.attempt_number:
            self.cancel_attempt = cancel

    def _make_call_frame(self, stream, last_resort):
        call, incoming = self.call, self.incoming
        now = self.caller_side.clock()
        return CallFrame(
            stream,
            call.service,
            incoming.method,
            incoming.path,
            incoming.headers,
            self.caller_side.service,
            int((call.objective_at - now) * MS_PER_S),
            int((call.deadline_at - now) * MS_PER_S),
            call.route.priority,
            call.route.retryable,
            last_resort,
            len(incoming.body),
        )

    def _handle_frame(self, number, candidate, frame, body):
        stalled = number == self.stalled_number
        if stalled:
            self.stalled_number = self.cancel_stalled = None
        else:
            self.cancel_attempt = None
        now = self.caller_side.clock()
        if isinstance(frame, ResponseFrame) and not is_final_status(frame.status):
            # A node of an earlier version passes on any status that a target sends.
            self.caller_side.log.entry(
                "call:status-invalid",
                request=self.incoming.request_id,
                node=candidate.member.node,
                status=frame.status,
            )
            frame = FailedFrame(
                frame.stream, "target-broken", Verdict.MAY_HAVE_RUN, frame.load
            )
        match frame:
            case ResponseFrame():
                if frame.status >= MIN_FAILURE_STATUS:
                    candidate.note_failure(now)
                else:
                    candidate.note_success()
                    self.caller_side.record_response_size(
                        self.call.route, frame.body_bytes
                    )
                self.dispatch(
                    lc.ResponseReceived(
                        now, frame.status, _TargetResponse(frame, body), stalled
                    )
                )
            case RefusedFrame():
                retry_after_s = frame.retry_after_ms / MS_PER_S
                candidate.refused_until = now + min(retry_after_s, MAX_AVOIDANCE_S)
                self.dispatch(
                    lc.AttemptRefused(
                        now, frame.reason, retry_after_s, frame.by_target, stalled
                    )
                )
            case FailedFrame():
                candidate.note_failure(now)
                self.dispatch(
                    lc.AttemptFailed(now, frame.verdict, frame.reason, stalled)
                )

    def _keep_attempt(self, candidate):
        """Keep the attempt at a candidate open, since its link may only be slow."""
        self.caller_side.log.entry(
            "call:stalled",
            request=self.incoming.request_id,
            node=candidate.member.node,
        )
        self.stalled_number = self.attempt_number
        self.cancel_stalled, self.cancel_attempt = self.cancel_attempt, None

    def _cancel(self):
        self.attempt_number += 1
        self.stalled_number = None
        cancels = self.cancel_attempt, self.cancel_stalled
        self.cancel_attempt = self.cancel_stalled = None
        for cancel in cancels:
            if cancel is not None:
                cancel()

    def _finish(self, outcome):
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        self.caller_side.active_calls.discard(self)
        self.respond(outcome)


class CallerSide:
    """Sends each call to a target's node and ends it with exactly one outcome.

    Parameters
    ----------
    service : str
        Service of the target on this host, which is the service that calls come from.
    location : Location
    peers : Peers
    config : ConfigHolder or None
        Stored, but not used; the emulator in `bench` passes None.
    retry_limits : RetryLimits
    clock : callable
        Monotonic clock, seconds.
    """

    def __init__(self, service, location, peers, config, retry_limits, clock):
        self.service = service
        self.location = location
        self.peers = peers
        self.config = config
        self.retry_limits = retry_limits
        self.clock = clock
        self.log = RateLimitedLog(clock)
        self.active_calls = set()
        self._retry_budgets = {}
        # Chooses the service of a call; a route may split its calls between services.
        self._round_robin = WeightedRoundRobin()
        self._mean_response_bytes = {}
        self._random = random.Random()

    def set_retry_limits(self, retry_limits):
        """Apply changed limits; retries counted so far still count."""
        self.retry_limits = retry_limits
        for budget in self._retry_budgets.values():
            budget.set_limits(retry_limits)

    def retry_budget(self, service):
        """Return the retry budget of a service."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.retry_limits)
            self._retry_budgets[service] = budget
        return budget

    # This object is the `environment` of `lifecycle.step`, which calls `choose` and
    # `acquire_retry`.

    def choose(self, call, now):
        """Return the best candidate that has not been tried, or None.

        `call.size` is the size of the body plus the expected size of the response.
        """
        return choose(
            self.peers.candidates(call.service),
            self.location,
            now,
            CallRequirements(call.objective_at, call.size),
            call.tried,
            self._random.random(),
        )

    def record_response_size(self, route, size):
        """Update the moving average of a route's response sizes, in bytes."""
        mean = self._mean_response_bytes.get(route.name, size)
        self._mean_response_bytes[route.name] = mean + MEAN_SIZE_WEIGHT * (size - mean)

    def acquire_retry(self, service, now):
        """Take a retry from the service's budget; return whether one was left.

        A part of the budget is shared equally by all nodes, so it depends on their
        number. Members out of reach count: they may be serving calls behind a cut link.
        """
        return self.retry_budget(service).try_acquire(now, len(self.peers.members))

    def submit(self, route, incoming, respond):
        """Start a call; return the function to call when its caller disconnects.

        Parameters
        ----------
        route : Route
        incoming : IncomingCall
        respond : callable
            Called exactly once with the `CallOutcome`.
        """
        remaining_s = route.timeout_s
        if incoming.remaining_s is not None:
            remaining_s = min(remaining_s, incoming.remaining_s)
        call = lc.Call(
            route,
            self._round_robin.next_service(route),
            incoming.arrived_at + route.objective_s,
            incoming.arrived_at + remaining_s,
            len(incoming.body) + int(self._mean_response_bytes.get(route.name, 0)),
        )
        active = _ActiveCall(self, incoming, call, respond)
        self.active_calls.add(active)
        now = self.clock()
        if call.deadline_at <= now:
            active.dispatch(lc.TimedOut(now))
            return lambda: None
        loop = asyncio.get_running_loop()
        active.deadline_timer = loop.call_later(
            call.deadline_at - now, lambda: active.dispatch(lc.TimedOut(self.clock()))
        )
        active.dispatch(lc.CallReceived(now))
        return lambda: active.dispatch(lc.CallerDisconnected(self.clock()))

    def abort(self):
        """Time out every open call, since the process is about to exit."""
        for active in list(self.active_calls):
            active.dispatch(lc.TimedOut(self.clock()))
