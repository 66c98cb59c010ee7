"""pimentoline.traffic_stats: admission of calls and observation of targets."""

import math

from . import outliers, throttling
from .draws import fraction
from .events import AttemptOutcome
from .fast_replace import replace
from .model import CLASS_RANKS, ServiceStats, TargetStats

__all__ = [
    "admit",
    "begin_attempt",
    "call_started_changes",
    "end_attempt",
    "end_call",
    "load_report_changes",
    "record_failure",
    "record_response_head",
    "record_truncated_response",
    "record_wait",
    "release_attempt",
]

LATENCY_DECAY_S = 2.0
# At each faster answer, the average keeps at most this part of the distance. After a
# noisy neighbour is gone, a few answers are then enough to use the target again.
LATENCY_KEPT = 0.25
# A failed call counts as slow, so that a target that fails fast does not look like the
# fastest one: as a multiple of the service's 95th percentile, if that is known.
FAILURE_LATENCY_S = 1.0
FAILURE_LATENCY_FACTOR = 4.0
LATENCY_WINDOW = 128
# The percentiles are computed once for so many answers, because sorting the window
# at each answer would cost more than all other statistics.
LATENCY_BATCH = 16

THROTTLE_SALT = 21


def _target_stats(state, target_id):
    return state.traffic.targets.get(target_id) or TargetStats()


def _service_stats(state, service):
    return state.traffic.services.get(service) or ServiceStats()


def _with_target(state, target_id, stats):
    traffic = state.traffic
    targets = traffic.targets.set(target_id, stats)
    return replace(state, traffic=replace(traffic, targets=targets))


def _with_service(state, service, stats):
    traffic = state.traffic
    services = traffic.services.set(service, stats)
    return replace(state, traffic=replace(traffic, services=services))


def admit(state, call, now, draw):
    """Decide whether a call is let in.

    Returns
    -------
    state : State
    refusal : str or None
        Code of the refusal, None if the call is admitted.
    """
    req = call.req
    if req.service not in state.mesh.by_service:
        return state, "unknown-service"
    stats = _service_stats(state, req.service)
    limit = state.rules.ruleset.inflight_limit(req.service, req.call_class)
    if limit is not None and stats.inflight[CLASS_RANKS[req.call_class]] >= limit:
        return state, "inflight-limit"
    if not throttling.has_excess(stats):
        return state, None
    share = throttling.refused_share(stats, req.call_class, now)
    if fraction(draw, THROTTLE_SALT) >= share:
        return state, None
    return _count_unaccepted(state, req, now), "throttled"


def _count_unaccepted(state, req, now):
    """Count an attempt that was refused here or left unanswered."""
    stats = _service_stats(state, req.service)
    changes = throttling.attempt_changes(stats, req.call_class, False, now)
    return _with_service(state, req.service, replace(stats, **changes))


def _adjusted(counts, call_class, change):
    rank = CLASS_RANKS[call_class]
    return counts[:rank] + (max(0, counts[rank] + change),) + counts[rank + 1 :]


def call_started_changes(stats, req):
    """Return the changed fields of service statistics with one more call in flight."""
    return {"inflight": _adjusted(stats.inflight, req.call_class, 1)}


def end_call(services, req):
    """Return the service statistics with one call less in flight."""
    stats = services.get(req.service) or ServiceStats()
    inflight = _adjusted(stats.inflight, req.call_class, -1)
    return services.set(req.service, replace(stats, inflight=inflight))


def begin_attempt(targets, attempt):
    """Return the target statistics with one more attempt in flight."""
    stats = targets.get(attempt.target_id) or TargetStats()
    stats = replace(
        stats,
        inflight=stats.inflight + 1,
        waiting=stats.waiting + 1,
        waiting_since_sum=stats.waiting_since_sum + attempt.started,
    )
    return targets.set(attempt.target_id, stats)


def end_attempt(targets, attempt, succeeded=False):
    """Return the target statistics with one attempt less in flight."""
    stats = targets.get(attempt.target_id) or TargetStats()
    changes = {"inflight": max(0, stats.inflight - 1)}
    if attempt.verdict is None:
        changes |= _stop_waiting_changes(stats, attempt)
    if succeeded:
        changes |= outliers.success_changes(stats, attempt.started)
    return targets.set(attempt.target_id, replace(stats, **changes))


def _stop_waiting_changes(stats, attempt):
    if stats.waiting <= 1:
        # Also drops the rounding errors of the sum.
        return {"waiting": 0, "waiting_since_sum": 0.0}
    return {
        "waiting": stats.waiting - 1,
        "waiting_since_sum": stats.waiting_since_sum - attempt.started,
    }


def _latency(stats, sample_s, now):
    """Peak-sensitive average: rises at once, falls with samples and with time."""
    if sample_s >= stats.latency_s:
        return sample_s
    weight = min(LATENCY_KEPT, math.exp((stats.latency_at - now) / LATENCY_DECAY_S))
    return stats.latency_s * weight + sample_s * (1.0 - weight)


def _failure_latency_s(state, service, sample_s):
    p95_latency_s = _service_stats(state, service).p95_latency_s
    if not p95_latency_s:
        return max(sample_s, FAILURE_LATENCY_S)
    return max(sample_s, FAILURE_LATENCY_FACTOR * p95_latency_s)


def _with_failure(state, record, attempt, now, decisive, stats):
    """Return the statistics of a target after a failure, ejected if it is due."""
    plan = state.traffic.plan
    route = plan.routes.get(record.call.req.service) if plan is not None else None
    target_ids = route.target_ids() if route is not None else ()

    def ejected():
        others = (name for name in target_ids if name != attempt.target_id)
        return sum(_target_stats(state, name).ejected_until > now for name in others)

    if plan is not None and attempt.target_id in plan.unconfirmed:
        # Its node is gone, so a failure is likely to be the end of its host.
        decisive = True
    return outliers.record_failure(
        stats, attempt.started, now, decisive, ejected, len(target_ids)
    )


def record_response_head(state, record, attempt, event):
    """Record a response head: latency, load report, failure.

    Success is recorded at the end of the answer, because an answer may break off.

    A request that the target shed counts as slow and as not accepted, but not as a
    failure: shedding is the contract of a loaded target, not a fault.
    """
    state = record_wait(state, record, event.now, attempt)
    req = record.call.req
    stats = _target_stats(state, attempt.target_id)
    service = _service_stats(state, req.service)
    failed = event.status >= 500
    sample_s = event.now - attempt.started
    if failed:
        sample_s = _failure_latency_s(state, req.service, sample_s)
    changes = {
        "latency_s": _latency(stats, sample_s, event.now),
        "latency_at": event.now,
        **_stop_waiting_changes(stats, attempt),
    }
    if event.load is not None:
        # The answered request is no longer in the report.
        changes |= load_report_changes(stats.inflight - 1, event.load, event.now)
    counted = throttling.attempt_changes(
        service, req.call_class, not event.not_run, event.now
    )
    if not failed:
        # The time of a call whose hedge won is at least as long as its delay; the
        # hedge's own time alone would lower the percentile and bring more hedges.
        first = record.attempts[0] if attempt.hedge else attempt
        counted |= _latency_changes(service, event.now - first.started)
    stats = replace(stats, **changes)
    if failed and not event.not_run:
        stats = _with_failure(state, record, attempt, event.now, False, stats)
    traffic = state.traffic
    targets = traffic.targets.set(attempt.target_id, stats)
    services = traffic.services.set(req.service, replace(service, **counted))
    traffic = replace(traffic, targets=targets, services=services)
    return replace(state, traffic=traffic)


def load_report_changes(own, load, now):
    """Return the changed fields of target statistics after a load report.

    Parameters
    ----------
    own : int
        Own requests in flight that the report counts.
    load : float
        Requests in flight at the target, from all nodes.
    now : float
        Monotonic time, seconds.
    """
    return {"reported_load": load, "reported_at": now, "own_in_report": own}


def _latency_changes(service, sample_s):
    new_latencies = (*service.new_latencies, sample_s)
    if len(new_latencies) < LATENCY_BATCH:
        return {"new_latencies": new_latencies}
    window = (service.latencies + new_latencies)[-LATENCY_WINDOW:]
    ordered = sorted(window)
    return {
        "latencies": window,
        "new_latencies": (),
        "median_latency_s": ordered[len(ordered) // 2],
        "p95_latency_s": ordered[int(len(ordered) * 0.95)],
    }


def record_wait(state, record, now, answered=None):
    """Raise the latency of targets whose attempts are still without an answer.

    Such an attempt is about to be cancelled, so that its latency is never known in
    full. Without the time waited, a slow target whose hedges always win would stay
    attractive.
    """
    for att in record.attempts:
        if att.verdict is None and att is not answered:
            stats = _target_stats(state, att.target_id)
            if now - att.started > stats.latency_s:
                stats = replace(stats, latency_s=now - att.started, latency_at=now)
                state = _with_target(state, att.target_id, stats)
    return state


def record_failure(state, record, attempt, event):
    """Record an attempt that ended without an answer.

    A refused connection ejects the target at once, because nothing listens there.
    """
    now = event.now
    service = record.call.req.service
    stats = _target_stats(state, attempt.target_id)
    sample_s = _failure_latency_s(state, service, now - attempt.started)
    stats = replace(
        stats,
        inflight=max(0, stats.inflight - 1),
        latency_s=_latency(stats, sample_s, now),
        latency_at=now,
        **_stop_waiting_changes(stats, attempt),
    )
    refused = event.outcome is AttemptOutcome.REFUSED
    stats = _with_failure(state, record, attempt, now, refused, stats)
    state = _with_target(state, attempt.target_id, stats)
    if event.outcome is not AttemptOutcome.TIMEOUT:
        return state
    return _count_unaccepted(state, record.call.req, now)


def record_truncated_response(state, record, attempt, now):
    """Record an answer that broke off after its head as a failure."""
    stats = _target_stats(state, attempt.target_id)
    stats = _with_failure(state, record, attempt, now, False, stats)
    return _with_target(state, attempt.target_id, stats)


def release_attempt(state, attempt):
    """Count an attempt as no longer in flight."""
    traffic = state.traffic
    targets = end_attempt(traffic.targets, attempt)
    return replace(state, traffic=replace(traffic, targets=targets))
