"""pimentoline.retries: when a call may be sent again."""

from dataclasses import replace

from .model import ServiceStats
from .verdict import Verdict

__all__ = ["hedge_delay_s", "may_hedge", "may_retry"]

MAX_ATTEMPTS = 3
DEFAULT_HEDGE_DELAY_S = 0.2


def may_retry(state, record, verdict, now):
    """Decide whether a failed attempt is followed by another.

    Returns
    -------
    state : State
        With the retry budget charged if the retry is allowed.
    allowed : bool
    """
    if len(record.attempts) >= MAX_ATTEMPTS or record.call.req.deadline <= now:
        return state, False
    if record.call.req.retry_attempt > 0:
        # An upper level already retries; retrying here too would multiply.
        return state, False
    if not record.idempotent and verdict is not Verdict.NOT_RUN:
        return state, False
    return _spend(state, record.call.req.service)


def may_hedge(state, record, now):
    """Decide whether a late idempotent call gets a second attempt."""
    if not record.idempotent or len(record.attempts) >= MAX_ATTEMPTS:
        return state, False
    return _spend(state, record.call.req.service)


def hedge_delay_s(state, service):
    """Return the delay after which a call of the service is hedged, seconds."""
    return DEFAULT_HEDGE_DELAY_S


def _spend(state, service):
    traffic = state.traffic
    stats = traffic.services.get(service) or ServiceStats()
    if stats.retry_tokens < 1.0:
        return state, False
    stats = replace(stats, retry_tokens=stats.retry_tokens - 1.0)
    services = traffic.services.set(service, stats)
    return replace(state, traffic=replace(traffic, services=services)), True
