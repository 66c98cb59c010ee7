"""pimentoline.target_states: life of the targets of this host, and unconfirmed ones."""

from dataclasses import replace

from .effects import IncrementCounter, LogEntry
from .gossip import lost_regions, push
from .member_records import (
    DEAD_KEEP_S,
    UNCONFIRMED_S,
    is_running,
    own_record,
    routable,
    with_own_record,
    without,
)
from .model import TargetState

__all__ = [
    "expire_own",
    "expire_unconfirmed",
    "keep_drains",
    "on_target_announced",
    "on_target_drained",
    "on_target_withdrawn",
]

# A target renews its announcement every second; three misses in a row mean that it
# has ended or hangs.
RENEWAL_TIMEOUT_S = 3.0
MAX_PORT = 65535


def _own_targets(state):
    return {target.target_id: target for target in own_record(state).targets}


def _with_targets(state, targets):
    return with_own_record(state, targets=tuple(targets.values()))


def _push_now(state, now):
    return push(state, now, state.mesh.draw)


def on_target_announced(state, event):
    """Take an announcement; a renewal without a change is not spread.

    A drained target stays so while it renews its announcement, because an operator
    may drain a target that does not know of it. It comes up again by announcing
    `starting`, by another address, or after it was withdrawn or gone.
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
    return _push_now(_with_targets(state, targets | {name: target}), event.now)


def on_target_drained(state, event):
    """Stop new calls to a target at every node."""
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
    return _push_now(state, event.now)


def keep_drains(state, record, now):
    """Take over the drains of an earlier node of this host.

    The target does not know of an operator's drain, so it announces `up` to the node
    that replaces the one that was told.
    """
    own = own_record(state)
    if record.host != own.host or record.incarnation >= own.incarnation:
        return state
    if not is_running(record) and record.age_s >= UNCONFIRMED_S:
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
    state = _end_targets(state, [target], event.now)
    return _push_now(state, event.now)


def _end_targets(state, ended, now):
    """Mark targets as gone.

    They stay in the record for a while, so that a record of an earlier node of this
    host cannot make them routable again.
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


def expire_own(state, now):
    """End the targets that no longer renew, and forget those that are gone."""
    targets, renewed = _own_targets(state), state.mesh.renewed_at
    silent, old = [], []
    for name, target in targets.items():
        quiet_s = now - renewed.get(name, now)
        if target.state is TargetState.GONE:
            if quiet_s >= UNCONFIRMED_S:
                old.append(name)
        elif quiet_s >= RENEWAL_TIMEOUT_S:
            silent.append(target)
    if not silent and not old:
        return state, ()
    entries = tuple(
        LogEntry("target:silent", (("target", target.target_id),)) for target in silent
    )
    if silent:
        state = _end_targets(state, silent, now)
    if old:
        kept = {k: v for k, v in _own_targets(state).items() if k not in old}
        renewed = state.mesh.renewed_at
        for name in old:
            renewed = renewed.delete(name)
        state = replace(state, mesh=replace(state.mesh, renewed_at=renewed))
        state = _with_targets(state, kept)
    return state, entries


def expire_unconfirmed(state, now):
    """Forget targets whose node ended 60 s ago.

    Those of a lost region are kept for as long as its members are, since the region
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
        if entry.target.region in lost and now < entry.until + DEAD_KEEP_S:
            continue
        unconfirmed = unconfirmed.delete(name)
    if unconfirmed is mesh.unconfirmed:
        return state
    mesh = replace(mesh, unconfirmed=unconfirmed)
    return replace(state, mesh=replace(mesh, by_service=routable(mesh)))
