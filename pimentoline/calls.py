"""pimentoline.calls: handling of a call from its arrival to the end of its response.

Each event handler returns the new state and a tuple of effects.
"""

from . import claims, retries, routing, traffic_stats
from .effects import (
    CancelAttempt,
    FinishClaim,
    ForwardResponse,
    IncrementCounter,
    RejectCall,
    ReleaseClaim,
    ScheduleHedge,
    StartAttempt,
)
from .events import AttemptOutcome
from .fast_replace import replace
from .model import Attempt, CallPhase, CallRecord, ServiceStats
from .verdict import Verdict, combine

__all__ = [
    "on_arrived",
    "on_attempt_ended",
    "on_call_ended",
    "on_caller_disconnected",
    "on_claim_resolved",
    "on_deadline_passed",
    "on_hedge_due",
    "on_response_head",
]


# Time reserved for the node's own error response before the caller's deadline, at most
# a tenth of the remaining time.
RESPONSE_MARGIN_S = 0.05


def _with_call(state, record):
    """Return the state with a call record, and with the call counted if it is new."""
    traffic = state.traffic
    call = record.call
    services = traffic.services
    if call.call_id not in traffic.calls:
        stats = services.get(call.req.service) or ServiceStats()
        stats = replace(stats, **traffic_stats.call_started_changes(stats, call.req))
        services = services.set(call.req.service, stats)
    calls = traffic.calls.set(call.call_id, record)
    return replace(state, traffic=replace(traffic, calls=calls, services=services))


def _with_attempt(state, record):
    """Return the state with a call record and its last attempt counted as started."""
    traffic = state.traffic
    call, services = record.call, traffic.services
    req = call.req
    if len(record.attempts) == 1:
        policy = state.rules.ruleset.call_policy(req.service, req.method, req.path)
        stats = services.get(req.service) or ServiceStats()
        changes = retries.first_attempt_changes(stats, policy.retry_share)
        if call.call_id not in traffic.calls:
            changes |= traffic_stats.call_started_changes(stats, req)
        services = services.set(req.service, replace(stats, **changes))
    traffic = replace(
        traffic,
        calls=traffic.calls.set(call.call_id, record),
        services=services,
        targets=traffic_stats.begin_attempt(traffic.targets, record.attempts[-1]),
        next_attempt_id=traffic.next_attempt_id + 1,
    )
    return replace(state, traffic=traffic)


def _without_call(state, call_id, attempt=None, complete=False):
    """Return the state without a call, and with `attempt`, if given, counted as ended.

    `complete` tells whether its response was forwarded completely.
    """
    traffic = state.traffic
    services = traffic_stats.end_call(traffic.services, traffic.calls[call_id].call.req)
    targets = traffic.targets
    if attempt is not None:
        targets = traffic_stats.end_attempt(
            targets, attempt, complete and not attempt.failed
        )
    calls = traffic.calls.delete(call_id)
    traffic = replace(traffic, calls=calls, services=services, targets=targets)
    return replace(state, traffic=traffic)


def _with_verdict(record, attempt_id, verdict, failed=False):
    attempts = tuple(
        replace(att, verdict=verdict, failed=failed)
        if att.attempt_id == attempt_id
        else att
        for att in record.attempts
    )
    return replace(record, attempts=attempts)


def _find_attempt(record, attempt_id):
    for att in record.attempts:
        if att.attempt_id == attempt_id:
            return att
    return None


def _in_flight(record):
    return [att for att in record.attempts if att.verdict is None]


def on_arrived(state, event):
    """Admit or reject a new call.

    An admitted call claims its idempotency key first if it needs a claim; otherwise its
    first attempt starts, and a hedge is scheduled if the rules allow one. A call that
    its caller or another node already retries (`retry_attempt`) is not hedged.
    """
    call = event.call
    req = call.req
    policy = state.rules.ruleset.call_policy(req.service, req.method, req.path)
    record = CallRecord(call, CallPhase.SENDING, policy.idempotent)
    state, code = traffic_stats.admit(state, call, event.now, event.draw)
    if code is not None:
        reject = RejectCall(call.call_id, 503, code, Verdict.NOT_RUN, code)
        return state, (reject, IncrementCounter(f"calls.{code}"))
    if claims.is_required(record):
        record = replace(record, phase=CallPhase.CLAIMING)
        return _with_call(state, record), (claims.insert_effect(record),)
    state, effects = _start_attempt(state, record, event)
    if record.idempotent and policy.hedge and req.retry_attempt == 0 and effects:
        delay_s = retries.hedge_delay_s(state, req.service)
        effects += (ScheduleHedge(call.call_id, delay_s),)
    return state, effects


def _start_attempt(state, record, event, hedge=False, untried_only=False):
    """Start an attempt, or reject the call if there is no target for it.

    With `untried_only`, an attempt is started only at a target that the call has not
    tried; if there is none, no attempt is started and the call is not rejected.
    """
    tried = {att.target_id for att in record.attempts}
    state, target = routing.choose_target(state, record, tried, event.now, event.draw)
    call = record.call
    if untried_only and (target is None or target.target_id in tried):
        return state, ()
    if target is None or call.req.deadline <= event.now:
        code = "no-target" if target is None else "deadline-exceeded"
        return _reject(state, record, 503 if target is None else 504, code)
    attempt_id = state.traffic.next_attempt_id
    attempt = Attempt(attempt_id, target.target_id, event.now, hedge)
    retry = bool(record.attempts)
    record = replace(
        record, phase=CallPhase.SENDING, attempts=record.attempts + (attempt,)
    )
    state = _with_attempt(state, record)
    effect = StartAttempt(
        call.call_id,
        attempt_id,
        target.target_id,
        target.addr,
        _timeout_s(record, call.req.deadline - event.now),
        record.idempotent,
        retry,
    )
    return state, (effect,)


def _timeout_s(record, remaining_s):
    """Return how long an attempt waits for the response head, seconds.

    The timeout ends before the caller's deadline, so that the caller receives a
    verdict. An attempt of an idempotent call, except the last, gets half of the
    remaining time, so that an unresponsive connection leaves time for a retry.
    """
    if record.idempotent and len(record.attempts) < retries.MAX_ATTEMPTS:
        return remaining_s / 2
    return remaining_s - min(RESPONSE_MARGIN_S, remaining_s / 10)


def _reject(state, record, status, code):
    """Reject a call and cancel its attempts in flight, which may have run.

    If the call is proven not to have run, its claim is released. The cancelled attempts
    no longer count as in flight (`release_attempt`); they count neither as succeeded
    nor as failed.
    """
    call = record.call
    verdict = combine(att.verdict or Verdict.MAY_HAVE_RUN for att in record.attempts)
    effects = [RejectCall(call.call_id, status, code, verdict, code)]
    effects.append(IncrementCounter(f"calls.{code}"))
    if claims.is_required(record) and verdict is Verdict.NOT_RUN:
        effects.append(ReleaseClaim(call.call_id, call.req.service, call.req.key))
    for att in _in_flight(record):
        effects.append(CancelAttempt(call.call_id, att.attempt_id))
        state = traffic_stats.release_attempt(state, att)
    if call.call_id in state.traffic.calls:
        state = _without_call(state, call.call_id)
    return state, tuple(effects)


def on_claim_resolved(state, event):
    """Send the call if its claim was granted; otherwise replay a response or reject."""
    record = state.traffic.calls.get(event.call_id)
    if record is None:
        return state, ()
    effects = claims.response_effects(record, event.outcome, event.recorded)
    if effects is None:
        return _start_attempt(state, record, event)
    return _without_call(state, event.call_id), effects


def on_response_head(state, event):
    """Forward a response, or retry if the target shed the call or failed."""
    record = state.traffic.calls.get(event.call_id)
    attempt = record and _find_attempt(record, event.attempt_id)
    if (
        attempt is None
        or attempt.verdict is not None
        or record.forwarded_attempt_id is not None
    ):
        return state, ()
    verdict = Verdict.NOT_RUN if event.not_run else Verdict.RAN
    state = traffic_stats.record_response_head(state, record, attempt, event)
    record = _with_verdict(record, event.attempt_id, verdict, event.status >= 500)
    if event.status >= 500 and _in_flight(record):
        # Another attempt is in flight and may still succeed.
        state = _with_call(
            traffic_stats.release_attempt(
                state, _find_attempt(record, event.attempt_id)
            ),
            record,
        )
        return state, (CancelAttempt(event.call_id, event.attempt_id),)
    if event.status >= 500 and event.replayable:
        # If allowed, the retry is deducted from the service's retry budget in
        # `charged_state`.
        charged_state, may_retry = retries.may_retry(state, record, verdict, event.now)
        if may_retry:
            # A target that has just shed the call would shed it again.
            started_state, effects = _start_attempt(
                _with_call(charged_state, record),
                record,
                event,
                untried_only=event.not_run,
            )
            if any(isinstance(effect, StartAttempt) for effect in effects):
                cancel = CancelAttempt(event.call_id, event.attempt_id)
                started_state = traffic_stats.release_attempt(
                    started_state, _find_attempt(record, event.attempt_id)
                )
                return started_state, (
                    cancel,
                    IncrementCounter("attempts.retried"),
                ) + effects
    if event.not_run:
        state = traffic_stats.release_attempt(
            state, _find_attempt(record, event.attempt_id)
        )
        state, effects = _reject(state, record, 503, "target-shed")
        return state, (CancelAttempt(event.call_id, event.attempt_id),) + effects
    return _forward(state, record, event.attempt_id)


def _forward(state, record, attempt_id):
    call_id = record.call.call_id
    with_claim = claims.is_required(record)
    effects = [ForwardResponse(call_id, attempt_id, with_claim)]
    for att in _in_flight(record):
        effects.append(CancelAttempt(call_id, att.attempt_id))
        state = traffic_stats.release_attempt(state, att)
        record = _with_verdict(record, att.attempt_id, Verdict.MAY_HAVE_RUN)
    record = replace(
        record, phase=CallPhase.FORWARDING, forwarded_attempt_id=attempt_id
    )
    return _with_call(state, record), tuple(effects)


def on_attempt_ended(state, event):
    """Handle an attempt that ended without a response.

    If another attempt is in flight, the call waits for that one. Otherwise the call is
    retried or rejected.
    """
    record = state.traffic.calls.get(event.call_id)
    attempt = record and _find_attempt(record, event.attempt_id)
    if attempt is None or attempt.verdict is not None:
        return state, ()
    if event.outcome is AttemptOutcome.REUSED_CONNECTION_TIMEOUT:
        # The reused connection may be broken while new ones to the target work, so
        # the timeout does not count as a failure of the target.
        state = traffic_stats.release_attempt(state, attempt)
    else:
        state = traffic_stats.record_failure(state, record, attempt, event)
    record = _with_verdict(record, event.attempt_id, event.verdict)
    state = _with_call(state, record)
    if _in_flight(record):
        return state, ()
    if event.replayable:
        state, may_retry = retries.may_retry(state, record, event.verdict, event.now)
        if may_retry:
            return _start_attempt(state, record, event)
    timed_out = event.outcome in (
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.REUSED_CONNECTION_TIMEOUT,
    )
    return _reject(
        state, record, 504 if timed_out else 502, f"target-{event.outcome.value}"
    )


def on_call_ended(state, event):
    """Remove a call whose response was forwarded, completely or in part."""
    record = state.traffic.calls.get(event.call_id)
    if record is None:
        return state, ()
    effects = ()
    if claims.is_required(record) and event.recorded is not None:
        req = record.call.req
        effects = (FinishClaim(event.call_id, req.service, req.key, event.recorded),)
    attempt = _find_attempt(record, record.forwarded_attempt_id)
    if attempt is not None and not event.complete:
        state = traffic_stats.record_truncated_response(
            state, record, attempt, event.now
        )
    return _without_call(state, event.call_id, attempt, event.complete), effects


def on_deadline_passed(state, event):
    """Reject a call that has no response; its attempts in flight may have run.

    The time that these attempts have waited for a response head counts as latency of
    their targets if it is longer than the known latency (`record_wait`).
    """
    record = state.traffic.calls.get(event.call_id)
    if record is None or record.forwarded_attempt_id is not None:
        return state, ()
    state = traffic_stats.record_wait(state, record, event.now)
    return _reject(state, record, 504, "deadline-exceeded")


def on_caller_disconnected(state, event):
    """Cancel every attempt of a call whose caller has disconnected."""
    record = state.traffic.calls.get(event.call_id)
    if record is None:
        return state, ()
    effects = []
    state = traffic_stats.record_wait(state, record, event.now)
    for att in record.attempts:
        if att.verdict is None or att.attempt_id == record.forwarded_attempt_id:
            effects.append(CancelAttempt(event.call_id, att.attempt_id))
            state = traffic_stats.release_attempt(state, att)
    return _without_call(state, event.call_id), tuple(effects)


def on_hedge_due(state, event):
    """Start a second attempt of an idempotent call if the attempt in flight is slow."""
    record = state.traffic.calls.get(event.call_id)
    if (
        record is None
        or record.forwarded_attempt_id is not None
        or not event.replayable
    ):
        return state, ()
    if len(_in_flight(record)) != 1:
        return state, ()
    state = traffic_stats.record_wait(state, record, event.now)
    # If allowed, the hedge is deducted from the service's retry budget in
    # `charged_state`.
    charged_state, allowed = retries.may_hedge(state, record, event.now)
    if not allowed:
        return state, ()
    # A second attempt at the same target would only add to its load.
    started_state, effects = _start_attempt(
        charged_state, record, event, hedge=True, untried_only=True
    )
    if not any(isinstance(effect, StartAttempt) for effect in effects):
        return state, ()
    return started_state, effects + (IncrementCounter("attempts.hedged"),)
