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
    "without_key",
]

# Number of gossip rounds in which each member sends a new record. With 3 peers a round,
# 8 rounds reach a given peer with a probability above 1 - e**-24. With fewer rounds,
# lost datagrams can keep a record from reaching some peers.
GOSSIP_SENDS = 8
# Records of members that left or died are kept for this long. As long as a record is
# kept, older gossip that arrives late cannot revive the member.
DEAD_RETENTION_S = 3600.0
# After a node has left, died or restarted, its targets are unconfirmed until a running
# node announces them. They stay routable for this long.
UNCONFIRMED_RETENTION_S = 60.0
# Number of buckets of member records. Peers with equal records exchange only a digest
# of 8 bytes for each bucket; decoding all records of a mesh of 720 nodes would block
# the event loop for about 75 ms.
SYNC_BUCKETS = 64

# Of two records of a node with equal `incarnation` and `seq`, the one with the higher
# precedence is valid.
_STATUS_PRECEDENCE = {
    MemberStatus.ALIVE: 0,
    MemberStatus.LEAVING: 1,
    MemberStatus.SUSPECT: 2,
    MemberStatus.DEAD: 3,
}


def _precedence(record):
    return record.incarnation, record.seq, _STATUS_PRECEDENCE[record.status]


def is_newer(record, held):
    """Return whether `record` supersedes `held`, the known record or None."""
    return held is None or _precedence(record) > _precedence(held)


def is_running(record):
    """Return whether a member is alive or suspect, so it has neither left nor died."""
    return record.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)


def own_record(state):
    """Return this node's own record, or a new one if the state contains none."""
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

    `changes` are fields of `Member`. `now` is needed only if the status changes.
    """
    record = own_record(state)
    changes = {"seq": record.seq + 1, "rules_version": state.rules.version} | changes
    return with_records(state, [replace(record, **changes)], now)


def with_records(state, records, now=0.0, gossip=True):
    """Return the state with newer member records in place of the known ones.

    If `gossip` is True, each new record is queued for gossip. If a member has left or
    died, the time at which it did so is stored in `ended_at`; `age_s` of its record is
    the time since then.
    """
    mesh = state.mesh
    members, pending, deadlines = (
        mesh.members,
        mesh.pending_gossip,
        mesh.suspect_deadlines,
    )
    ended_at, unconfirmed = mesh.ended_at, mesh.unconfirmed
    routes_changed = False
    for record in records:
        node_id, held = record.node_id, members.get(record.node_id)
        routes_changed |= _changes_routes(held, record)
        if is_running(record):
            ended_at = without_key(ended_at, node_id)
            restarted = held is not None and held.incarnation < record.incarnation
            if restarted and is_running(held):
                # The restarted node first has to learn of its targets again. Those that
                # it announced before stay routable in the meantime.
                unconfirmed = _keep_unconfirmed(unconfirmed, held, now, now)
            for target in record.targets:
                unconfirmed = without_key(unconfirmed, target.target_id)
        else:
            if node_id not in ended_at or (held is not None and is_running(held)):
                ended_at = ended_at.set(node_id, now - record.age_s)
            unconfirmed = _keep_unconfirmed(unconfirmed, record, ended_at[node_id], now)
        if record.status is not MemberStatus.SUSPECT:
            deadlines = without_key(deadlines, node_id)
        members = members.set(node_id, replace(record, age_s=0.0))
        if gossip:
            pending = pending.set(node_id, GOSSIP_SENDS)
    mesh = replace(
        mesh,
        members=members,
        pending_gossip=pending,
        suspect_deadlines=deadlines,
        ended_at=ended_at,
        unconfirmed=unconfirmed,
    )
    if routes_changed:
        mesh = replace(mesh, by_service=routable_targets(mesh))
    return replace(state, mesh=mesh)


def without_key(mapping, key):
    """Return a map without a key, or the map itself if it does not have the key."""
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
    """Return `unconfirmed` with the targets in the record of a node.

    The node left, died or restarted at `since`.
    """
    until = since + UNCONFIRMED_RETENTION_S
    for target in record.targets:
        if target.state is TargetState.GONE:
            unconfirmed = without_key(unconfirmed, target.target_id)
        elif until > now:
            entry = UnconfirmedTarget(target, until)
            unconfirmed = unconfirmed.set(target.target_id, entry)
    return unconfirmed


def routable_targets(mesh):
    """Return the routable targets by service, in order of their ids.

    If a running node announces a target that is also unconfirmed, the announcement is
    valid, even one of the state `gone`. Of two running nodes that announce a target,
    the one that started later takes precedence.
    """
    # By target id: tuple (incarnation of the node that announces the target, target).
    # The incarnation is -1 for an unconfirmed target.
    by_id = {
        target_id: (-1, entry.target) for target_id, entry in mesh.unconfirmed.items()
    }
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
    return Map({service: tuple(targets) for service, targets in grouped.items()})


def with_ages(state, records, now):
    """Return the records to send, with `age_s` set for members that left or died."""
    ended_at = state.mesh.ended_at
    return tuple(
        replace(record, age_s=max(0.0, now - ended_at[record.node_id]))
        if record.node_id in ended_at
        else record
        for record in records
    )


def bucket_of(node_id):
    """Return the synchronisation bucket of a node id, from 0 to `SYNC_BUCKETS` - 1.

    Only the first of the two hash bytes is used, but a hash of another size would begin
    with another byte, and all nodes must agree on the buckets.
    """
    return hashlib.blake2b(node_id.encode(), digest_size=2).digest()[0] % SYNC_BUCKETS


def digests(members):
    """Return one 64-bit digest of the member records in each bucket."""
    values = [0] * SYNC_BUCKETS
    for record in members.values():
        text = f"{record.node_id} {_precedence(record)}"
        value = hashlib.blake2b(text.encode(), digest_size=8).digest()
        values[bucket_of(record.node_id)] ^= int.from_bytes(value, "big")
    return tuple(values)
