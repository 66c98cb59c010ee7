"""pimentoline.target_states: states of the targets on this host, and expiry."""

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
    without,
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
    not know that an operator has drained it. The drain ends when it announces
    `starting` or another address, or after it was withdrawn or `gone`.
    """
    target, mesh = event.target, state.mesh
    if not 0 < target.addr[1] <= MAX_PORT:
        return state, (IncrementCounter("targets.refused"),)
    name = target.target_id
    targets = _own_targets(state)
    held = targets.get(name)
    if name in mesh.drained_addrs:
        same = mesh.drained_addrs[name] == target.addr
        if same and target.state is not TargetState.STARTING:
            target = replace(target, state=TargetState.DRAINING)
        else:
            mesh = replace(mesh, drained_addrs=mesh.drained_addrs.delete(name))
    mesh = replace(mesh, renewed_at=mesh.renewed_at.set(name, event.now))
    state = replace(state, mesh=mesh)
    if held == target:
        return state, ()
    return _gossip_now(_with_targets(state, targets | {name: target}), event.now)


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
    """Take over the drains of an earlier node on this host.

    A target does not know that an operator has drained it, so it announces `up` to
    the node that replaces the earlier one.
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
        name = target.target_id
        drained = drained.set(name, target.addr)
        held = targets.get(name)
        if held and held.addr == target.addr and held.state is TargetState.UP:
            changed[name] = replace(held, state=TargetState.DRAINING)
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


def _mark_gone(state, ended, now):
    """Mark targets as gone.

    They stay in this node's record for a while, so that the record of an earlier node
    on this host cannot make them routable again.
    """
    mesh, targets = state.mesh, _own_targets(state)
    renewed, drained = mesh.renewed_at, mesh.drained_addrs
    for target in ended:
        name = target.target_id
        targets[name] = replace(target, state=TargetState.GONE)
        renewed = renewed.set(name, now)
        drained = without(drained, name)
    state = replace(
        state, mesh=replace(mesh, renewed_at=renewed, drained_addrs=drained)
    )
    return _with_targets(state, targets)


def expire_own_targets(state, now):
    """Mark targets without renewals as gone, and remove those gone for long enough."""
    targets, renewed = _own_targets(state), state.mesh.renewed_at
    silent, removed = [], []
    for name, target in targets.items():
        since_renewal_s = now - renewed.get(name, now)
        if target.state is TargetState.GONE:
            if since_renewal_s >= UNCONFIRMED_RETENTION_S:
                removed.append(name)
        elif since_renewal_s >= RENEWAL_TIMEOUT_S:
            silent.append(target)
    if not silent and not removed:
        return state, ()
    entries = tuple(
        LogEntry("target:silent", (("target", target.target_id),)) for target in silent
    )
    if silent:
        state = _mark_gone(state, silent, now)
    if removed:
        kept = {k: v for k, v in _own_targets(state).items() if k not in removed}
        renewed = state.mesh.renewed_at
        for name in removed:
            renewed = renewed.delete(name)
        state = replace(state, mesh=replace(state.mesh, renewed_at=renewed))
        state = _with_targets(state, kept)
    return state, entries


def expire_unconfirmed_targets(state, now):
    """Remove the targets whose node left or died 60 s ago.

    Those of a lost region are kept as long as its dead members are, since the region
    is more likely to be cut off than to have failed.
    """
    mesh = state.mesh
    due = [name for name, entry in mesh.unconfirmed.items() if entry.until <= now]
    if not due:
        return state
    lost = lost_regions(state)
    unconfirmed = mesh.unconfirmed
    for name in due:
        entry = unconfirmed[name]
        if entry.target.region in lost and now < entry.until + DEAD_RETENTION_S:
            continue
        unconfirmed = unconfirmed.delete(name)
    if unconfirmed is mesh.unconfirmed:
        return state
    mesh = replace(mesh, unconfirmed=unconfirmed)
    return replace(state, mesh=replace(mesh, by_service=routable_targets(mesh)))
