"""pimentoline.gossip: gossip of new member records, and synchronisation with peers.

Nodes gossip new records to random peers in datagrams (`SendMessage`). Two peers
synchronise all their records over TCP (`QueryPeer`). The records are divided into
buckets by a hash of the node id. One peer sends a digest of each bucket, the other
replies with the records of the buckets whose digests differ, and the first sends back
the records that the other lacks.

`push_gossip`, `request_sync` and `sync_when_due` return the new state and a tuple of
effects.
"""

import random
from dataclasses import replace

from .effects import QueryPeer, SendMessage
from .member_records import (
    SYNC_BUCKETS,
    bucket_of,
    digests,
    is_newer,
    is_running,
    with_ages,
)
from .messages import Gossip, SyncReply, SyncRequest
from .model import MemberStatus

__all__ = [
    "lost_regions",
    "on_sync_reply",
    "push_gossip",
    "request_sync",
    "running_peers",
    "sync_reply",
    "sync_when_due",
]

GOSSIP_FANOUT = 3
# Bounds the burst after the loss of a data centre (120 nodes): with 60 records in a
# round, a node sends 41 KB/s, above its limit of 27 KB/s for the traffic of the control
# plane. The remaining records are sent in the next rounds, one round every 200 ms.
MAX_RECORDS_PER_PUSH = 20
SYNC_INTERVAL_S = 60.0
# Bounds the rate of synchronisations triggered by messages: pings from unknown senders,
# and gossip that declares this node dead.
MIN_SYNC_INTERVAL_S = 1.0
# A region counts as lost if more than this fraction of its members is missing, that is,
# suspect or dead.
LOST_REGION_FRACTION = 0.3
# The failure of a single host is not a partition, however small its region is.
LOST_REGION_MIN_MEMBERS = 2


def running_peers(state):
    """Return the records of the other running members, in order of their ids.

    A member is running if it is alive or suspect.
    """
    members = state.mesh.members
    return [
        members[node_id]
        for node_id in sorted(members)
        if node_id != state.identity.node_id and is_running(members[node_id])
    ]


def push_gossip(state, now, draw):
    """Send the newest records to `GOSSIP_FANOUT` random peers.

    Each record is sent in a limited number of rounds. Every message carries the rules
    version, so a message without records is sent if only the version is new.
    """
    mesh, rules = state.mesh, state.rules
    if not mesh.pending_gossip and not rules.remaining_sends:
        return state, ()
    peers = running_peers(state)
    if not peers:
        return state, ()
    chosen = random.Random(draw).sample(peers, min(GOSSIP_FANOUT, len(peers)))
    # The records with the most remaining sends are the newest.
    newest = sorted(
        mesh.pending_gossip,
        key=lambda node_id: (-mesh.pending_gossip[node_id], node_id),
    )
    remaining = mesh.pending_gossip
    for node_id in newest[:MAX_RECORDS_PER_PUSH]:
        sends = remaining[node_id] - 1
        remaining = (
            remaining.set(node_id, sends) if sends else remaining.delete(node_id)
        )
    records = [mesh.members[node_id] for node_id in newest[:MAX_RECORDS_PER_PUSH]]
    state = replace(
        state,
        mesh=replace(mesh, pending_gossip=remaining),
        rules=replace(rules, remaining_sends=max(0, rules.remaining_sends - 1)),
    )
    addrs = tuple(record.addr for record in chosen)
    # `with_ages` adds the time since the member left or died, if it did.
    return state, (SendMessage(addrs, Gossip(with_ages(state, records, now))),)


def lost_regions(state):
    """Return the regions with over 30%, and at least 2, of their members missing."""
    missing = _missing_members(state)
    alive_counts = dict.fromkeys(missing, 0)
    for record in state.mesh.members.values():
        if record.status is MemberStatus.ALIVE and record.region in alive_counts:
            alive_counts[record.region] += 1
    return {
        region
        for region, absent in missing.items()
        if len(absent) >= LOST_REGION_MIN_MEMBERS
        and len(absent) > LOST_REGION_FRACTION * (alive_counts[region] + len(absent))
    }


def _missing_members(state):
    """Return the records of the suspect and dead members by region.

    A dead member whose host has a running node was replaced and is not missing.
    """
    members = state.mesh.members
    hosts = {record.host for record in members.values() if is_running(record)}
    by_region = {}
    for node_id in sorted(members):
        record = members[node_id]
        replaced = record.status is MemberStatus.DEAD and record.host in hosts
        if record.status in (MemberStatus.SUSPECT, MemberStatus.DEAD) and not replaced:
            by_region.setdefault(record.region, []).append(record)
    return by_region


def request_sync(state, addr, now):
    """Synchronise with a peer, unless a synchronisation started less than 1 s ago."""
    if now < state.mesh.last_sync_at + MIN_SYNC_INTERVAL_S:
        return state, ()
    mesh = replace(state.mesh, last_sync_at=now)
    request = SyncRequest(digests(mesh.members))
    return replace(state, mesh=mesh), (QueryPeer(addr, request),)


def sync_when_due(state, now, draw):
    """Synchronise with a random peer and with missing members at regular intervals.

    One suspect or dead member of each region is queried as well, so that the two sides
    of a partition find each other again after the partition has ended.
    """
    if now < state.mesh.next_sync_at:
        return state, ()
    rand = random.Random(draw)
    peers = running_peers(state)
    addrs = [rand.choice(peers).addr] if peers else []
    for _, absent in sorted(_missing_members(state).items()):
        addrs.append(rand.choice(absent).addr)
    # The jitter keeps nodes that started together from synchronising at the same time.
    next_sync_at = now + SYNC_INTERVAL_S * rand.uniform(0.9, 1.1)
    state = replace(
        state, mesh=replace(state.mesh, next_sync_at=next_sync_at, last_sync_at=now)
    )
    if not addrs:
        return state, ()
    request = SyncRequest(digests(state.mesh.members))
    return state, tuple(QueryPeer(addr, request) for addr in dict.fromkeys(addrs))


def sync_reply(state, request, now):
    """Return the reply to a `SyncRequest`: the records of the buckets that differ."""
    peer_digests = request.digests
    if len(peer_digests) != SYNC_BUCKETS:
        # The peer runs a release with another number of buckets; send all records.
        peer_digests = (None,) * SYNC_BUCKETS
    members = state.mesh.members
    differ = {
        bucket
        for bucket, (own, other) in enumerate(zip(digests(members), peer_digests))
        if own != other
    }
    records = [
        members[node_id] for node_id in sorted(members) if bucket_of(node_id) in differ
    ]
    return SyncReply(tuple(sorted(differ)), with_ages(state, records, now))


def on_sync_reply(state, reply, addr, now):
    """Return the effects that send the replying peer the records that it lacks.

    They are sent over TCP, like the request. `addr` is the mesh address of the peer. It
    is None if the message did not answer a request of this node but came as a request
    over TCP, because the mesh address of its sender is then not known.
    """
    peer_records = {record.node_id: record for record in reply.records}
    buckets = set(reply.buckets)
    lacked = [
        record
        for node_id, record in sorted(state.mesh.members.items())
        if bucket_of(node_id) in buckets and is_newer(record, peer_records.get(node_id))
    ]
    if not lacked or addr is None:
        return ()
    return (QueryPeer(addr, Gossip(with_ages(state, lacked, now))),)
