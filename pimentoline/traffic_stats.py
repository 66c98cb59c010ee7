"""pimentoline.traffic_stats: call admission, and statistics of services and targets."""

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

# Time constant with which the weight of the old average decays.
LATENCY_DECAY_S = 2.0
# Maximum weight of the old average when a faster sample arrives. A few responses are
# then enough to use a target again after a noisy neighbour on its host is gone.
MAX_OLD_LATENCY_WEIGHT = 0.25
# Minimum latency sample of a failed attempt: `FAILURE_LATENCY_FACTOR` times the 95th
# percentile of the service, or `FAILURE_LATENCY_S` while the percentile is unknown.
# Without it, a target that fails fast would look like the fastest one.
FAILURE_LATENCY_S = 1.0
FAILURE_LATENCY_FACTOR = 4.0
# Number of latency samples from which the percentiles are computed.
LATENCY_WINDOW = 128
# The percentiles are computed once per this many responses, because sorting the window
# for each response would take more CPU time than all other statistics.
LATENCY_BATCH = 16

# Makes the random decision of throttling independent of other decisions that use the
# same draw.
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
    """Decide whether a call is admitted.

    Parameters
    ----------
    state : State
    call : Call
    now : float
        Monotonic time, seconds.
    draw : int
        Random 64-bit integer.

    Returns
    -------
    state : State
    refusal : str or None
        Error code of the refusal, None if the call is admitted.
    """
    req = call.req
    if req.service not in state.mesh.by_service:
        return state, "unknown-service"
    stats = _service_stats(state, req.service)
    limit = state.rules.ruleset.inflight_limit(req.service, req.call_class)
    if limit is not None and stats.inflight[CLASS_RANKS[req.call_class]] >= limit:
        return state, "inflight-limit"
    if not throttling.has_excess_attempts(stats):
        return state, None
    share = throttling.refused_share(stats, req.call_class, now)
    if fraction(draw, THROTTLE_SALT) >= share:
        return state, None
    return _count_unaccepted(state, req, now), "throttled"


def _count_unaccepted(state, req, now):
    """Count a call refused by throttling or an attempt that timed out."""
    stats = _service_stats(state, req.service)
    changes = throttling.attempt_changes(stats, req.call_class, False, now)
    return _with_service(state, req.service, replace(stats, **changes))


def _adjusted_counts(counts, call_class, change):
    rank = CLASS_RANKS[call_class]
    return counts[:rank] + (max(0, counts[rank] + change),) + counts[rank + 1 :]


def call_started_changes(stats, req):
    """Return the changed fields of service statistics with one more call in flight."""
    return {"inflight": _adjusted_counts(stats.inflight, req.call_class, 1)}


def end_call(services, req):
    """Return the statistics by service with one call fewer in flight."""
    stats = services.get(req.service) or ServiceStats()
    inflight = _adjusted_counts(stats.inflight, req.call_class, -1)
    return services.set(req.service, replace(stats, inflight=inflight))


def begin_attempt(targets, attempt):
    """Return the statistics by target with one more attempt in flight."""
    stats = targets.get(attempt.target_id) or TargetStats()
    stats = replace(
        stats,
        inflight=stats.inflight + 1,
        waiting=stats.waiting + 1,
        waiting_since_sum=stats.waiting_since_sum + attempt.started,
    )
    return targets.set(attempt.target_id, stats)


def end_attempt(targets, attempt, succeeded=False):
    """Return the statistics by target with one attempt fewer in flight."""
    stats = targets.get(attempt.target_id) or TargetStats()
    changes = {"inflight": max(0, stats.inflight - 1)}
    if attempt.verdict is None:
        # The attempt was still waiting for a response head.
        changes |= _stop_waiting_changes(stats, attempt)
    if succeeded:
        changes |= outliers.success_changes(stats, attempt.started)
    return targets.set(attempt.target_id, replace(stats, **changes))


def _stop_waiting_changes(stats, attempt):
    if stats.waiting <= 1:
        # Setting the sum to 0.0 also removes its accumulated rounding errors.
        return {"waiting": 0, "waiting_since_sum": 0.0}
    return {
        "waiting": stats.waiting - 1,
        "waiting_since_sum": stats.waiting_since_sum - attempt.started,
    }


def _average_latency_s(stats, sample_s, now):
    """Return the new average latency, seconds.

    The average is peak-sensitive: it follows a slower sample at once, and falls with
    faster samples and with time.
    """
    if sample_s >= stats.latency_s:
        return sample_s
    weight = min(
        MAX_OLD_LATENCY_WEIGHT, math.exp((stats.latency_at - now) / LATENCY_DECAY_S)
    )
    return stats.latency_s * weight + sample_s * (1.0 - weight)


def _failure_latency_s(state, service, sample_s):
    p95_latency_s = _service_stats(state, service).p95_latency_s
    if not p95_latency_s:
        return max(sample_s, FAILURE_LATENCY_S)
    return max(sample_s, FAILURE_LATENCY_FACTOR * p95_latency_s)


def _failure_stats(state, record, attempt, now, decisive, stats):
    """Return the statistics of a target after a failure, with an ejection if due.

    If `decisive` is True, this failure alone is enough for an ejection. `stats` are the
    statistics before the failure.
    """
    plan = state.traffic.plan
    route = plan.routes.get(record.call.req.service) if plan is not None else None
    target_ids = route.target_ids() if route is not None else ()

    def count_other_ejected():
        others = (item for item in target_ids if item != attempt.target_id)
        return sum(_target_stats(state, item).ejected_until > now for item in others)

    if plan is not None and attempt.target_id in plan.node_not_alive:
        # The target's node is suspect or gone, so its host has probably failed.
        decisive = True
    return outliers.record_failure(
        stats, attempt.started, now, decisive, count_other_ejected, len(target_ids)
    )


def record_response_head(state, record, attempt, event):
    """Record the latency, the load report and any failure from a response head.

    A success is recorded only at the end of the response, because the body may break
    off.

    A request that the target shed gets the latency of a failure and counts as not
    accepted, but not towards an ejection: an overloaded target is expected to shed
    requests.
    """
    state = record_wait(state, record, event.now, attempt)
    req = record.call.req
    stats = _target_stats(state, attempt.target_id)
    service_stats = _service_stats(state, req.service)
    failed = event.status >= 500
    sample_s = event.now - attempt.started
    if failed:
        sample_s = _failure_latency_s(state, req.service, sample_s)
    changes = {
        "latency_s": _average_latency_s(stats, sample_s, event.now),
        "latency_at": event.now,
        **_stop_waiting_changes(stats, attempt),
    }
    if event.load is not None:
        # The report does not include the request that this response completes.
        changes |= load_report_changes(stats.inflight - 1, event.load, event.now)
    service_changes = throttling.attempt_changes(
        service_stats, req.call_class, not event.not_run, event.now
    )
    if not failed:
        # If a hedge wins, the latency is measured from the first attempt and includes
        # the hedge delay. The latency of the hedge alone would lower the percentile and
        # cause more hedges.
        first = record.attempts[0] if attempt.hedge else attempt
        service_changes |= _latency_changes(service_stats, event.now - first.started)
    stats = replace(stats, **changes)
    if failed and not event.not_run:
        stats = _failure_stats(state, record, attempt, event.now, False, stats)
    traffic = state.traffic
    targets = traffic.targets.set(attempt.target_id, stats)
    services = traffic.services.set(
        req.service, replace(service_stats, **service_changes)
    )
    traffic = replace(traffic, targets=targets, services=services)
    return replace(state, traffic=traffic)


def load_report_changes(own_in_report, load, now):
    """Return the changed fields of target statistics after a load report.

    Parameters
    ----------
    own_in_report : int
        Number of requests of this node that the report includes.
    load : float
        Number of requests in flight at the target, from all nodes.
    now : float
        Monotonic time, seconds.
    """
    return {"reported_load": load, "reported_at": now, "own_in_report": own_in_report}


def _latency_changes(stats, sample_s):
    new_latencies = (*stats.new_latencies, sample_s)
    if len(new_latencies) < LATENCY_BATCH:
        return {"new_latencies": new_latencies}
    window = (stats.latencies + new_latencies)[-LATENCY_WINDOW:]
    ordered = sorted(window)
    return {
        "latencies": window,
        "new_latencies": (),
        "median_latency_s": ordered[len(ordered) // 2],
        "p95_latency_s": ordered[int(len(ordered) * 0.95)],
    }


def record_wait(state, record, now, responded=None):
    """Raise a target's latency to the time that an attempt has waited for its response.

    This is done for every attempt of the call without a response head, except
    `responded`. Such an attempt may be cancelled, and then its full latency never
    becomes known. If the time waited did not count, a slow target whose hedges always
    win would keep a low latency and get more calls.
    """
    for attempt in record.attempts:
        if attempt.verdict is None and attempt is not responded:
            stats = _target_stats(state, attempt.target_id)
            if now - attempt.started > stats.latency_s:
                stats = replace(stats, latency_s=now - attempt.started, latency_at=now)
                state = _with_target(state, attempt.target_id, stats)
    return state


def record_failure(state, record, attempt, event):
    """Record an attempt that ended without a response.

    A refused connection ejects the target at once, because nothing listens there.
    """
    now = event.now
    service = record.call.req.service
    stats = _target_stats(state, attempt.target_id)
    sample_s = _failure_latency_s(state, service, now - attempt.started)
    stats = replace(
        stats,
        inflight=max(0, stats.inflight - 1),
        latency_s=_average_latency_s(stats, sample_s, now),
        latency_at=now,
        **_stop_waiting_changes(stats, attempt),
    )
    refused = event.outcome is AttemptOutcome.REFUSED
    stats = _failure_stats(state, record, attempt, now, refused, stats)
    state = _with_target(state, attempt.target_id, stats)
    if event.outcome is not AttemptOutcome.TIMEOUT:
        return state
    return _count_unaccepted(state, record.call.req, now)


def record_truncated_response(state, record, attempt, now):
    """Record a response that broke off after its head as a failure."""
    stats = _target_stats(state, attempt.target_id)
    stats = _failure_stats(state, record, attempt, now, False, stats)
    return _with_target(state, attempt.target_id, stats)


def release_attempt(state, attempt):
    """Return the state with one attempt fewer in flight."""
    traffic = state.traffic
    targets = end_attempt(traffic.targets, attempt)
    return replace(state, traffic=replace(traffic, targets=targets))
