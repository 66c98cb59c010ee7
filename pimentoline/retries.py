"""pimentoline.retries: retries and hedges, and the budget that limits them."""

from .fast_replace import replace
from .model import ServiceStats
from .verdict import Verdict

__all__ = ["first_attempt_changes", "hedge_delay_s", "may_hedge", "may_retry"]

MAX_ATTEMPTS = 3
# Used until enough latencies of the service are known for a percentile.
DEFAULT_HEDGE_DELAY_S = 0.2
# A shorter delay would be of the order of the timer's error.
MIN_HEDGE_DELAY_S = 0.002
# Maximum number of tokens in the retry budget of a service. They cover the calls in
# flight at one target when it dies; more would allow a retry storm after a period of
# few failures.
MAX_RETRY_TOKENS = 10.0


def may_retry(state, record, verdict, now):
    """Decide whether a failed attempt is followed by another.

    A call that is not idempotent is retried only if `verdict` is `NOT_RUN`.

    Returns
    -------
    state : State
        With the retry budget charged if the retry is allowed.
    allowed : bool
    """
    if not _may_resend(record, now):
        return state, False
    if not record.idempotent and verdict is not Verdict.NOT_RUN:
        return state, False
    return _spend_token(state, record.call.req.service)


def may_hedge(state, record, now):
    """Decide whether a slow idempotent call gets a second attempt.

    Returns
    -------
    state : State
        With the retry budget charged if the hedge is allowed.
    allowed : bool
    """
    if not record.idempotent or not _may_resend(record, now):
        return state, False
    return _spend_token(state, record.call.req.service)


def _may_resend(record, now):
    req = record.call.req
    if len(record.attempts) >= MAX_ATTEMPTS or req.deadline <= now:
        return False
    # If a caller already retries this call, retries of the node would multiply with its
    # retries.
    return req.retry_attempt == 0


def hedge_delay_s(state, service):
    """Return the delay after which a call of the service is hedged, seconds."""
    stats = state.traffic.services.get(service)
    if stats is None or not stats.p95_latency_s:
        return DEFAULT_HEDGE_DELAY_S
    return max(MIN_HEDGE_DELAY_S, stats.p95_latency_s)


def first_attempt_changes(stats, share):
    """Return the changed fields of service statistics after a call's first attempt.

    Each first attempt adds `share` of a token to the retry budget.
    """
    tokens = min(MAX_RETRY_TOKENS, stats.retry_tokens + share)
    return {"retry_tokens": tokens, "calls_sent": stats.calls_sent + 1}


def _spend_token(state, service):
    """Take one token for a retry or hedge.

    The first retry or hedge of a service may borrow its token, so that a service with
    few calls can retry at all. Later first attempts pay it back: the number of retries
    and hedges never exceeds the larger of 1 and the given share of the first attempts.

    Returns
    -------
    state : State
    allowed : bool
        False if the budget has no token left.
    """
    traffic = state.traffic
    stats = traffic.services.get(service) or ServiceStats()
    if stats.retry_tokens < 1.0 and stats.borrowed:
        return state, False
    stats = replace(stats, retry_tokens=stats.retry_tokens - 1.0, borrowed=True)
    services = traffic.services.set(service, stats)
    return replace(state, traffic=replace(traffic, services=services)), True
