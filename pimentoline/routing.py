"""pimentoline.routing: candidates of a call and the choice among them."""

from dataclasses import dataclass

from .model import ServiceStats, Target, TargetState, TargetStats
from .policies import get_policy_by_name

__all__ = ["Candidate", "pick"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """A routable target, its weight and what this node has observed of it."""

    target: Target
    weight: float
    stats: TargetStats


def candidates(state, record, tried, now):
    """Return the targets that may receive the call, untried ones if there are any."""
    found = []
    for target in state.mesh.by_service.get(record.call.req.service, ()):
        weight = state.rules.ruleset.target_weight(target)
        if target.state is not TargetState.UP or weight <= 0.0:
            continue
        stats = state.traffic.targets.get(target.target_id) or TargetStats()
        found.append(Candidate(target, weight, stats))
    untried = [cand for cand in found if cand.target.target_id not in tried]
    return untried or found


def pick(state, record, tried, now, draw):
    """Choose the target of the next attempt.

    Parameters
    ----------
    state : State
    record : CallRecord
    tried : set of str
        Targets that earlier attempts of the call were sent to.
    now : float
        Monotonic time, seconds.
    draw : int
        Random 64-bit integer.

    Returns
    -------
    state : State
    target : Target or None
    """
    found = candidates(state, record, tried, now)
    if not found:
        return state, None
    service = state.traffic.services.get(record.call.req.service) or ServiceStats()
    policy = get_policy_by_name(state.policy)
    return state, policy.choose(found, service, now, draw).target
