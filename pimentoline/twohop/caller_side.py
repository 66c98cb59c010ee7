"""pimentoline.twohop.caller_side: the calls of the callers on this node's host."""

import asyncio
import random
from dataclasses import dataclass

from ..logs import RateLimitedLog
from . import lifecycle as lc
from .frames import CallFrame, FailedFrame, RefusedFrame, ResponseFrame
from .model import MIN_FAILURE_STATUS
from .placement import CallRequirements, choose
from .retry_budget import RetryBudget
from .weighted_round_robin import WeightedRoundRobin

__all__ = ["CallerSide", "IncomingCall", "CallOutcome"]

MS = 1000.0
# A node that refused a call is avoided for the time it gave, up to this, seconds.
MAX_AVOID_S = 0.3
# Weight of the newest answer in the mean size of a route's answers.
SIZE_WEIGHT = 0.05


@dataclass(frozen=True, slots=True)
class IncomingCall:
    """A call as it was read from a caller.

    Attributes
    ----------
    path : str
        Path and query, as sent.
    headers : tuple of (str, str)
        Those that go on to the target.
    remaining_s : float or None
        How long the caller waits, seconds.
    """

    request_id: str
    method: str
    path: str
    headers: tuple
    body: bytes
    remaining_s: float | None
    arrived: float


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """How a call ended; `response` is a target's, None if it is our own."""

    status: int | None
    reason: str
    response: ResponseFrame | None = None
    body: bytes = b""
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class _Held:
    frame: ResponseFrame
    body: bytes


class _Running:
    """One call and its attempt in progress."""

    def __init__(self, side, incoming, call, respond):
        self.side = side
        self.incoming = incoming
        self.call = call
        self.respond = respond
        self.attempt = 0
        self.cancel_attempt = None
        self.timer = None

    def dispatch(self, event):
        """Carry out the effects of an event."""
        for effect in lc.step(self.call, event, self.side):
            match effect:
                case lc.Send():
                    self._send(effect)
                case lc.CancelAttempt():
                    self._cancel()
                case lc.Reply():
                    held = effect.answer
                    self._finish(
                        CallOutcome(held.frame.status, "", held.frame, held.body)
                    )
                case lc.Reject():
                    self._reject(effect)

    def _reject(self, effect):
        self.side.log.entry(
            "call:refused",
            request=self.incoming.request_id,
            route=self.call.route.name,
            service=self.call.service,
            status=effect.status,
            reason=effect.reason,
            asked=sorted(self.call.tried),
            attempts=self.call.attempts,
            verdict=self.call.verdict.value,
            age_ms=int((self.side.clock() - self.incoming.arrived) * MS),
        )
        self._finish(
            CallOutcome(effect.status, effect.reason, None, b"", effect.retry_after_s)
        )

    def _send(self, effect):
        side, call = self.side, self.call
        self.attempt += 1
        attempt = self.attempt
        if not effect.repeat and call.places == 1:
            side.budget(call.service).first(side.clock())

        def on_frame(frame, body):
            if attempt == self.attempt:
                self._frame(effect.candidate, frame, body)

        def on_stall():
            if attempt == self.attempt:
                self.dispatch(lc.AttemptStalled(side.clock()))

        cancel = side.peers.send(
            effect.candidate,
            lambda stream: self._frame_of(stream, effect.last_resort),
            self.incoming.body,
            on_frame,
            on_stall,
        )
        if attempt == self.attempt:
            self.cancel_attempt = cancel

    def _frame_of(self, stream, last_resort):
        call, incoming = self.call, self.incoming
        now = self.side.clock()
        return CallFrame(
            stream,
            call.service,
            incoming.method,
            incoming.path,
            incoming.headers,
            self.side.service,
            int((call.goal_at - now) * MS),
            int((call.deadline_at - now) * MS),
            call.route.priority,
            call.route.retryable,
            last_resort,
            len(incoming.body),
        )

    def _frame(self, candidate, frame, body):
        self.cancel_attempt = None
        now = self.side.clock()
        match frame:
            case ResponseFrame():
                if frame.status >= MIN_FAILURE_STATUS:
                    candidate.note_failure(now)
                else:
                    candidate.note_success()
                    self.side.note_answer(self.call.route, frame.body_bytes)
                self.dispatch(
                    lc.ResponseReceived(now, frame.status, _Held(frame, body))
                )
            case RefusedFrame():
                after_s = frame.retry_after_ms / MS
                candidate.refused_until = now + min(after_s, MAX_AVOID_S)
                self.dispatch(
                    lc.AttemptRefused(now, frame.reason, after_s, frame.at_target)
                )
            case FailedFrame():
                candidate.note_failure(now)
                self.dispatch(lc.AttemptFailed(now, frame.verdict, frame.reason))

    def _cancel(self):
        self.attempt += 1
        cancel, self.cancel_attempt = self.cancel_attempt, None
        if cancel is not None:
            cancel()

    def _finish(self, outcome):
        if self.timer is not None:
            self.timer.cancel()
        self.side.open_calls.discard(self)
        self.respond(outcome)


class CallerSide:
    """Routes calls, places them and ends each with one outcome.

    Parameters
    ----------
    service : str
        Service of the target on this host, which its own calls come from.
    location : Location
    peers : Peers
    config : object
        `current`, the `Configuration` in force or None.
    limits : RetryLimits
    clock : callable
        Monotonic clock, seconds.
    """

    def __init__(self, service, location, peers, config, limits, clock):
        self.service = service
        self.location = location
        self.peers = peers
        self.config = config
        self.limits = limits
        self.clock = clock
        self.log = RateLimitedLog(clock)
        self.open_calls = set()
        self._budgets = {}
        self._splits = WeightedRoundRobin()
        self._answer_bytes = {}
        self._random = random.Random()

    def set_retry_limits(self, limits):
        """Take changed limits of repeats; what was counted stays counted."""
        self.limits = limits
        for budget in self._budgets.values():
            budget.set_limits(limits)

    def budget(self, service):
        """Return the budget of repeats to a service."""
        found = self._budgets.get(service)
        if found is None:
            found = RetryBudget(self.limits)
            self._budgets[service] = found
        return found

    # What `lifecycle.step` asks of the world.

    def choose(self, call, now):
        """Return the best candidate that has not been asked, or None."""
        return choose(
            self.peers.candidates(call.service),
            self.location,
            now,
            CallRequirements(call.goal_at, call.size),
            call.tried,
            self._random.random(),
        )

    def note_answer(self, route, size):
        """Take the size of an answer into the mean of its route, bytes."""
        before = self._answer_bytes.get(route.name, size)
        self._answer_bytes[route.name] = before + SIZE_WEIGHT * (size - before)

    def acquire_retry(self, service, now):
        """Take a repeat from the budget, if there is room."""
        return self.budget(service).take(now, len(self.peers.members))

    # Calls.

    def submit(self, route, incoming, respond):
        """Begin a call; return the function to call when its caller leaves.

        Parameters
        ----------
        route : Route
        incoming : IncomingCall
        respond : callable
            Called once with the `CallOutcome`.
        """
        remaining_s = route.timeout_s
        if incoming.remaining_s is not None:
            remaining_s = min(remaining_s, incoming.remaining_s)
        call = lc.Call(
            route,
            self._splits.next(route),
            incoming.arrived + route.goal_s,
            incoming.arrived + remaining_s,
            len(incoming.body) + int(self._answer_bytes.get(route.name, 0)),
        )
        running = _Running(self, incoming, call, respond)
        self.open_calls.add(running)
        now = self.clock()
        if call.deadline_at <= now:
            running.dispatch(lc.TimedOut(now))
            return lambda: None
        loop = asyncio.get_running_loop()
        running.timer = loop.call_later(
            call.deadline_at - now, lambda: running.dispatch(lc.TimedOut(self.clock()))
        )
        running.dispatch(lc.CallReceived(now))
        return lambda: running.dispatch(lc.CallerDisconnected(self.clock()))

    def abort(self):
        """End every open call, because the process must stop now."""
        for running in list(self.open_calls):
            running.dispatch(lc.TimedOut(self.clock()))
