"""pimentoline.gossip: spreading of new records, and synchronisation."""

import random
from dataclasses import replace

from .effects import QueryPeer, SendMessage
from .member_records import (
    SYNC_BUCKETS,
    bucket_of,
    digests,
    for_wire,
    is_newer,
    is_running,
)
from .messages import Gossip, SyncReply, SyncRequest
from .model import MemberStatus

__all__ = [
    "lost_regions",
    "on_sync_reply",
    "push",
    "request_sync",
    "running_peers",
    "sync_reply",
    "sync_when_due",
]

GOSSIP_FANOUT = 3
# Bounds the burst after the loss of a data centre (120 nodes): 60 records made a node
# send 41 KB/s, above the limit of 27 KB/s. What is left waits for the next round,
# 200 ms later.
MAX_RECORDS_PER_PUSH = 20
SYNC_INTERVAL_S = 60.0
# An unknown sender or a refuted death calls for a synchronisation at once; this
# bounds their rate.
SYNC_MIN_GAP_S = 1.0
LOST_REGION_SHARE = 0.3
# The failure of a single host is not a partition, however small its region.
LOST_REGION_MIN = 2


def running_peers(state):
    """Return the records of the other running members, in order of their ids."""
    members = state.mesh.members
    return [
        members[name]
        for name in sorted(members)
        if name != state.identity.node_id and is_running(members[name])
    ]


def push(state, now, draw):
    """Send what is new to a few peers and lower its remaining sends."""
    mesh, rules = state.mesh, state.rules
    if not mesh.pending_gossip and not rules.remaining_sends:
        return state, ()
    peers = running_peers(state)
    if not peers:
        return state, ()
    chosen = random.Random(draw).sample(peers, min(GOSSIP_FANOUT, len(peers)))
    # The records with the most sends left are the newest.
    hot = sorted(
        mesh.pending_gossip, key=lambda name: (-mesh.pending_gossip[name], name)
    )
    left = mesh.pending_gossip
    for name in hot[:MAX_RECORDS_PER_PUSH]:
        sends = left[name] - 1
        left = left.set(name, sends) if sends else left.delete(name)
    records = [mesh.members[name] for name in hot[:MAX_RECORDS_PER_PUSH]]
    state = replace(
        state,
        mesh=replace(mesh, pending_gossip=left),
        rules=replace(rules, remaining_sends=max(0, rules.remaining_sends - 1)),
    )
    addrs = tuple(record.addr for record in chosen)
    return state, (SendMessage(addrs, Gossip(for_wire(state, records, now))),)


def lost_regions(state):
    """Return the regions of which several, and more than 30%, are suspect or dead."""
    missing = _missing(state)
    total = dict.fromkeys(missing, 0)
    for record in state.mesh.members.values():
        if record.status is MemberStatus.ALIVE and record.region in total:
            total[record.region] += 1
    return {
        region
        for region, gone in missing.items()
        if len(gone) >= LOST_REGION_MIN
        and len(gone) > LOST_REGION_SHARE * (total[region] + len(gone))
    }


def _missing(state):
    """Return the suspect and dead members by region.

    A dead member whose host has a running node was replaced and does not count.
    """
    members = state.mesh.members
    hosts = {record.host for record in members.values() if is_running(record)}
    found = {}
    for name in sorted(members):
        record = members[name]
        replaced = record.status is MemberStatus.DEAD and record.host in hosts
        if record.status in (MemberStatus.SUSPECT, MemberStatus.DEAD) and not replaced:
            found.setdefault(record.region, []).append(record)
    return found


def request_sync(state, addr, now):
    """Ask a peer for what is missing here, unless this was just done."""
    if now < state.mesh.last_sync_at + SYNC_MIN_GAP_S:
        return state, ()
    mesh = replace(state.mesh, last_sync_at=now)
    request = SyncRequest(digests(mesh.members))
    return replace(state, mesh=mesh), (QueryPeer(addr, request),)


def sync_when_due(state, now, draw):
    """Synchronise with a random peer and with remembered members.

    One missing member of each region is asked as well, which joins the two sides of
    a partition again once it has ended.
    """
    if now < state.mesh.next_sync_at:
        return state, ()
    rand = random.Random(draw)
    peers = running_peers(state)
    addrs = [rand.choice(peers).addr] if peers else []
    for _, gone in sorted(_missing(state).items()):
        addrs.append(rand.choice(gone).addr)
    # The jitter keeps nodes that started together from synchronising together.
    due = now + SYNC_INTERVAL_S * rand.uniform(0.9, 1.1)
    state = replace(state, mesh=replace(state.mesh, next_sync_at=due, last_sync_at=now))
    if not addrs:
        return state, ()
    request = SyncRequest(digests(state.mesh.members))
    return state, tuple(QueryPeer(addr, request) for addr in dict.fromkeys(addrs))


def sync_reply(state, request, now):
    """Return the reply to a `SyncRequest`: the records of the buckets that differ."""
    theirs = request.digests
    if len(theirs) != SYNC_BUCKETS:
        # Another release may use another number of buckets; it gets everything.
        theirs = (None,) * SYNC_BUCKETS
    members = state.mesh.members
    differ = {
        bucket
        for bucket, (own, other) in enumerate(zip(digests(members), theirs))
        if own != other
    }
    records = [members[name] for name in sorted(members) if bucket_of(name) in differ]
    return SyncReply(tuple(sorted(differ)), for_wire(state, records, now))


def on_sync_reply(state, reply, addr, now):
    """Return the effects that give the replier what it lacks."""
    theirs = {record.node_id: record for record in reply.records}
    buckets = set(reply.buckets)
    lacking = [
        record
        for name, record in sorted(state.mesh.members.items())
        if bucket_of(name) in buckets and is_newer(record, theirs.get(name))
    ]
    if not lacking or addr is None:
        return ()
    return (QueryPeer(addr, Gossip(for_wire(state, lacking, now))),)
