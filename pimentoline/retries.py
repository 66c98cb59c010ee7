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
# Maximum number of tokens in the retry budget of a service. This is enough to retry the
# calls in flight at one target when it dies. Tokens accumulate while few calls fail; a
# higher maximum would allow a retry storm afterwards.
MAX_RETRY_TOKENS = 10.0


def may_retry(state, record, verdict, now):
    """Decide whether a failed attempt is followed by another.

    A call that is not idempotent is retried only if `verdict` is `NOT_RUN`: the failed
    attempt is proven not to have run.

    Parameters
    ----------
    state : State
    record : CallRecord
    verdict : Verdict
        Whether the failed attempt may have run on a target.
    now : float
        Monotonic time, seconds.

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

    Parameters
    ----------
    state : State
    record : CallRecord
    now : float
        Monotonic time, seconds.

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
    """Check the conditions that apply to both retries and hedges."""
    req = record.call.req
    if len(record.attempts) >= MAX_ATTEMPTS or req.deadline <= now:
        return False
    # If the caller already retries this call, each of its retries would be multiplied
    # by the retries of this node.
    return req.retry_attempt == 0


def hedge_delay_s(state, service):
    """Return the delay after which a call of the service is hedged, seconds."""
    stats = state.traffic.services.get(service)
    if stats is None or not stats.p95_latency_s:
        return DEFAULT_HEDGE_DELAY_S
    return max(MIN_HEDGE_DELAY_S, stats.p95_latency_s)


def first_attempt_changes(stats, retry_share):
    """Return the changed fields of service statistics after a call's first attempt.

    Each first attempt adds the fraction `retry_share` of a token to the retry budget.
    """
    tokens = min(MAX_RETRY_TOKENS, stats.retry_tokens + retry_share)
    return {"retry_tokens": tokens, "calls_sent": stats.calls_sent + 1}


def _spend_token(state, service):
    """Take one token for a retry or hedge.

    The first retry or hedge of a service may borrow its token, so that a service with
    few calls can retry at all. Later first attempts pay it back: the number of retries
    and hedges never exceeds the larger of 1 and `retry_share` times the number of first
    attempts.

    Returns
    -------
    state : State
    allowed : bool
        False if the budget has no token left.
    """
    traffic = state.traffic
    stats = traffic.services.get(service) or ServiceStats()
    if stats.retry_tokens < 1.0 and stats.first_retry_used:
        return state, False
    stats = replace(stats, retry_tokens=stats.retry_tokens - 1.0, first_retry_used=True)
    services = traffic.services.set(service, stats)
    return replace(state, traffic=replace(traffic, services=services)), True
