"""pimentoline.member_records: the member records held, and this node's own."""

import hashlib
from dataclasses import replace

from immutables import Map

from .model import Member, MemberStatus, TargetState, UnconfirmedTarget

__all__ = [
    "DEAD_KEEP_S",
    "SYNC_BUCKETS",
    "UNCONFIRMED_S",
    "bucket_of",
    "digests",
    "for_wire",
    "is_newer",
    "is_running",
    "own_record",
    "routable",
    "with_own_record",
    "with_records",
    "without",
]

# 8 rounds of 3 sends reach a given peer with a probability above 1 - e**-24 once the
# other members send as often; fewer rounds lose rumours when datagrams are lost.
GOSSIP_SENDS = 8
# A rumour that travels longer than this must not bring back a dead member.
DEAD_KEEP_S = 3600.0
UNCONFIRMED_S = 60.0
# At rest a synchronisation exchanges only this many digests of 8 bytes. Decoding all
# 720 records instead would block the event loop for about 75 ms.
SYNC_BUCKETS = 64

_RANK = {
    MemberStatus.ALIVE: 0,
    MemberStatus.LEAVING: 1,
    MemberStatus.SUSPECT: 2,
    MemberStatus.DEAD: 3,
}


def _order(record):
    return record.incarnation, record.seq, _RANK[record.status]


def is_newer(record, held):
    """Return whether `record` replaces `held`, which may be None."""
    return held is None or _order(record) > _order(held)


def is_running(record):
    """Return whether a member has neither left nor died."""
    return record.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)


def own_record(state):
    """Return this node's record, made at the first use."""
    me = state.identity
    found = state.mesh.members.get(me.node_id)
    if found is not None:
        return found
    return Member(me.node_id, me.host, me.mesh_addr, me.region, me.dc, me.incarnation)


def with_own_record(state, now=0.0, **changes):
    """Return the state with a newer record of this node, queued as a rumour.

    `now` is needed only if the status changes.
    """
    record = own_record(state)
    changes = {"seq": record.seq + 1, "rules_version": state.rules.version} | changes
    return with_records(state, [replace(record, **changes)], now)


def with_records(state, records, now=0.0, spread=True):
    """Return the state with newer member records.

    If `spread` is True, each of them is queued as a rumour.
    """
    mesh = state.mesh
    members, rumours, suspects = (
        mesh.members,
        mesh.pending_gossip,
        mesh.suspect_deadlines,
    )
    ended, unconfirmed = mesh.ended_at, mesh.unconfirmed
    routes_changed = False
    for record in records:
        name, held = record.node_id, members.get(record.node_id)
        routes_changed |= _changes_routes(held, record)
        if is_running(record):
            ended = without(ended, name)
            restarted = held is not None and held.incarnation < record.incarnation
            if restarted and is_running(held):
                unconfirmed = _unconfirm(unconfirmed, held, now, now)
            for target in record.targets:
                unconfirmed = without(unconfirmed, target.target_id)
        else:
            if name not in ended or (held is not None and is_running(held)):
                ended = ended.set(name, now - record.age_s)
            unconfirmed = _unconfirm(unconfirmed, record, ended[name], now)
        if record.status is not MemberStatus.SUSPECT:
            suspects = without(suspects, name)
        members = members.set(name, replace(record, age_s=0.0))
        if spread:
            rumours = rumours.set(name, GOSSIP_SENDS)
    mesh = replace(
        mesh,
        members=members,
        pending_gossip=rumours,
        suspect_deadlines=suspects,
        ended_at=ended,
        unconfirmed=unconfirmed,
    )
    if routes_changed:
        mesh = replace(mesh, by_service=routable(mesh))
    return replace(state, mesh=mesh)


def without(found, key):
    """Return a map without a key that it may not have."""
    return found.delete(key) if key in found else found


def _changes_routes(held, record):
    if held is None:
        return bool(record.targets)
    return (
        held.targets != record.targets
        or is_running(held) != is_running(record)
        or held.incarnation != record.incarnation
    )


def _unconfirm(unconfirmed, record, since, now):
    """Keep the targets of a node that ended at `since`."""
    until = since + UNCONFIRMED_S
    for target in record.targets:
        if target.state is TargetState.GONE:
            unconfirmed = without(unconfirmed, target.target_id)
        elif until > now:
            entry = UnconfirmedTarget(target, until)
            unconfirmed = unconfirmed.set(target.target_id, entry)
    return unconfirmed


def routable(mesh):
    """Return the targets to route to, grouped by service, in order of their ids.

    A target that a running node announces counts as that node says, even if it
    says `gone`; of two running nodes the one that started later is right.
    """
    found = {name: (-1, entry.target) for name, entry in mesh.unconfirmed.items()}
    for record in mesh.members.values():
        if not is_running(record):
            continue
        for target in record.targets:
            known = found.get(target.target_id)
            if known is None or known[0] < record.incarnation:
                found[target.target_id] = (record.incarnation, target)
    grouped = {}
    for _, (_, target) in sorted(found.items()):
        if target.state is not TargetState.GONE:
            grouped.setdefault(target.service, []).append(target)
    return Map({name: tuple(targets) for name, targets in grouped.items()})


def for_wire(state, records, now):
    """Return the records with their ages, as they are sent to peers."""
    ended = state.mesh.ended_at
    return tuple(
        replace(record, age_s=max(0.0, now - ended[record.node_id]))
        if record.node_id in ended
        else record
        for record in records
    )


def bucket_of(node_id):
    """Return the synchronisation bucket of a node id."""
    return hashlib.blake2b(node_id.encode(), digest_size=2).digest()[0] % SYNC_BUCKETS


def digests(members):
    """Return one 64-bit digest for each bucket; equal buckets have equal digests."""
    found = [0] * SYNC_BUCKETS
    for record in members.values():
        text = f"{record.node_id} {_order(record)}"
        value = hashlib.blake2b(text.encode(), digest_size=8).digest()
        found[bucket_of(record.node_id)] ^= int.from_bytes(value, "big")
    return tuple(found)
