"""pimentoline.target_states: states of the targets on this host, expiry of targets.

The event handlers and `expire_own_targets` return the new state and a tuple of effects;
the other public functions return only the state.
"""

from dataclasses import replace

from .effects import IncrementCounter, LogEntry
from .gossip import lost_regions, push_gossip
from .member_records import (
    DEAD_RETENTION_S,
    UNCONFIRMED_RETENTION_S,
    is_running,
    own_record,
    routable_targets,
    with_own_record,
    without_key,
)
from .model import TargetState

__all__ = [
    "expire_own_targets",
    "expire_unconfirmed_targets",
    "inherit_drains",
    "on_target_announced",
    "on_target_drained",
    "on_target_withdrawn",
]

# A target renews its announcement every second; three missed renewals in a row mean
# that it has stopped or hangs.
RENEWAL_TIMEOUT_S = 3.0
MAX_PORT = 65535


def _own_targets(state):
    return {target.target_id: target for target in own_record(state).targets}


def _with_targets(state, targets):
    return with_own_record(state, targets=tuple(targets.values()))


def _gossip_now(state, now):
    return push_gossip(state, now, state.mesh.draw)


def on_target_announced(state, event):
    """Record an announcement, and gossip it unless it is an unchanged renewal.

    A drained target stays `draining` while it renews its announcement, because it may
    not know that an operator has drained it. The drain ends when the target announces
    `starting` or another address, or when it becomes `gone`.
    """
    target, mesh = event.target, state.mesh
    if not 0 < target.addr[1] <= MAX_PORT:
        return state, (IncrementCounter("targets.refused"),)
    target_id = target.target_id
    targets = _own_targets(state)
    held = targets.get(target_id)
    if target_id in mesh.drained_addrs:
        same_addr = mesh.drained_addrs[target_id] == target.addr
        if same_addr and target.state is not TargetState.STARTING:
            target = replace(target, state=TargetState.DRAINING)
        else:
            mesh = replace(mesh, drained_addrs=mesh.drained_addrs.delete(target_id))
    mesh = replace(mesh, renewed_at=mesh.renewed_at.set(target_id, event.now))
    state = replace(state, mesh=mesh)
    if held == target:
        return state, ()
    return _gossip_now(_with_targets(state, targets | {target_id: target}), event.now)


def on_target_drained(state, event):
    """Mark a target as draining, so that every node stops sending new calls to it."""
    targets = _own_targets(state)
    target = targets.get(event.target_id)
    if target is None or target.state is TargetState.GONE:
        return state, ()
    mesh = state.mesh
    drained = mesh.drained_addrs.set(event.target_id, target.addr)
    state = replace(state, mesh=replace(mesh, drained_addrs=drained))
    if target.state is TargetState.DRAINING:
        return state, ()
    target = replace(target, state=TargetState.DRAINING)
    state = _with_targets(state, targets | {event.target_id: target})
    return _gossip_now(state, event.now)


def inherit_drains(state, record, now):
    """Inherit the drains in a record of an earlier node on this host.

    A target does not know that an operator has drained it, so it announces `up` to the
    node that replaces the earlier one.
    """
    own = own_record(state)
    if record.host != own.host or record.incarnation >= own.incarnation:
        return state
    if not is_running(record) and record.age_s >= UNCONFIRMED_RETENTION_S:
        return state
    targets, drained = _own_targets(state), state.mesh.drained_addrs
    changed = {}
    for target in record.targets:
        if target.state is not TargetState.DRAINING:
            continue
        target_id = target.target_id
        drained = drained.set(target_id, target.addr)
        held = targets.get(target_id)
        if held and held.addr == target.addr and held.state is TargetState.UP:
            changed[target_id] = replace(held, state=TargetState.DRAINING)
    state = replace(state, mesh=replace(state.mesh, drained_addrs=drained))
    return _with_targets(state, targets | changed) if changed else state


def on_target_withdrawn(state, event):
    """Mark a target that has stopped as gone."""
    targets = _own_targets(state)
    target = targets.get(event.target_id)
    if target is None or target.state is TargetState.GONE:
        return state, ()
    state = _mark_gone(state, [target], event.now)
    return _gossip_now(state, event.now)


def _mark_gone(state, stopped, now):
    """Mark targets as gone.

    They stay in this node's record for a while, so that the record of an earlier node
    on this host cannot make them routable again.
    """
    mesh, targets = state.mesh, _own_targets(state)
    renewed, drained = mesh.renewed_at, mesh.drained_addrs
    for target in stopped:
        target_id = target.target_id
        targets[target_id] = replace(target, state=TargetState.GONE)
        renewed = renewed.set(target_id, now)
        drained = without_key(drained, target_id)
    state = replace(
        state, mesh=replace(mesh, renewed_at=renewed, drained_addrs=drained)
    )
    return _with_targets(state, targets)


def expire_own_targets(state, now):
    """Mark targets without renewals as gone, and remove those gone for 60 s."""
    targets, renewed = _own_targets(state), state.mesh.renewed_at
    unrenewed, removed = [], []
    for target_id, target in targets.items():
        since_renewal_s = now - renewed.get(target_id, now)
        if target.state is TargetState.GONE:
            if since_renewal_s >= UNCONFIRMED_RETENTION_S:
                removed.append(target_id)
        elif since_renewal_s >= RENEWAL_TIMEOUT_S:
            unrenewed.append(target)
    if not unrenewed and not removed:
        return state, ()
    entries = tuple(
        LogEntry("target:silent", (("target", target.target_id),))
        for target in unrenewed
    )
    if unrenewed:
        state = _mark_gone(state, unrenewed, now)
    if removed:
        kept = {k: v for k, v in _own_targets(state).items() if k not in removed}
        renewed = state.mesh.renewed_at
        for target_id in removed:
            renewed = renewed.delete(target_id)
        state = replace(state, mesh=replace(state.mesh, renewed_at=renewed))
        state = _with_targets(state, kept)
    return state, entries


def expire_unconfirmed_targets(state, now):
    """Remove unconfirmed targets 60 s after their node left, died or restarted.

    Those of a lost region are kept for an hour more, as its dead members are, since the
    region is more likely to be cut off than to have failed.
    """
    mesh = state.mesh
    due_ids = [
        target_id for target_id, entry in mesh.unconfirmed.items() if entry.until <= now
    ]
    if not due_ids:
        return state
    lost = lost_regions(state)
    unconfirmed = mesh.unconfirmed
    for target_id in due_ids:
        entry = unconfirmed[target_id]
        if entry.target.region in lost and now < entry.until + DEAD_RETENTION_S:
            continue
        unconfirmed = unconfirmed.delete(target_id)
    if unconfirmed is mesh.unconfirmed:
        return state
    mesh = replace(mesh, unconfirmed=unconfirmed)
    return replace(state, mesh=replace(mesh, by_service=routable_targets(mesh)))
