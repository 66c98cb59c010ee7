"""Spread of rules versions on a simulated network, with fixed seeds.

P7 is the guarantee that an accepted rules version is in force at every node within
5 s, and that no node returns to an older one.
"""

import pytest

from pimentoline import events as ev
from pimentoline.model import Call, Request
from pimentoline.rules_version import GRACE_PERIOD_S

from .simulated_network import make_network


def rejection_code(network, name):
    """Return the error code with which a node rejects a new call.

    The network has no targets, so a node that accepts calls rejects this one as
    `unknown-service`.
    """
    req = Request("hive-ledger", "GET", "/", network.now + 10)
    network.dispatch(name, ev.CallArrived(network.now, 1, Call(1, req, network.now)))
    return network.rejected[-1][1]


def versions(network):
    """Return the set of versions in force at the running nodes."""
    return {
        state.rules.version
        for name, state in network.states.items()
        if name not in network.stopped
    }


def never_older(name, before, after):
    """Assert that an event does not put an older version in force."""
    assert after.rules.version >= before.rules.version, name
    assert after.rules.known_version >= before.rules.known_version, name


@pytest.mark.parametrize("seed", range(5))
def test_accepted_version_is_in_force_everywhere_in_time(seed):
    """Guards P7 with the store down, the applying node failed and 20% loss.

    A node may serve calls by the previous version for `GRACE_PERIOD_S` after it has
    learned of the new one, so the bound here is the rest of the 5 s.
    """
    network = make_network(40, seed, loss=0.2, duplication=0.2)
    network.check = never_older
    for version, holders in ((1, ("n0", "n1")), (2, ("n5", "n7"))):
        network.load_rules(holders[0], version)
        network.load_rules(holders[1], version)
        network.stopped.add(holders[0])
        network.run(5 - GRACE_PERIOD_S, lambda: versions(network) == {version})


def test_older_versions_are_ignored_in_any_order():
    """Guards P7 against an outdated peer or store, and against reordered replies."""
    network = make_network(12, 21, loss=0.3, duplication=0.3)
    network.check = never_older
    for version in (1, 2, 3):
        for name in list(network.states)[version::3]:
            network.load_rules(name, version)
    network.store_version = 1
    for name in network.states:
        network.load_rules(name, 1, source="a stale peer")
        received = ev.RulesVersionReceived(network.now, 1, "store", confirmed=True)
        network.dispatch(name, received)
    network.run(5, lambda: versions(network) == {3})
    assert network.counts["rules.older_ignored"] >= 7


def test_booting_node_with_a_stale_peer_does_not_serve():
    """Guards P7 at boot against a peer that knows of a newer version than it has."""
    network = make_network(4, 22)
    for name in network.states:
        network.load_rules(name, 1)
    network.load_rules("n0", 2)
    # n1 knows of version 2 and cannot fetch it; n2 and n3 do not know of it.
    received = ev.RulesVersionReceived(network.now, 2, "store")
    network.dispatch("n1", received)
    network.stopped |= {"n0", "n2", "n3"}
    network.add("n9", seeds=["n1"], version_check_pending=True)
    network.run(1)
    assert rejection_code(network, "n9") == "rules-outdated"
    network.run(30)
    assert network.states["n9"].rules.version < 2
    assert rejection_code(network, "n9") == "rules-outdated"
    network.stopped.discard("n0")
    network.run(70, lambda: network.states["n9"].rules.version == 2)
    assert rejection_code(network, "n9") == "unknown-service"


def test_booting_nodes_do_not_confirm_each_other():
    """Guards P7 against nodes that boot together and accept each other's version.

    No node that was running before replies.
    """
    network = make_network(2, 23)
    for i in range(3):
        network.add(f"b{i}", seeds=["b0"] if i else [], version_check_pending=True)
    network.run(20)
    assert rejection_code(network, "b1") == "rules-outdated"
    network.store_version = 4
    network.run(5, lambda: rejection_code(network, "b1") == "unknown-service")
    assert network.states["b1"].rules.version == 4


def test_running_node_serves_the_previous_version_for_3_s_only():
    """Guards P7 against a node that cannot fetch, and against rejecting calls early."""
    network = make_network(2, 24)
    network.stopped.add("n1")
    network.dispatch("n0", ev.RulesVersionReceived(network.now, 5, "n1"))
    assert rejection_code(network, "n0") == "unknown-service"
    network.run(3.5)
    assert rejection_code(network, "n0") == "rules-outdated"


def test_paused_node_checks_its_version_before_it_serves():
    """Guards P7 against a process that was paused while a version was accepted."""
    network = make_network(4, 25)
    network.run(1)
    network.stopped.add("n2")
    network.run(8)
    for name in ("n0", "n1", "n3"):
        network.load_rules(name, 1)
    network.run(8)
    network.stopped.discard("n2")
    assert rejection_code(network, "n2") == "rules-outdated"
    network.run(3, lambda: rejection_code(network, "n2") == "unknown-service")
    assert network.states["n2"].rules.version == 1


def test_change_of_rules_does_not_renew_member_records():
    """Guards the limit on control-plane traffic.

    Otherwise a mesh of 720 nodes would gossip 720 new records after each of 1,200
    changes a day.
    """
    network = make_network(6, 26)
    network.run(5)
    before = {name: state.mesh.members for name, state in network.states.items()}
    network.load_rules("n0", 1)
    network.run(5, lambda: versions(network) == {1})
    assert before == {n: state.mesh.members for n, state in network.states.items()}


def test_version_is_announced_in_a_quiet_mesh():
    """Guards P7 against a version that spreads only by pings, one a second per node."""
    network = make_network(60, 27)
    network.run(10)
    network.load_rules("n0", 1)
    network.run(5 - GRACE_PERIOD_S, lambda: versions(network) == {1})
