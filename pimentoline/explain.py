"""pimentoline.explain: shows how the node would handle a call, without sending it."""

from collections import Counter
from dataclasses import asdict

from .effects import InsertClaim, RejectCall, StartAttempt
from .events import CallArrived, ClaimOutcome, ClaimResolved
from .model import Call, Request, TargetState, TargetStats
from .reducer import reduce

__all__ = ["explain"]

# No other call has this id, because a node numbers its calls from 1.
TRIAL_CALL_ID = 0


def explain(state, query, now, draws):
    """Return the decisions about a call, in types that JSON can represent.

    The call is passed to the reducer, and the new state and the effects are dropped, so
    nothing changes and nothing is sent. There is one trial for each draw, because the
    choice of a target is random. A call with an idempotency key that must not run twice
    claims the key in the store before it is sent. A trial assumes that the claim is
    granted.

    Parameters
    ----------
    state : State
    query : ExplainRequest
        Service, method, path, priority class (`call_class`), deadline and idempotency
        key of the call.
    now : float
        Monotonic time, seconds.
    draws : list of int
        Random 64-bit integers.

    Returns
    -------
    dict
    """
    ruleset = state.rules.ruleset
    path = query.path.split("?")[0]
    policy = ruleset.call_policy(query.service, query.method, path)
    remaining_s = policy.deadline_s
    if query.deadline_ms is not None:
        remaining_s = min(remaining_s, query.deadline_ms / 1000.0)
    req = Request(
        service=query.service,
        method=query.method,
        path=path,
        deadline=now + remaining_s,
        call_class=policy.call_class or query.call_class,
        key=query.key,
    )
    counts = Counter(_outcome(state, req, now, draw) for draw in draws)
    rules = ruleset.matching_rules(query.service, query.method, path)
    return {
        "node": state.identity.node_id,
        "rules_version": state.rules.version,
        "rules": {kind: rule.as_line() for kind, rule in rules.items()},
        "policy": {**asdict(policy), "call_class": req.call_class},
        "claims_key": bool(query.key) and not policy.idempotent,
        "outcomes": {text: n / len(draws) for text, n in counts.most_common()},
        "targets": [
            _describe_target(state, target, now)
            for target in _announced_targets(state, req)
        ],
    }


def _outcome(state, req, now, draw):
    """Return the result of one trial as text."""
    call = Call(TRIAL_CALL_ID, req, now)
    step = reduce(state, CallArrived(now, draw, call))
    if any(isinstance(effect, InsertClaim) for effect in step.effects):
        granted = ClaimResolved(now, draw, TRIAL_CALL_ID, ClaimOutcome.GRANTED)
        step = reduce(step.state, granted)
    for effect in step.effects:
        match effect:
            case StartAttempt():
                return f"sent to {effect.target_id}"
            case RejectCall():
                return f"refused with {effect.status} {effect.code}"
    return "queued"


def _announced_targets(state, req):
    """Return all targets that nodes announce for the call's service, sorted by id."""
    targets_by_id = {
        target.target_id: target
        for member in state.mesh.members.values()
        for target in member.targets
        if target.service == req.service
    }
    return [targets_by_id[target_id] for target_id in sorted(targets_by_id)]


def _describe_target(state, target, now):
    rules = state.rules.ruleset.target_rules(target)
    stats = state.traffic.targets.get(target.target_id) or TargetStats()
    return {
        "target_id": target.target_id,
        "region": target.region,
        "dc": target.dc,
        "state": target.state.value,
        "weight": state.rules.ruleset.target_weight(target),
        "rules": [rule.as_line() for rule in rules.values()],
        "inflight": stats.inflight,
        "latency_ms": round(stats.latency_s * 1000.0, 3),
        "reason": _reason(target, rules, stats, now),
    }


def _reason(target, rules, stats, now):
    if target.state is not TargetState.UP:
        return f"not used: it is {target.state.value}"
    if "pause" in rules:
        return f"not used: {rules['pause'].as_line()}"
    if "weight" in rules and rules["weight"].weight == 0.0:
        return f"not used: {rules['weight'].as_line()}"
    if stats.ejected_until > now:
        return f"not used: ejected for {stats.ejected_until - now:.1f} s more"
    load = f"{stats.inflight} own calls in flight, {stats.latency_s * 1000.0:.1f} ms"
    weight = f", {rules['weight'].as_line()}" if "weight" in rules else ""
    return f"usable: {load}{weight}"
