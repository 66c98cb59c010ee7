"""pimentoline.limits: admission of calls and observation of targets."""

import math
from dataclasses import replace

from .model import TargetStats

__all__ = [
    "admit",
    "note_answer",
    "note_cancelled",
    "note_done",
    "note_failure",
    "note_sent",
]

LATENCY_DECAY_S = 2.0
# A failed call counts as at least this slow, so that a target that fails fast does
# not look like the fastest one.
FAILURE_LATENCY_S = 1.0


def _update(state, target_id, **changes):
    traffic = state.traffic
    stats = traffic.targets.get(target_id) or TargetStats()
    targets = traffic.targets.set(target_id, replace(stats, **changes))
    return replace(state, traffic=replace(traffic, targets=targets))


def _stats(state, target_id):
    return state.traffic.targets.get(target_id) or TargetStats()


def admit(state, call, now, draw):
    """Decide whether a call is let in.

    Returns
    -------
    state : State
    refusal : str or None
        Code of the refusal, None if the call is admitted.
    """
    if call.req.service not in state.mesh.by_service:
        return state, "unknown-service"
    return state, None


def note_sent(state, target_id, now):
    """Count an attempt as in flight."""
    stats = _stats(state, target_id)
    return _update(
        state,
        target_id,
        inflight=stats.inflight + 1,
        sent_since=stats.sent_since + 1,
    )


def _latency(stats, sample_s, now):
    """Peak-sensitive average: rises at once, falls over `LATENCY_DECAY_S`."""
    if sample_s >= stats.latency_s:
        return sample_s
    weight = math.exp(-(now - stats.latency_at) / LATENCY_DECAY_S)
    return stats.latency_s * weight + sample_s * (1.0 - weight)


def note_answer(state, record, attempt, event):
    """Record a response head: latency, load report, success or failure."""
    stats = _stats(state, attempt.target_id)
    failed = event.status >= 500
    sample_s = event.now - attempt.started
    if failed:
        sample_s = max(sample_s, FAILURE_LATENCY_S)
    changes = {
        "latency_s": _latency(stats, sample_s, event.now),
        "latency_at": event.now,
        "failures": stats.failures + 1 if failed else 0,
    }
    if event.load is not None:
        changes |= {"reported": event.load, "reported_at": event.now, "sent_since": 0}
    return _update(state, attempt.target_id, **changes)


def note_failure(state, attempt, now):
    """Record an attempt that ended without an answer."""
    stats = _stats(state, attempt.target_id)
    sample_s = max(now - attempt.started, FAILURE_LATENCY_S)
    return _update(
        state,
        attempt.target_id,
        inflight=max(0, stats.inflight - 1),
        latency_s=_latency(stats, sample_s, now),
        latency_at=now,
        failures=stats.failures + 1,
    )


def note_cancelled(state, target_id):
    """Count an attempt as no longer in flight."""
    stats = _stats(state, target_id)
    return _update(state, target_id, inflight=max(0, stats.inflight - 1))


note_done = note_cancelled
