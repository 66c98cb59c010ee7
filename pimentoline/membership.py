"""pimentoline.membership: member records and how they spread."""

from dataclasses import replace

from immutables import Map

from .effects import FetchRules, SendRumours
from .model import MemberStatus, TargetState
from .records import own_record, with_own_record, with_records

__all__ = [
    "on_members_heard",
    "on_stop",
    "on_target_announced",
    "on_target_drained",
    "on_target_withdrawn",
    "on_tick",
]

RUMOUR_FANOUT = 3


def on_members_heard(state, event):
    """Take the records that are newer than the ones held."""
    newer = []
    effects = ()
    for record in event.records:
        held = state.mesh.members.get(record.node_id)
        if record.node_id == state.me.node_id:
            continue
        if held and (held.incarnation, held.seq) >= (record.incarnation, record.seq):
            continue
        newer.append(record)
        if record.rules_version > state.rules.version:
            effects = (FetchRules(record.rules_version, record.addr),)
    if not newer:
        return state, ()
    return with_records(state, newer), effects


def _replace_target(state, target):
    others = [t for t in own_record(state).targets if t.target_id != target.target_id]
    return with_own_record(state, targets=(*others, target))


def on_target_announced(state, event):
    """Take an announcement; a renewal without a change costs nothing."""
    target = event.target
    held = {t.target_id: t for t in own_record(state).targets}.get(target.target_id)
    if held is not None and held.state is TargetState.DRAINING:
        # A target that an operator drains renews its announcement as `up`; only a
        # withdrawal ends the drain.
        target = replace(target, state=TargetState.DRAINING)
    if held == target:
        return state, ()
    return _push(_replace_target(state, target))


def on_target_drained(state, event):
    """Stop new calls to a target at every node."""
    for target in own_record(state).targets:
        if target.target_id == event.target_id:
            target = replace(target, state=TargetState.DRAINING)
            return _push(_replace_target(state, target))
    return state, ()


def on_target_withdrawn(state, event):
    """Forget a target that has stopped."""
    record = own_record(state)
    kept = tuple(t for t in record.targets if t.target_id != event.target_id)
    if kept == record.targets:
        return state, ()
    return _push(with_own_record(state, targets=kept))


def on_stop(state, event):
    """Tell the peers that this node leaves."""
    return _push(with_own_record(state, status=MemberStatus.LEAVING))


def _peers(state):
    return sorted(
        record.addr
        for record in state.mesh.members.values()
        if record.node_id != state.me.node_id and record.status is not MemberStatus.DEAD
    )


def _push(state, draw=0):
    """Send the hot records to a few peers and lower their remaining sends."""
    mesh = state.mesh
    peers = _peers(state)
    if not mesh.rumours or not peers:
        return state, ()
    chosen = {peers[(draw + i * 7919) % len(peers)] for i in range(RUMOUR_FANOUT)}
    records = tuple(mesh.members[node_id] for node_id in sorted(mesh.rumours))
    left = {node_id: sends - 1 for node_id, sends in mesh.rumours.items() if sends > 1}
    state = replace(state, mesh=replace(mesh, rumours=Map(left)))
    return state, tuple(SendRumours(addr, records) for addr in sorted(chosen))


def on_tick(state, event):
    """Spread what is new."""
    return _push(state, event.draw)
