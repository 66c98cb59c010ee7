"""Rings, spill, releases and the order in which targets are used."""

from collections import Counter

import pytest

from pimentoline.frozen import replace
from pimentoline.model import MemberStatus, TargetState

from .core import Core, attempt_of

NEAR = ("rift", "baringo")
FAR = ("coast", "kwale")
FARTHER = ("western", "bungoma")


def chosen(core, count=400, **fields):
    """Count the targets of calls that leave no trace in the statistics."""
    state = core.state
    counts = Counter()
    for _ in range(count):
        _, effects = core.arrive(**fields)
        sent = attempt_of(effects)
        counts[sent.target_id if sent else effects[0].code] += 1
        services = core.state.traffic.services
        core.state = state
        core.set_traffic(services=services)
    return counts


def loaded_core(load, rules="", places=(("home", ("rift", "kerio")), ("far", FAR))):
    """Return a core with targets whose load was just reported."""
    core = Core(rules=rules)
    for name, place in places:
        core.add(name, place)
    set_load(core, load)
    return core


def set_load(core, load, name="home"):
    """Report a load, as a share of the 12 slots of the target."""
    core.set_stats(name, reported=12 * load, reported_at=core.now)


@pytest.mark.parametrize(
    ("places", "expected"),
    [
        ({"a": ("rift", "kerio"), "b": NEAR, "c": FAR}, {"a"}),
        ({"b": NEAR, "c": FAR}, {"b"}),
        ({"c": FAR, "d": FARTHER}, {"c", "d"}),
    ],
)
def test_nearest_ring_is_used(places, expected):
    """Guards against calls that leave their data centre without need."""
    core = Core()
    for name, place in places.items():
        core.add(name, place)
    assert set(chosen(core, 50)) == expected


def test_spill_has_hysteresis():
    """Guards against a spill that switches on and off at every change of load."""
    core = loaded_core(0.5)
    steps = [(0.7, False), (0.9, True), (0.7, True), (0.5, False), (0.7, False)]
    for load, spills in steps:
        set_load(core, load)
        assert ("far" in chosen(core, 40)) is spills, load


@pytest.mark.parametrize("share", [0.0, 0.1, 0.5])
def test_spilled_share_is_limited(share):
    """Guards against an overload that moves to the next region as a whole."""
    core = loaded_core(3.0, f"spill * share={share:.0%}")
    counts = chosen(core, 400)
    assert counts["far"] <= 400 * share + 1
    assert counts["far"] >= 400 * share - 1


def test_no_spill_into_equal_load():
    """Guards against two overloaded regions that exchange their calls."""
    core = loaded_core(0.9)
    set_load(core, 0.95, "far")
    assert set(chosen(core, 40)) == {"home"}


def test_old_report_does_not_spill():
    """Guards against calls that keep leaving after one old report of high load."""
    core = loaded_core(3.0)
    assert "far" in chosen(core, 40)
    core.now += 5.0
    assert set(chosen(core, 40)) == {"home"}


def test_ring_without_healthy_target_is_passed_over():
    """Guards against calls that are held back in a data centre that is down."""
    core = loaded_core(0.1, "spill * share=0")
    core.set_stats("home", ejected_until=core.now + 1.0)
    assert set(chosen(core, 40)) == {"far"}


def test_preferred_region_comes_first():
    """Guards against spilled calls in regions that a rule puts last or leaves out."""
    places = [("home", ("rift", "kerio")), ("far", FAR), ("farther", FARTHER)]
    core = loaded_core(3.0, "prefer * western", places)
    assert set(chosen(core, 40)) == {"home", "farther"}
    core = loaded_core(3.0, "prefer * western,coast", places)
    assert set(chosen(core, 40)) == {"home", "farther"}


@pytest.mark.parametrize("state", [TargetState.STARTING, TargetState.DRAINING])
def test_target_that_is_not_up_gets_no_call(state):
    """Guards against new calls to a target that starts or drains."""
    core = Core()
    core.add("a")
    core.add("b", state=state)
    assert set(chosen(core, 40)) == {"a"}
    core.add("a", state=TargetState.DRAINING)
    assert set(chosen(core, 40)) == {"no-target"}


def test_second_record_of_draining_target_counts():
    """Guards against calls to a draining target that an old record calls up."""
    core = Core()
    core.add("a", state=TargetState.DRAINING)
    record = core.state.mesh.members["node-of-a"]
    core.add("a")
    other = core.state.mesh.members["node-of-a"]
    members = {"x": record, "y": other}
    for first, second in (("x", "y"), ("y", "x")):
        targets = members[first].targets + members[second].targets
        by_service = core.state.mesh.by_service.set("hive-ledger", targets)
        mesh = replace(core.state.mesh, by_service=by_service)
        core.state = replace(core.state, mesh=mesh)
        assert set(chosen(core, 10)) == {"no-target"}


def test_paused_target_gets_no_call():
    """Guards against a pause rule that routing does not ask for."""
    core = Core(rules="pause a")
    core.add("a")
    core.add("b")
    assert set(chosen(core, 40)) == {"b"}


def test_weight_sets_share_of_calls():
    """Guards against a weight that the product's policy ignores."""
    core = Core(rules="weight a 0.25")
    for name in "abcdefgh":
        core.add(name)
    counts = chosen(core, 2000)
    assert 0.1 < counts["a"] / counts["b"] < 0.5


def test_canary_gets_its_share_everywhere():
    """Guards against a release that gets more or less than the rule says."""
    core = Core(rules="canary hive-ledger 2 20%")
    for name in "abcd":
        core.add(name, version="1")
    core.add("new", FAR, version="2")
    counts = chosen(core, 2000)
    assert 0.17 < counts["new"] / 2000 < 0.23


def test_canary_without_healthy_target_falls_back():
    """Guards against calls that fail because the release they drew is down."""
    core = Core(rules="canary hive-ledger 2 100%")
    core.add("old", version="1")
    core.add("new", version="2")
    assert set(chosen(core, 20)) == {"new"}
    core.set_stats("new", ejected_until=core.now + 1.0)
    assert set(chosen(core, 20)) == {"old"}


def test_unconfirmed_target_stays_until_first_failure():
    """Guards against losing the targets of dead nodes, and against trusting them."""
    core = Core()
    core.add("a")
    core.add("b", status=MemberStatus.SUSPECT)
    assert set(chosen(core, 60)) == {"a", "b"}
    while core.call(status=500) != "b":
        pass
    assert core.stats("b").ejected_until > core.now
    assert core.stats("a").ejected_until <= core.now


def test_unknown_target_is_not_the_fastest():
    """Guards against all calls going to a new target because nothing is known of it."""
    core = Core()
    for name in "abcde":
        core.add(name)
    for _ in range(100):
        core.call(load=2.0)
    core.add("new")
    counts = chosen(core, 400)
    assert counts["new"] < 80


def test_every_target_ejected_is_last_resort():
    """Guards against refusing calls because every target has failed lately."""
    core = Core()
    core.add("a")
    core.set_stats("a", ejected_until=core.now + 1.0)
    assert set(chosen(core, 5)) == {"a"}


def test_large_ring_is_sampled_evenly():
    """Guards against targets of a large service that are never looked at."""
    core = Core(policy="random")
    for number in range(100):
        core.add(f"t{number:02}")
    counts = chosen(core, 4000)
    assert len(counts) == 100
    assert max(counts.values()) < 90


def test_statistics_of_past_targets_are_dropped():
    """Guards against memory that grows with every target that ever existed."""
    core = Core()
    core.add("a")
    core.call()
    core.add("a", state=TargetState.GONE)
    core.add("b")
    core.call()
    assert set(core.state.traffic.targets) == {"b"}
