"""pimentoline.membership: event handlers of the membership protocol.

Each handler returns the new state and a tuple of effects.
"""

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
from .gossip import on_sync_reply, push_gossip, request_sync, sync_reply, sync_when_due
from .member_records import (
    DEAD_RETENTION_S,
    is_newer,
    is_running,
    own_record,
    with_own_record,
    with_records,
)
from .messages import Ack, Gossip, Ping, PingReq, SyncReply, SyncRequest
from .model import MemberStatus
from .target_states import (
    expire_own_targets,
    expire_unconfirmed_targets,
    inherit_drains,
)

__all__ = ["on_members_received", "on_message", "on_stop", "on_tick"]


def on_members_received(state, event):
    """Merge member records that a peer has sent."""
    return _merge_records(state, event.records, event.now)


def _merge_records(state, records, now, gossip=True):
    """Store the records that are newer than the known ones.

    A newer record of this node itself was created by another node and is refuted. If
    `gossip` is True, the stored records are queued for gossip.
    """
    newer, effects = {}, ()
    for record in records:
        node_id = record.node_id
        state = inherit_drains(state, record, now)
        if node_id == state.identity.node_id:
            own = own_record(state)
            if is_newer(record, own):
                state, refuted = refute(state, record)
                effects += refuted
            elif record.status is not MemberStatus.ALIVE:
                # The sender does not know that this node has refuted the record, so
                # the refutation is gossiped again.
                state = with_records(state, [own], now)
            continue
        known = newer.get(node_id) or state.mesh.members.get(node_id)
        if not is_running(record) and record.age_s >= DEAD_RETENTION_S:
            continue
        if is_newer(record, known):
            newer[node_id] = record
    if newer:
        state = with_records(state, newer.values(), now, gossip)
        for record in newer.values():
            state = start_suspicion(state, record, now)
    return state, effects


def on_message(state, event):
    """Handle a message of the membership protocol and ignore all others."""
    now = event.now
    if event.addr is None and isinstance(event.body, (Ping, PingReq)):
        # The message came over TCP, but the response is a datagram, which needs the
        # address of the sender.
        return state, ()
    match event.body:
        case Gossip(records):
            return _on_gossip(state, event, records)
        case SyncRequest():
            return state, (Reply(sync_reply(state, event.body, now)),)
        case SyncReply(_, records):
            # These records have been gossiped before. If a node that joins a mesh of
            # 720 nodes gossiped them again, it would send about 1 MB to its peers.
            state, effects = _merge_records(state, records, now, gossip=False)
            return state, effects + on_sync_reply(state, event.body, event.addr, now)
        case Ping():
            return on_ping(state, event.body, event.sender, event.addr, now)
        case PingReq():
            return on_ping_req(state, event.body, event.addr)
        case Ack():
            return on_ack(state, event.body)
    return state, ()


def _on_gossip(state, event, records):
    declared_dead = any(
        record.node_id == state.identity.node_id and record.status is MemberStatus.DEAD
        for record in records
    )
    state, effects = _merge_records(state, records, event.now)
    if event.addr is None:
        # Over TCP, the sender waits for a reply.
        return state, effects + (Reply(SyncReply((), ())),)
    if declared_dead:
        # Members do not gossip to a dead member, so this node has missed updates.
        state, requested = request_sync(state, event.addr, event.now)
        effects += requested
    return state, effects


def on_stop(state, event):
    """Announce to the peers that this node is leaving the mesh."""
    state = with_own_record(state, event.now, status=MemberStatus.LEAVING)
    return push_gossip(state, event.now, state.mesh.draw)


def on_tick(state, event):
    """Run failure detection, expiry, synchronisation and gossip."""
    now, draw = event.now, event.draw
    state = replace(state, mesh=replace(state.mesh, draw=draw, last_tick=now))
    state, effects = check_members(state, now, draw)
    state, expired = expire_own_targets(state, now)
    state = _remove_ended_members(expire_unconfirmed_targets(state, now), now)
    state, synced = sync_when_due(state, now, draw)
    state, pushed = push_gossip(state, now, draw)
    return state, effects + expired + synced + pushed


def _remove_ended_members(state, now):
    """Remove the members that left or died `DEAD_RETENTION_S` ago."""
    mesh = state.mesh
    expired_ids = [
        node_id for node_id, at in mesh.ended_at.items() if now - at >= DEAD_RETENTION_S
    ]
    if not expired_ids:
        return state
    members, ended_at, pending = mesh.members, mesh.ended_at, mesh.pending_gossip
    for node_id in expired_ids:
        members, ended_at = members.delete(node_id), ended_at.delete(node_id)
        if node_id in pending:
            pending = pending.delete(node_id)
    mesh = replace(mesh, members=members, ended_at=ended_at, pending_gossip=pending)
    return replace(state, mesh=mesh)
