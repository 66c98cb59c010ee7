"""Membership as messages between reducer states, from fixed seeds."""

from dataclasses import replace

import pytest

from pimentoline import events as ev
from pimentoline.member_records import own_record
from pimentoline.model import MemberStatus
from pimentoline.reducer import reduce

from .simulated_network import make_network, own_targets

LOSSY = {"loss": 0.2, "duplication": 0.2}


def renew(fabric, name, target_id, seconds, **more):
    """Renew an announcement every second while the model time advances."""
    for _ in range(int(seconds)):
        fabric.announce(name, target_id, **more)
        fabric.run(1)


def up_everywhere(fabric, target_id):
    """Return whether every running node routes to a target."""
    names = [name for name in fabric.states if name not in fabric.off]
    return all(fabric.routes(name).get(target_id) == "up" for name in names)


@pytest.mark.parametrize("seed", range(5))
def test_drain_is_known_everywhere_within_3_s(seed):
    """Guards P5 against rumours that die out when datagrams are lost (20%)."""
    fabric = make_network(40, seed, **LOSSY)
    fabric.announce("n7", "t1")
    fabric.run(3, lambda: up_everywhere(fabric, "t1"))
    fabric.announce("n7", "t1")
    fabric.dispatch("n7", ev.TargetDrained(fabric.now, "t1"))
    fabric.run(
        3, lambda: all(fabric.routes(n)["t1"] == "draining" for n in fabric.states)
    )


@pytest.mark.parametrize("seed", range(4))
def test_failed_node_is_found_and_living_ones_are_kept(seed):
    """Guards against a death that goes unnoticed, and against false deaths."""
    fabric = make_network(20, seed, **LOSSY)
    fabric.off.add("n3")
    fabric.run(20, lambda: fabric.all_say("n3", "dead"))
    fabric.run(60)
    for name in fabric.states.keys() - {"n3"}:
        assert not fabric.all_say(name, "dead")
    assert not any(
        record.status is MemberStatus.DEAD and name != "n3"
        for state in fabric.states.values()
        for name, record in state.mesh.members.items()
    )


def test_member_is_not_suspected_while_one_path_to_it_is_cut():
    """Guards against a suspicion without the indirect pings."""
    fabric = make_network(5, 1)
    usual = fabric.reachable
    fabric.reachable = lambda a, b: {a, b} != {"n0", "n1"} and usual(a, b)
    fabric.run(60)
    assert fabric.counts.get("mesh.suspected", 0) == 0


def test_paused_node_comes_back_by_refutation():
    """Guards against a paused node (SIGSTOP) that stays dead for its peers."""
    fabric = make_network(6, 2)
    fabric.off.add("n2")
    fabric.run(20, lambda: fabric.all_say("n2", "dead"))
    renew(fabric, "n4", "t4", 10)
    fabric.off.discard("n2")
    fabric.run(5, lambda: fabric.all_say("n2", "alive"))
    # A rumour that it missed while it was held for dead reaches it as well.
    fabric.announce("n4", "t4")
    fabric.run(5, lambda: "t4" in fabric.routes("n2"))


def test_partition_heals_within_a_synchronisation():
    """Guards against two halves that hold each other for dead for ever."""
    fabric = make_network(9, 3)
    fabric.sides = {f"n{i}": i % 3 == 1 for i in range(9)}
    near = [name for name in fabric.states if not fabric.sides[name]]
    far = [name for name in fabric.states if fabric.sides[name]]
    for ours, theirs in ((near, far), (far, near)):
        fabric.run(
            60,
            lambda: all(fabric.status(a, b) == "dead" for a in ours for b in theirs),
        )
    fabric.run(10)
    fabric.sides = {}
    fabric.run(75, lambda: all(fabric.all_say(n, "alive") for n in fabric.states))


def test_targets_of_a_lost_region_are_kept():
    """Guards against forgetting the targets of a region that is only cut off."""
    fabric = make_network(9, 4)
    fabric.announce("n1", "t1")
    fabric.run(3, lambda: up_everywhere(fabric, "t1"))
    fabric.off |= {"n1", "n4", "n7"}
    fabric.run(150)
    assert fabric.routes("n0") == {"t1": "up"}


def test_target_outlives_its_node_until_a_new_one_announces_it():
    """Guards against calls that fail because a node alone was restarted."""
    fabric = make_network(8, 5)
    renew(fabric, "n5", "t5", 2)
    fabric.off.add("n5")
    fabric.run(20, lambda: fabric.all_say("n5", "dead"))
    fabric.run(50)
    assert up_everywhere(fabric, "t5")
    fabric.add("n5b", "western", host="n5", seeds=["n0"])
    fabric.run(5, lambda: up_everywhere(fabric, "t5"))
    renew(fabric, "n5b", "t5", 40)
    assert up_everywhere(fabric, "t5")
    fabric.dispatch("n5b", ev.TargetWithdrawn(fabric.now, "t5"))
    fabric.run(3, lambda: not any(fabric.routes(n) for n in fabric.states if n != "n5"))


def test_unconfirmed_target_is_forgotten_after_60_s():
    """Guards against routing for ever to the target of a host that failed."""
    fabric = make_network(8, 6)
    renew(fabric, "n5", "t5", 2)
    fabric.off.add("n5")
    dead_at = fabric.run(20, lambda: fabric.all_say("n5", "dead"))
    fabric.run(50)
    assert up_everywhere(fabric, "t5")
    # A node that joins late must not start the 60 s anew.
    fabric.add("n8", seeds=["n1"])
    fabric.run(dead_at + 62 - fabric.now)
    assert not any(fabric.routes(name) for name in fabric.states if name != "n5")


def test_leaving_node_is_not_suspected_and_its_target_stays():
    """Guards against a planned stop that looks like a failure."""
    fabric = make_network(6, 7)
    renew(fabric, "n4", "t4", 2)
    fabric.dispatch("n4", ev.StopRequested(fabric.now))
    fabric.run(0.6)
    fabric.off.add("n4")
    fabric.run(3, lambda: fabric.all_say("n4", "leaving"))
    fabric.run(30)
    assert fabric.all_say("n4", "leaving") and up_everywhere(fabric, "t4")
    assert fabric.counts.get("mesh.suspected", 0) == 0


def test_silent_target_goes_to_gone_after_3_s():
    """Guards against routing to a target whose process has died."""
    fabric = make_network(4, 8)
    renew(fabric, "n1", "t1", 3)
    fabric.run(2.5, lambda: own_targets(fabric, "n1") == {"t1": "gone"})
    fabric.run(3, lambda: not any(fabric.routes(n) for n in fabric.states))
    fabric.announce("n1", "t1")
    fabric.run(3, lambda: up_everywhere(fabric, "t1"))


def test_renewal_does_not_undo_a_drain():
    """Guards P5 against a target that renews `up` after an operator drained it."""
    fabric = make_network(3, 9)
    fabric.announce("n1", "t1")
    fabric.dispatch("n1", ev.TargetDrained(fabric.now, "t1"))
    renew(fabric, "n1", "t1", 5)
    assert own_targets(fabric, "n1") == {"t1": "draining"}
    fabric.announce("n1", "t1", addr=("10.0.0.2", 81))
    assert own_targets(fabric, "n1") == {"t1": "up"}


def test_dead_member_is_not_resurrected_and_forgotten_after_1_h():
    """Guards against an old rumour, and a death that spreads for ever."""
    fabric = make_network(3, 10)
    old = fabric.states["n1"].mesh.members["n2"]
    fabric.off.add("n2")
    fabric.run(20, lambda: fabric.all_say("n2", "dead"))
    fabric.dispatch("n0", ev.MembersReceived(fabric.now, (old,)))
    assert fabric.status("n0", "n2") == "dead"
    fabric.run(3570)
    assert fabric.status("n0", "n2") == "dead"
    fabric.add("n9", seeds=["n0"])
    fabric.run(120)
    assert {fabric.status(n, "n2") for n in ("n0", "n1", "n9")} == {None}


def test_rumour_of_a_later_incarnation_is_refuted():
    """Guards against a node that cannot return because its clock was set back."""
    fabric = make_network(3, 11)
    record = own_record(fabric.states["n1"])
    false = replace(record, incarnation=record.incarnation + 500, seq=9)
    fabric.dispatch("n0", ev.MembersReceived(fabric.now, (false,)))
    fabric.run(10, lambda: fabric.status("n0", "n1") == "alive")
    fabric.run(10, lambda: own_record(fabric.states["n1"]).seq > 0)
    fabric.run(10, lambda: fabric.states["n0"].mesh.members["n1"].seq != 9)


def test_event_log_replays_to_the_same_state():
    """Guards against a clock, socket or random source inside the reducer."""
    fabric = make_network(6, 12, **LOSSY)
    fabric.off.add("n2")
    fabric.run(20)
    for name, (state, events) in fabric.logs.items():
        for event in events:
            state = reduce(state, event).state
        assert state == fabric.states[name]


def test_joining_node_does_not_repeat_the_records_it_was_given():
    """Guards the control-plane limit when 720 nodes start: each would repeat all."""
    fabric = make_network(30, 13)
    fabric.run(10)
    fabric.add("n30", seeds=["n0"])
    fabric.run(0.5)
    assert len(fabric.states["n30"].mesh.members) == 31
    assert set(fabric.states["n30"].mesh.pending_gossip) <= {"n30"}


@pytest.mark.parametrize("replacement", ["n1", "n1b"])
def test_drain_outlives_the_restart_of_its_node(replacement):
    """Guards P5: a drained target announces `up` to the node that replaces its own."""
    fabric = make_network(5, 14)
    fabric.announce("n1", "t1")
    fabric.dispatch("n1", ev.TargetDrained(fabric.now, "t1"))
    fabric.run(2)
    fabric.off.add("n1")
    fabric.run(1)
    fabric.off.discard("n1" if replacement == "n1" else "")
    fabric.add(replacement, "coast", host="n1", seeds=["n0"])
    for _ in range(6):
        fabric.announce(replacement, "t1")
        fabric.run(1)
        assert all(fabric.routes(n).get("t1") != "up" for n in fabric.states)
