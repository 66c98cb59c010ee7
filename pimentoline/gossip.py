"""pimentoline.gossip: gossip of new member records, and synchronisation."""

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
# Bounds the burst after the loss of a data centre (120 nodes): 60 records made a node
# send 41 KB/s, above the limit of 27 KB/s. The remaining records are sent in the next
# rounds, each 200 ms later.
MAX_RECORDS_PER_PUSH = 20
SYNC_INTERVAL_S = 60.0
# Bounds the rate of synchronisations that messages trigger: a ping from an unknown
# sender, or gossip that declares this node dead.
MIN_SYNC_INTERVAL_S = 1.0
LOST_REGION_FRACTION = 0.3
# The failure of a single host is not a partition, however small its region is.
LOST_REGION_MIN_MEMBERS = 2


def running_peers(state):
    """Return the records of the other running members, in order of their ids."""
    members = state.mesh.members
    return [
        members[name]
        for name in sorted(members)
        if name != state.identity.node_id and is_running(members[name])
    ]


def push_gossip(state, now, draw):
    """Send the newest records to a few random peers.

    Each record is sent in a limited number of rounds. Every message names the rules
    version, so one without records is sent while only that is new.
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
        mesh.pending_gossip, key=lambda name: (-mesh.pending_gossip[name], name)
    )
    remaining = mesh.pending_gossip
    for name in newest[:MAX_RECORDS_PER_PUSH]:
        sends = remaining[name] - 1
        remaining = remaining.set(name, sends) if sends else remaining.delete(name)
    records = [mesh.members[name] for name in newest[:MAX_RECORDS_PER_PUSH]]
    state = replace(
        state,
        mesh=replace(mesh, pending_gossip=remaining),
        rules=replace(rules, remaining_sends=max(0, rules.remaining_sends - 1)),
    )
    addrs = tuple(record.addr for record in chosen)
    return state, (SendMessage(addrs, Gossip(with_ages(state, records, now))),)


def lost_regions(state):
    """Return the regions with over 30%, and at least 2, of their members missing."""
    missing = _missing_members(state)
    total = dict.fromkeys(missing, 0)
    for record in state.mesh.members.values():
        if record.status is MemberStatus.ALIVE and record.region in total:
            total[record.region] += 1
    return {
        region
        for region, absent in missing.items()
        if len(absent) >= LOST_REGION_MIN_MEMBERS
        and len(absent) > LOST_REGION_FRACTION * (total[region] + len(absent))
    }


def _missing_members(state):
    """Return the suspect and dead members by region.

    A dead member whose host has a running node was replaced and does not count.
    """
    members = state.mesh.members
    hosts = {record.host for record in members.values() if is_running(record)}
    by_region = {}
    for name in sorted(members):
        record = members[name]
        replaced = record.status is MemberStatus.DEAD and record.host in hosts
        if record.status in (MemberStatus.SUSPECT, MemberStatus.DEAD) and not replaced:
            by_region.setdefault(record.region, []).append(record)
    return by_region


def request_sync(state, addr, now):
    """Synchronise with a peer, unless the latest synchronisation was just started."""
    if now < state.mesh.last_sync_at + MIN_SYNC_INTERVAL_S:
        return state, ()
    mesh = replace(state.mesh, last_sync_at=now)
    request = SyncRequest(digests(mesh.members))
    return replace(state, mesh=mesh), (QueryPeer(addr, request),)


def sync_when_due(state, now, draw):
    """Synchronise with a random peer and with missing members at regular intervals.

    One suspect or dead member of each region is asked as well, so that the two sides
    of a partition find each other again after it has ended.
    """
    if now < state.mesh.next_sync_at:
        return state, ()
    rand = random.Random(draw)
    peers = running_peers(state)
    addrs = [rand.choice(peers).addr] if peers else []
    for _, absent in sorted(_missing_members(state).items()):
        addrs.append(rand.choice(absent).addr)
    # The jitter keeps nodes that started together from synchronising at the same time.
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
        # Another release may use another number of buckets; send it all records.
        theirs = (None,) * SYNC_BUCKETS
    members = state.mesh.members
    differ = {
        bucket
        for bucket, (own, other) in enumerate(zip(digests(members), theirs))
        if own != other
    }
    records = [members[name] for name in sorted(members) if bucket_of(name) in differ]
    return SyncReply(tuple(sorted(differ)), with_ages(state, records, now))


def on_sync_reply(state, reply, addr, now):
    """Return the effects that send the replier the records that it lacks."""
    theirs = {record.node_id: record for record in reply.records}
    buckets = set(reply.buckets)
    lacked = [
        record
        for name, record in sorted(state.mesh.members.items())
        if bucket_of(name) in buckets and is_newer(record, theirs.get(name))
    ]
    if not lacked or addr is None:
        return ()
    return (QueryPeer(addr, Gossip(with_ages(state, lacked, now))),)
