"""pimentoline.failure_detector: failure detection by SWIM with Lifeguard.

A node pings one random member at a time. If the ack does not arrive, the node asks
other members to ping that member too (indirect pings). If no ack arrives through them
either, the node marks the member as suspect, and declares it dead after a timeout
unless the member refutes the suspicion.

All public functions except `start_suspicion` return the new state and a tuple of
effects; `start_suspicion` returns only the state. An effect describes an action, such
as a message to send; the node executes it.
"""

import random
from dataclasses import replace

from .effects import IncrementCounter, LogEntry, SendMessage
from .gossip import request_sync, running_peers
from .member_records import own_record, with_ages, with_own_record, with_records
from .messages import Ack, Gossip, Ping, PingReq
from .model import MemberStatus, PendingPing

__all__ = [
    "check_members",
    "on_ack",
    "on_ping",
    "on_ping_req",
    "refute",
    "start_suspicion",
]

PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 0.5
# Number of members that are asked to ping a member that did not acknowledge a ping.
INDIRECT_PINGS = 3
SUSPICION_TIMEOUT_S = 3.0
# The local health score of a healthy node is 0; a higher score is worse. A node that
# misses acks from several members is more likely to be slow itself, so each point adds
# one `PING_TIMEOUT_S` and one `SUSPICION_TIMEOUT_S` to its timeouts (Lifeguard, DSN
# 2018). A missed ack adds a point, and so does a suspicion of the node itself that it
# refutes; an ack removes one.
MAX_HEALTH_SCORE = 8


def _change_health_score(state, change):
    score = min(MAX_HEALTH_SCORE, max(0, state.mesh.health_score + change))
    return replace(state, mesh=replace(state.mesh, health_score=score))


def check_members(state, now, draw):
    """Check the pending ping, send the next one if due, and declare suspects dead.

    `draw` is a random integer. It seeds the choice of members, and it is the id of the
    ping that is sent.
    """
    state, effects = _check_pending_ping(state, now, draw)
    if state.mesh.pending_ping is None and now >= state.mesh.next_ping_at:
        state, ping_effects = _send_next_ping(state, now, draw)
        effects += ping_effects
    state, log_entries = _declare_dead(state, now)
    return state, effects + log_entries


def _send_next_ping(state, now, draw):
    peers = running_peers(state)
    mesh = replace(state.mesh, next_ping_at=now + PING_INTERVAL_S)
    if not peers:
        return replace(state, mesh=mesh), ()
    chosen = random.Random(draw).choice(peers)
    ping = PendingPing(chosen.node_id, draw, now)
    state = replace(state, mesh=replace(mesh, pending_ping=ping))
    return state, (SendMessage((chosen.addr,), Ping(draw)),)


def _check_pending_ping(state, now, draw):
    """Request indirect pings after one timeout, suspect the member after two."""
    ping = state.mesh.pending_ping
    if ping is None:
        return state, ()
    record = state.mesh.members.get(ping.node_id)
    if record is None or record.status in (MemberStatus.DEAD, MemberStatus.LEAVING):
        return replace(state, mesh=replace(state.mesh, pending_ping=None)), ()
    timeout_s = PING_TIMEOUT_S * (1 + state.mesh.health_score)
    waited_s = now - ping.sent_at
    if not ping.indirect and waited_s >= timeout_s:
        ping = replace(ping, indirect=True)
        state = replace(state, mesh=replace(state.mesh, pending_ping=ping))
        others = [p for p in running_peers(state) if p.node_id != ping.node_id]
        chosen = random.Random(draw).sample(others, min(INDIRECT_PINGS, len(others)))
        if not chosen:
            return state, ()
        addrs = tuple(peer.addr for peer in chosen)
        return state, (SendMessage(addrs, PingReq(ping.ping_id, record.addr)),)
    if not ping.indirect or waited_s < 2 * timeout_s:
        return state, ()
    state = replace(state, mesh=replace(state.mesh, pending_ping=None))
    state = _change_health_score(state, 1)
    if record.status is MemberStatus.SUSPECT:
        return state, ()
    suspect = replace(record, status=MemberStatus.SUSPECT)
    state = start_suspicion(with_records(state, [suspect], now), suspect, now)
    # The suspect itself gets the record at once, so that it can refute the suspicion.
    return state, (
        SendMessage((suspect.addr,), Gossip((suspect,))),
        IncrementCounter("mesh.suspected"),
    )


def start_suspicion(state, record, now):
    """If `record` is of a suspect, set the time at which it is declared dead."""
    mesh = state.mesh
    if record.status is not MemberStatus.SUSPECT:
        return state
    deadline = now + SUSPICION_TIMEOUT_S * (1 + mesh.health_score)
    deadlines = mesh.suspect_deadlines.set(record.node_id, deadline)
    return replace(state, mesh=replace(mesh, suspect_deadlines=deadlines))


def _declare_dead(state, now):
    """Declare expired suspects dead; `with_records` removes their deadlines."""
    expired_ids = sorted(
        node_id
        for node_id, deadline in state.mesh.suspect_deadlines.items()
        if deadline <= now
    )
    if not expired_ids:
        return state, ()
    dead = [
        replace(state.mesh.members[node_id], status=MemberStatus.DEAD)
        for node_id in expired_ids
    ]
    entries = tuple(
        LogEntry("mesh:dead", (("node", node_id),)) for node_id in expired_ids
    )
    return with_records(state, dead, now), entries


def on_ping(state, ping, sender, addr, now):
    """Acknowledge a ping, and synchronise with the sender if it is not a known member.

    An indirect ping starts no synchronisation. Its `requester` is the address of the
    node that asked `sender` for it; the ack goes to `sender`, which forwards it there.
    If this node considers the sender suspect or dead, it sends the sender the record
    with that status, so that the sender can refute it.
    """
    effects = (SendMessage((addr,), Ack(ping.ping_id, ping.requester)),)
    known = state.mesh.members.get(sender)
    if known is None and ping.requester is None:
        state, requested = request_sync(state, addr, now)
        return state, effects + requested
    if known is not None and known.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
        notice = Gossip(with_ages(state, (known,), now))
        effects += (SendMessage((addr,), notice),)
    return state, effects


def on_ping_req(state, request, addr):
    """Ping a member on behalf of the peer at `addr`, which receives the ack."""
    return state, (SendMessage((request.addr,), Ping(request.ping_id, addr)),)


def on_ack(state, ack):
    """Complete the pending ping, or forward the ack of an indirect ping.

    `ack.requester` is the address of the node that asked this node for the ping. It is
    None if this node receives the ack for a ping of its own.
    """
    if ack.requester is not None:
        return state, (SendMessage((ack.requester,), Ack(ack.ping_id)),)
    ping = state.mesh.pending_ping
    if ping is None or ping.ping_id != ack.ping_id:
        return state, ()
    state = replace(state, mesh=replace(state.mesh, pending_ping=None))
    return _change_health_score(state, -1), ()


def refute(state, record):
    """Replace this node's own record by one that is newer than `record`.

    Of two records, the one with the higher incarnation is newer; if these are equal,
    the one with the higher `seq`, which rises with each record that the node writes.
    `record` describes this node, but another node has created it, or has kept it from
    an earlier run of this node.
    """
    own = own_record(state)
    if record.incarnation > own.incarnation:
        # The incarnation is the start time in milliseconds, so that of an
        # earlier run is only higher if the clock was set back in between.
        changes = {"incarnation": record.incarnation + 1, "seq": 0}
    else:
        changes = {"seq": record.seq + 1}
    state = with_own_record(state, **changes)
    return _change_health_score(state, 1), (IncrementCounter("mesh.refuted"),)
