"""pimentoline.failure_detector: pings, suspicion and death (SWIM, Lifeguard)."""

import random
from dataclasses import replace

from .effects import IncrementCounter, LogEntry, SendMessage
from .gossip import request_sync, running_peers
from .member_records import for_wire, own_record, with_own_record, with_records
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

PING_S = 1.0
PING_TIMEOUT_S = 0.5
INDIRECT_PINGS = 3
SUSPICION_S = 3.0
# A node that misses acks from several members is more likely to be slow itself. Each
# such miss adds one `PING_TIMEOUT_S` and one `SUSPICION_S` (Lifeguard, DSN 2018).
MAX_HEALTH = 8


def _with_health(state, change):
    health = min(MAX_HEALTH, max(0, state.mesh.health_score + change))
    return replace(state, mesh=replace(state.mesh, health_score=health))


def check_members(state, now, draw):
    """Go on with the ping in flight, start the next one, end suspicions."""
    state, effects = _check_probe(state, now, draw)
    if state.mesh.pending_ping is None and now >= state.mesh.next_ping_at:
        state, started = _start_probe(state, now, draw)
        effects += started
    state, died = _declare_dead(state, now)
    return state, effects + died


def _start_probe(state, now, draw):
    peers = running_peers(state)
    mesh = replace(state.mesh, next_ping_at=now + PING_S)
    if not peers:
        return replace(state, mesh=mesh), ()
    chosen = random.Random(draw).choice(peers)
    probe = PendingPing(chosen.node_id, draw, now)
    state = replace(state, mesh=replace(mesh, pending_ping=probe))
    return state, (SendMessage((chosen.addr,), Ping(draw)),)


def _check_probe(state, now, draw):
    probe = state.mesh.pending_ping
    if probe is None:
        return state, ()
    record = state.mesh.members.get(probe.node_id)
    if record is None or record.status in (MemberStatus.DEAD, MemberStatus.LEAVING):
        return replace(state, mesh=replace(state.mesh, pending_ping=None)), ()
    timeout_s = PING_TIMEOUT_S * (1 + state.mesh.health_score)
    waited_s = now - probe.sent_at
    if not probe.indirect and waited_s >= timeout_s:
        probe = replace(probe, indirect=True)
        state = replace(state, mesh=replace(state.mesh, pending_ping=probe))
        others = [p for p in running_peers(state) if p.node_id != probe.node_id]
        chosen = random.Random(draw).sample(others, min(INDIRECT_PINGS, len(others)))
        if not chosen:
            return state, ()
        addrs = tuple(peer.addr for peer in chosen)
        return state, (SendMessage(addrs, PingReq(probe.ping_id, record.addr)),)
    if not probe.indirect or waited_s < 2 * timeout_s:
        return state, ()
    state = replace(state, mesh=replace(state.mesh, pending_ping=None))
    state = _with_health(state, 1)
    if record.status is MemberStatus.SUSPECT:
        return state, ()
    suspect = replace(record, status=MemberStatus.SUSPECT)
    state = start_suspicion(with_records(state, [suspect], now), suspect, now)
    # The accused hears of it first, so that it can refute.
    return state, (
        SendMessage((suspect.addr,), Gossip((suspect,))),
        IncrementCounter("mesh.suspected"),
    )


def start_suspicion(state, record, now):
    """Start the time after which a suspect is declared dead."""
    mesh = state.mesh
    if record.status is not MemberStatus.SUSPECT:
        return state
    due = now + SUSPICION_S * (1 + mesh.health_score)
    suspects = mesh.suspect_deadlines.set(record.node_id, due)
    return replace(state, mesh=replace(mesh, suspect_deadlines=suspects))


def _declare_dead(state, now):
    due = sorted(name for name, at in state.mesh.suspect_deadlines.items() if at <= now)
    if not due:
        return state, ()
    dead = [replace(state.mesh.members[name], status=MemberStatus.DEAD) for name in due]
    entries = tuple(LogEntry("mesh:dead", (("node", name),)) for name in due)
    return with_records(state, dead, now), entries


def on_ping(state, ping, sender, addr, now):
    """Answer a ping; tell a sender that is held for suspect or dead of it."""
    effects = (SendMessage((addr,), Ack(ping.ping_id, ping.relay)),)
    held = state.mesh.members.get(sender)
    if held is None and ping.relay is None:
        state, asked = request_sync(state, addr, now)
        return state, effects + asked
    if held is not None and held.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
        told = Gossip(for_wire(state, (held,), now))
        effects += (SendMessage((addr,), told),)
    return state, effects


def on_ping_req(state, request, addr):
    """Ping a member on behalf of a peer."""
    return state, (SendMessage((request.addr,), Ping(request.ping_id, addr)),)


def on_ack(state, ack):
    """End the ping in flight, or pass the ack on to the node that it is for."""
    if ack.relay is not None:
        return state, (SendMessage((ack.relay,), Ack(ack.ping_id)),)
    probe = state.mesh.pending_ping
    if probe is None or probe.ping_id != ack.ping_id:
        return state, ()
    state = replace(state, mesh=replace(state.mesh, pending_ping=None))
    return _with_health(state, -1), ()


def refute(state, record):
    """Outbid a record of this node that another node has made or kept."""
    own = own_record(state)
    if record.incarnation > own.incarnation:
        # The clock was set back between two boots of this node.
        changes = {"incarnation": record.incarnation + 1, "seq": 0}
    else:
        changes = {"seq": record.seq + 1}
    state = with_own_record(state, **changes)
    return _with_health(state, 1), (IncrementCounter("mesh.refuted"),)
