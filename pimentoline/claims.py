"""pimentoline.claims: claims of idempotency keys.

A call that has a key and is not idempotent claims the key before it is sent, so that at
most one of the calls with the same key runs. The claim is a row in the store, the
platform's transactional table service.
"""

from .effects import InsertClaim, RejectCall, ReplayResponse
from .events import ClaimOutcome
from .verdict import Verdict

__all__ = ["insert_effect", "is_required", "response_effects"]


def is_required(record):
    """Return whether the call needs a claim row before it is sent."""
    return bool(record.call.req.key) and not record.idempotent


def insert_effect(record):
    """Return the effect that inserts the claim of a call."""
    req = record.call.req
    return InsertClaim(record.call.call_id, req.service, req.key)


def response_effects(record, outcome, recorded=None):
    """Return the effects that respond to the caller, or None if the claim is granted.

    Parameters
    ----------
    record : CallRecord
    outcome : ClaimOutcome
    recorded : RecordedResponse, optional
        Needed with `ClaimOutcome.REPLAY`.

    Returns
    -------
    tuple of effects, or None
    """
    call_id = record.call.call_id
    match outcome:
        case ClaimOutcome.GRANTED:
            return None
        case ClaimOutcome.REPLAY:
            return (ReplayResponse(call_id, recorded),)
        case ClaimOutcome.HELD:
            detail = "another attempt holds this idempotency key"
            verdict = Verdict.MAY_HAVE_RUN
            return (RejectCall(call_id, 409, "key-held", verdict, detail),)
        case ClaimOutcome.UNAVAILABLE:
            detail = "the store is unavailable, so the key cannot be claimed"
            verdict = Verdict.NOT_RUN
            return (RejectCall(call_id, 503, "store-unavailable", verdict, detail),)
