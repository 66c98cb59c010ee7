"""pimentoline.member_records: comparison, storage and digests of member records."""

import hashlib
from dataclasses import replace

from immutables import Map

from .model import Member, MemberStatus, TargetState, UnconfirmedTarget

__all__ = [
    "DEAD_RETENTION_S",
    "SYNC_BUCKETS",
    "UNCONFIRMED_RETENTION_S",
    "bucket_of",
    "digests",
    "is_newer",
    "is_running",
    "own_record",
    "routable_targets",
    "with_ages",
    "with_own_record",
    "with_records",
    "without",
]

# Rounds in which each member sends a new record on. With 3 peers a round, 8 rounds
# reach a given peer with a probability above 1 - e**-24; with fewer rounds, records
# failed to reach some peers when datagrams were lost.
GOSSIP_SENDS = 8
# Dead members are remembered for this long, so that gossip which was delayed by less
# cannot bring them back.
DEAD_RETENTION_S = 3600.0
# Targets stay routable for this long after their node has left or died.
UNCONFIRMED_RETENTION_S = 60.0
# Peers with equal records exchange only this many digests of 8 bytes. Decoding all
# 720 records instead would block the event loop for about 75 ms.
SYNC_BUCKETS = 64

# Of two records with equal counters, the one with the higher precedence is valid.
_STATUS_PRECEDENCE = {
    MemberStatus.ALIVE: 0,
    MemberStatus.LEAVING: 1,
    MemberStatus.SUSPECT: 2,
    MemberStatus.DEAD: 3,
}


def _precedence(record):
    return record.incarnation, record.seq, _STATUS_PRECEDENCE[record.status]


def is_newer(record, held):
    """Return whether `record` replaces `held`, which may be None."""
    return held is None or _precedence(record) > _precedence(held)


def is_running(record):
    """Return whether a member has neither left nor died."""
    return record.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)


def own_record(state):
    """Return this node's own record, a new one if the state has none yet."""
    identity = state.identity
    held = state.mesh.members.get(identity.node_id)
    if held is not None:
        return held
    return Member(
        identity.node_id,
        identity.host,
        identity.mesh_addr,
        identity.region,
        identity.dc,
        identity.incarnation,
    )


def with_own_record(state, now=0.0, **changes):
    """Return the state with a newer record of this node, queued for gossip.

    `now` is needed only if the status changes.
    """
    record = own_record(state)
    changes = {"seq": record.seq + 1, "rules_version": state.rules.version} | changes
    return with_records(state, [replace(record, **changes)], now)


def with_records(state, records, now=0.0, gossip=True):
    """Return the state with newer member records in place of those held.

    If `gossip` is True, each of them is queued for gossip.
    """
    mesh = state.mesh
    members, pending, deadlines = (
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
                unconfirmed = _keep_unconfirmed(unconfirmed, held, now, now)
            for target in record.targets:
                unconfirmed = without(unconfirmed, target.target_id)
        else:
            if name not in ended or (held is not None and is_running(held)):
                ended = ended.set(name, now - record.age_s)
            unconfirmed = _keep_unconfirmed(unconfirmed, record, ended[name], now)
        if record.status is not MemberStatus.SUSPECT:
            deadlines = without(deadlines, name)
        members = members.set(name, replace(record, age_s=0.0))
        if gossip:
            pending = pending.set(name, GOSSIP_SENDS)
    mesh = replace(
        mesh,
        members=members,
        pending_gossip=pending,
        suspect_deadlines=deadlines,
        ended_at=ended,
        unconfirmed=unconfirmed,
    )
    if routes_changed:
        mesh = replace(mesh, by_service=routable_targets(mesh))
    return replace(state, mesh=mesh)


def without(mapping, key):
    """Return a map without a key, if it has that key."""
    return mapping.delete(key) if key in mapping else mapping


def _changes_routes(held, record):
    if held is None:
        return bool(record.targets)
    return (
        held.targets != record.targets
        or is_running(held) != is_running(record)
        or held.incarnation != record.incarnation
    )


def _keep_unconfirmed(unconfirmed, record, since, now):
    """Keep the targets of a node that left or died at `since` as unconfirmed."""
    until = since + UNCONFIRMED_RETENTION_S
    for target in record.targets:
        if target.state is TargetState.GONE:
            unconfirmed = without(unconfirmed, target.target_id)
        elif until > now:
            entry = UnconfirmedTarget(target, until)
            unconfirmed = unconfirmed.set(target.target_id, entry)
    return unconfirmed


def routable_targets(mesh):
    """Return the targets to route to, grouped by service, in order of their ids.

    The announcement of a running node overrides an unconfirmed target, even with the
    state `gone`. Of two running nodes, the one that started later takes precedence.
    """
    by_id = {name: (-1, entry.target) for name, entry in mesh.unconfirmed.items()}
    for record in mesh.members.values():
        if not is_running(record):
            continue
        for target in record.targets:
            known = by_id.get(target.target_id)
            if known is None or known[0] < record.incarnation:
                by_id[target.target_id] = (record.incarnation, target)
    grouped = {}
    for _, (_, target) in sorted(by_id.items()):
        if target.state is not TargetState.GONE:
            grouped.setdefault(target.service, []).append(target)
    return Map({name: tuple(targets) for name, targets in grouped.items()})


def with_ages(state, records, now):
    """Return the records to send, with `age_s` set for members that left or died."""
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
    """Return one 64-bit digest of the member records in each bucket."""
    values = [0] * SYNC_BUCKETS
    for record in members.values():
        text = f"{record.node_id} {_precedence(record)}"
        value = hashlib.blake2b(text.encode(), digest_size=8).digest()
        values[bucket_of(record.node_id)] ^= int.from_bytes(value, "big")
    return tuple(values)
