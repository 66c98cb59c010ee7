"""Membership protocol on a simulated network, with fixed seeds.

P5 is the guarantee that no node sends a new call to a target that was drained more
than 3 s ago.
"""

from dataclasses import replace

import pytest

from pimentoline import events as ev
from pimentoline.member_records import own_record
from pimentoline.model import MemberStatus
from pimentoline.reducer import reduce

from .simulated_network import make_network, own_target_states

LOSSY = {"loss": 0.2, "duplication": 0.2}


def renew(network, name, target_id, seconds, **more):
    """Renew an announcement every second while the simulated time advances.

    `more` contains further fields of the target.
    """
    for _ in range(int(seconds)):
        network.announce(name, target_id, **more)
        network.run(1)


def up_everywhere(network, target_id):
    """Return whether every running node routes to a target."""
    names = [name for name in network.states if name not in network.stopped]
    return all(network.target_states(name).get(target_id) == "up" for name in names)


@pytest.mark.parametrize("seed", range(5))
def test_drain_is_known_everywhere_within_3_s(seed):
    """Guards P5 against gossip that does not reach every node at 20% datagram loss."""
    network = make_network(40, seed, **LOSSY)
    network.announce("n7", "t1")
    network.run(3, lambda: up_everywhere(network, "t1"))
    network.announce("n7", "t1")
    network.dispatch("n7", ev.TargetDrained(network.now, "t1"))
    network.run(
        3,
        lambda: all(
            network.target_states(n)["t1"] == "draining" for n in network.states
        ),
    )


@pytest.mark.parametrize("seed", range(4))
def test_failed_node_is_detected_and_running_ones_are_kept(seed):
    """Guards against an undetected failure, and against false detections."""
    network = make_network(20, seed, **LOSSY)
    network.stopped.add("n3")
    network.run(20, lambda: network.all_report("n3", "dead"))
    network.run(60)
    for name in network.states.keys() - {"n3"}:
        assert not network.all_report(name, "dead")
    assert not any(
        record.status is MemberStatus.DEAD and name != "n3"
        for state in network.states.values()
        for name, record in state.mesh.members.items()
    )


def test_member_is_not_suspected_while_one_path_to_it_is_cut():
    """Guards against a suspicion although indirect pings would be acknowledged."""
    network = make_network(5, 1)
    original = network.reachable
    network.reachable = lambda a, b: {a, b} != {"n0", "n1"} and original(a, b)
    network.run(60)
    assert network.counts.get("mesh.suspected", 0) == 0


def test_paused_node_comes_back_by_refutation():
    """Guards against a node that its peers consider dead forever after a pause."""
    network = make_network(6, 2)
    network.stopped.add("n2")
    network.run(20, lambda: network.all_report("n2", "dead"))
    renew(network, "n4", "t4", 10)
    network.stopped.discard("n2")
    network.run(5, lambda: network.all_report("n2", "alive"))
    # The node also gets an update that it missed while its peers considered it dead.
    network.announce("n4", "t4")
    network.run(5, lambda: "t4" in network.target_states("n2"))


def test_partition_heals_within_a_synchronisation():
    """Guards against two sides that consider each other dead after a partition."""
    network = make_network(9, 3)
    network.partition_sides = {f"n{i}": i % 3 == 1 for i in range(9)}
    near = [name for name in network.states if not network.partition_sides[name]]
    far = [name for name in network.states if network.partition_sides[name]]
    for side, other_side in ((near, far), (far, near)):
        network.run(
            60,
            lambda: all(
                network.status(a, b) == "dead" for a in side for b in other_side
            ),
        )
    network.run(10)
    network.partition_sides = {}
    network.run(75, lambda: all(network.all_report(n, "alive") for n in network.states))


def test_targets_of_a_lost_region_are_kept():
    """Guards against removing the targets of a region that is only partitioned off."""
    network = make_network(9, 4)
    network.announce("n1", "t1")
    network.run(3, lambda: up_everywhere(network, "t1"))
    network.stopped |= {"n1", "n4", "n7"}
    network.run(150)
    assert network.target_states("n0") == {"t1": "up"}


def test_target_stays_routable_until_a_new_node_announces_it():
    """Guards against failing calls when a node is restarted and its target is not."""
    network = make_network(8, 5)
    renew(network, "n5", "t5", 2)
    network.stopped.add("n5")
    network.run(20, lambda: network.all_report("n5", "dead"))
    network.run(50)
    assert up_everywhere(network, "t5")
    network.add("n5b", "western", host="n5", seeds=["n0"])
    network.run(5, lambda: up_everywhere(network, "t5"))
    renew(network, "n5b", "t5", 40)
    assert up_everywhere(network, "t5")
    network.dispatch("n5b", ev.TargetWithdrawn(network.now, "t5"))
    network.run(
        3,
        lambda: not any(network.target_states(n) for n in network.states if n != "n5"),
    )


def test_unconfirmed_target_is_removed_after_60_s():
    """Guards against endless routing to the target of a failed host."""
    network = make_network(8, 6)
    renew(network, "n5", "t5", 2)
    network.stopped.add("n5")
    dead_at = network.run(20, lambda: network.all_report("n5", "dead"))
    network.run(50)
    assert up_everywhere(network, "t5")
    # A node that joins later must not restart the 60 s.
    network.add("n8", seeds=["n1"])
    network.run(dead_at + 62 - network.now)
    assert not any(
        network.target_states(name) for name in network.states if name != "n5"
    )


def test_leaving_node_is_not_suspected_and_its_target_stays():
    """Guards against a planned stop that is treated as a failure."""
    network = make_network(6, 7)
    renew(network, "n4", "t4", 2)
    network.dispatch("n4", ev.StopRequested(network.now))
    network.run(0.6)
    network.stopped.add("n4")
    network.run(3, lambda: network.all_report("n4", "leaving"))
    network.run(30)
    assert network.all_report("n4", "leaving") and up_everywhere(network, "t4")
    assert network.counts.get("mesh.suspected", 0) == 0


def test_target_without_renewals_is_gone_after_3_s():
    """Guards against routing to a target whose process has died."""
    network = make_network(4, 8)
    renew(network, "n1", "t1", 3)
    network.run(2.5, lambda: own_target_states(network, "n1") == {"t1": "gone"})
    network.run(3, lambda: not any(network.target_states(n) for n in network.states))
    network.announce("n1", "t1")
    network.run(3, lambda: up_everywhere(network, "t1"))


def test_renewal_does_not_undo_a_drain():
    """Guards P5 against a target that announces `up` after an operator drained it."""
    network = make_network(3, 9)
    network.announce("n1", "t1")
    network.dispatch("n1", ev.TargetDrained(network.now, "t1"))
    renew(network, "n1", "t1", 5)
    assert own_target_states(network, "n1") == {"t1": "draining"}
    network.announce("n1", "t1", addr=("10.0.0.2", 81))
    assert own_target_states(network, "n1") == {"t1": "up"}


def test_dead_member_is_not_revived_and_removed_after_1_h():
    """Guards against revival by old gossip, and a dead record that is never removed."""
    network = make_network(3, 10)
    old_record = network.states["n1"].mesh.members["n2"]
    network.stopped.add("n2")
    network.run(20, lambda: network.all_report("n2", "dead"))
    network.dispatch("n0", ev.MembersReceived(network.now, (old_record,)))
    assert network.status("n0", "n2") == "dead"
    network.run(3570)
    assert network.status("n0", "n2") == "dead"
    network.add("n9", seeds=["n0"])
    network.run(120)
    assert {network.status(n, "n2") for n in ("n0", "n1", "n9")} == {None}


def test_false_record_of_a_later_incarnation_is_refuted():
    """Guards against a node that cannot rejoin because its clock was set back."""
    network = make_network(3, 11)
    record = own_record(network.states["n1"])
    false_record = replace(record, incarnation=record.incarnation + 500, seq=9)
    network.dispatch("n0", ev.MembersReceived(network.now, (false_record,)))
    network.run(10, lambda: network.status("n0", "n1") == "alive")
    network.run(10, lambda: own_record(network.states["n1"]).seq > 0)
    network.run(10, lambda: network.states["n0"].mesh.members["n1"].seq != 9)


def test_event_log_replays_to_the_same_state():
    """Guards against the use of a clock, socket or random source in the reducer."""
    network = make_network(6, 12, **LOSSY)
    network.stopped.add("n2")
    network.run(20)
    for name, (state, events) in network.logs.items():
        for event in events:
            state = reduce(state, event).state
        assert state == network.states[name]


def test_joining_node_does_not_gossip_the_records_it_received():
    """Guards the limit on control-plane traffic when 720 nodes start.

    Otherwise each of them would gossip the records of all others again.
    """
    network = make_network(30, 13)
    network.run(10)
    network.add("n30", seeds=["n0"])
    network.run(0.5)
    assert len(network.states["n30"].mesh.members) == 31
    assert set(network.states["n30"].mesh.pending_gossip) <= {"n30"}


@pytest.mark.parametrize("replacement", ["n1", "n1b"])
def test_drain_is_kept_when_its_node_restarts(replacement):
    """Guards P5 against a drain that is lost when the node of the target restarts.

    The target does not know of the drain and announces `up` to the new node.
    """
    network = make_network(5, 14)
    network.announce("n1", "t1")
    network.dispatch("n1", ev.TargetDrained(network.now, "t1"))
    network.run(2)
    network.stopped.add("n1")
    network.run(1)
    network.stopped.discard("n1" if replacement == "n1" else "")
    network.add(replacement, "coast", host="n1", seeds=["n0"])
    for _ in range(6):
        network.announce(replacement, "t1")
        network.run(1)
        assert all(network.target_states(n).get("t1") != "up" for n in network.states)
