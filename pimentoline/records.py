"""pimentoline.records: the member records held, and this node's own."""

from dataclasses import replace

from immutables import Map

from .model import Member, MemberStatus, TargetState

__all__ = ["own_record", "with_own_record", "with_records"]

RUMOUR_SENDS = 8


def own_record(state):
    """Return this node's record, made at the first use."""
    me = state.me
    found = state.mesh.members.get(me.node_id)
    if found is not None:
        return found
    return Member(me.node_id, me.host, me.mesh_addr, me.region, me.dc, me.incarnation)


def with_own_record(state, **changes):
    """Return the state with a newer record of this node, queued as a rumour."""
    record = own_record(state)
    record = replace(record, seq=record.seq + 1, **changes)
    return with_records(state, [record])


def with_records(state, records):
    """Return the state with newer member records, each queued as a rumour."""
    mesh = state.mesh
    members, rumours = mesh.members, mesh.rumours
    for record in records:
        members = members.set(record.node_id, record)
        rumours = rumours.set(record.node_id, RUMOUR_SENDS)
    mesh = replace(
        mesh, members=members, rumours=rumours, by_service=_by_service(members)
    )
    return replace(state, mesh=mesh)


def _by_service(members):
    grouped = {}
    for record in members.values():
        if record.status is MemberStatus.DEAD:
            continue
        for target in record.targets:
            if target.state is not TargetState.GONE:
                grouped.setdefault(target.service, []).append(target)
    return Map({name: tuple(targets) for name, targets in grouped.items()})
