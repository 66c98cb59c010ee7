"""pimentoline.membership: member records and how they are kept up to date."""

from dataclasses import replace

from .effects import Reply
from .failure_detector import (
    check_members,
    on_ack,
    on_ping,
    on_ping_req,
    refute,
    start_suspicion,
)
from .gossip import on_sync_reply, push, request_sync, sync_reply, sync_when_due
from .member_records import (
    DEAD_KEEP_S,
    is_newer,
    is_running,
    own_record,
    with_own_record,
    with_records,
)
from .messages import Ack, Gossip, Ping, PingReq, SyncReply, SyncRequest
from .model import MemberStatus
from .target_states import expire_own, expire_unconfirmed, keep_drains

__all__ = ["on_members_received", "on_message", "on_stop", "on_tick"]


def on_members_received(state, event):
    """Take the records that are newer than the ones held."""
    return _take(state, event.records, event.now)


def _take(state, records, now, spread=True):
    newer, effects = {}, ()
    for record in records:
        name = record.node_id
        state = keep_drains(state, record, now)
        if name == state.identity.node_id:
            own = own_record(state)
            if is_newer(record, own):
                state, refuted = refute(state, record)
                effects += refuted
            elif record.status is not MemberStatus.ALIVE:
                # The sender has not heard of the refutation.
                state = with_records(state, [own], now)
            continue
        held = newer.get(name) or state.mesh.members.get(name)
        if not is_running(record) and record.age_s >= DEAD_KEEP_S:
            continue
        if is_newer(record, held):
            newer[name] = record
    if newer:
        state = with_records(state, newer.values(), now, spread)
        for record in newer.values():
            state = start_suspicion(state, record, now)
    return state, effects


def on_message(state, event):
    """Handle a message of the membership protocol; others change nothing."""
    now = event.now
    if event.addr is None and isinstance(event.body, (Ping, PingReq)):
        return state, ()
    match event.body:
        case Gossip(records):
            return _on_rumours(state, event, records)
        case SyncRequest():
            return state, (Reply(sync_reply(state, event.body, now)),)
        case SyncReply(_, records):
            # The replier has spread these records. A node that joins would otherwise
            # repeat all 720 of them, about 1 MB, to its peers.
            state, effects = _take(state, records, now, spread=False)
            return state, effects + on_sync_reply(state, event.body, event.addr, now)
        case Ping():
            return on_ping(state, event.body, event.sender, event.addr, now)
        case PingReq():
            return on_ping_req(state, event.body, event.addr)
        case Ack():
            return on_ack(state, event.body)
    return state, ()


def _on_rumours(state, event, records):
    accused = any(
        record.node_id == state.identity.node_id and record.status is MemberStatus.DEAD
        for record in records
    )
    state, effects = _take(state, records, event.now)
    if event.addr is None:
        return state, effects + (Reply(SyncReply((), ())),)
    if accused:
        # Nobody sends rumours to a member that is held for dead, so some are missing.
        state, asked = request_sync(state, event.addr, event.now)
        effects += asked
    return state, effects


def on_stop(state, event):
    """Tell the peers that this node leaves."""
    state = with_own_record(state, event.now, status=MemberStatus.LEAVING)
    return push(state, event.now, state.mesh.draw)


def on_tick(state, event):
    """Do what is due, and spread what is new."""
    now, draw = event.now, event.draw
    state = replace(state, mesh=replace(state.mesh, draw=draw, last_tick=now))
    state, effects = check_members(state, now, draw)
    state, expired = expire_own(state, now)
    state = _forget_ended(expire_unconfirmed(state, now), now)
    state, synced = sync_when_due(state, now, draw)
    state, pushed = push(state, now, draw)
    return state, effects + expired + synced + pushed


def _forget_ended(state, now):
    mesh = state.mesh
    old = [name for name, at in mesh.ended_at.items() if now - at >= DEAD_KEEP_S]
    if not old:
        return state
    members, ended, rumours = mesh.members, mesh.ended_at, mesh.pending_gossip
    for name in old:
        members, ended = members.delete(name), ended.delete(name)
        if name in rumours:
            rumours = rumours.delete(name)
    mesh = replace(mesh, members=members, ended_at=ended, pending_gossip=rumours)
    return replace(state, mesh=mesh)
