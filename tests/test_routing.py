"""Routing: locality rings, spilling, releases and the choice of targets.

The targets of a service form locality rings around the node under test: its data
centre, its region, the other regions. A release consists of the targets of a service
that run one version; all versions without a canary rule together form one release.
"""

from collections import Counter

import pytest

from pimentoline.fast_replace import replace
from pimentoline.model import MemberStatus, ServiceStats, TargetState

from .core import HOME, SERVICE, Core, started_attempt

# Locations (region, data centre). `HOME`, that of the node under test, is
# ("rift", "kerio"). `NEAR` is in its region; `FAR` and `FARTHER` are in other regions.
NEAR, FAR, FARTHER = ("rift", "baringo"), ("coast", "kwale"), ("western", "bungoma")
# Statistics and fields of targets; tests start at time 100.0. The reported load of 36
# requests in flight is 3 per slot, as targets have 12 slots by default.
LOADED = {"reported_load": 36, "reported_at": 100.0}
OUTDATED_LOAD = {"reported_load": 36, "reported_at": 98.0}
EJECTED = {"ejected_until": 101.0}
SLOW = {"latency_s": 0.5, "latency_at": 100.0}
DRAINING = {"state": TargetState.DRAINING}


def make_core(locations, stats=(), rules="", **options):
    """Return a core with the given targets.

    `locations` maps each target id to its location (region, data centre), or to a pair
    of its location and a dict of other fields of `Target`. `stats` maps target ids to
    fields of `TargetStats`.
    """
    core = Core(rules=rules, **options)
    for name, location in locations.items():
        fields = {}
        if isinstance(location[1], dict):
            location, fields = location
        core.add_target(name, location, **fields)
    for name, fields in dict(stats).items():
        core.set_stats(name, **fields)
    # Slow targets are compared with the median of the service.
    services = core.state.traffic.services.set(
        SERVICE, ServiceStats(median_latency_s=0.1)
    )
    core.set_traffic(services=services)
    return core


def count_chosen(core, count=40):
    """Start calls and count the targets that they go to, or their error codes.

    Only the service's statistics change from call to call, not those of the targets.
    """
    state, counts = core.state, Counter()
    for _ in range(count):
        _, effects = core.start_call()
        sent = started_attempt(effects)
        counts[sent.target_id if sent else effects[0].code] += 1
        services = core.state.traffic.services
        core.state = state
        core.set_traffic(services=services)
    return counts


ALL_LOCATIONS = {"home": HOME, "near": NEAR, "far": FAR, "farther": FARTHER}


@pytest.mark.parametrize(
    ("locations", "stats", "rules", "expected"),
    [
        # Calls use the innermost ring with targets.
        (ALL_LOCATIONS, {}, "", {"home"}),
        ({"b": NEAR, "c": FAR}, {}, "", {"b"}),
        ({"c": FAR, "d": FARTHER}, {}, "", {"c", "d"}),
        # A loaded ring spills to the next one, unless the next one is equally loaded or
        # the load report is too old.
        (ALL_LOCATIONS, {"home": LOADED}, "", {"home", "near"}),
        ({"home": HOME, "far": FAR}, {"home": LOADED, "far": LOADED}, "", {"home"}),
        (ALL_LOCATIONS, {"home": OUTDATED_LOAD}, "", {"home"}),
        # All calls skip a ring without a healthy target, even if the share of calls
        # that may spill is 0.
        (ALL_LOCATIONS, {"home": EJECTED}, "spill * share=0", {"near"}),
        (
            ALL_LOCATIONS,
            {"home": EJECTED, "near": EJECTED},
            "spill * share=0",
            {"far", "farther"},
        ),
        # Ejected targets are used if there is no healthy one in any ring.
        ({"home": HOME}, {"home": EJECTED}, "", {"home"}),
        # All calls skip a slow ring within the region; other regions get a share only.
        (ALL_LOCATIONS, {"home": SLOW}, "spill * share=0", {"near"}),
        ({"home": HOME, "far": FAR}, {"home": SLOW}, "spill * share=0", {"home"}),
        ({"home": HOME, "far": FAR}, {"home": SLOW}, "", {"home", "far"}),
        ({"a": HOME, "b": HOME}, {"a": SLOW}, "", {"b"}),
        # Regions of a prefer rule are used in their order, and others are left out.
        (
            {"home": HOME, "far": FAR, "farther": FARTHER},
            {"home": LOADED},
            "prefer * western",
            {"home", "farther"},
        ),
        ({"far": FAR, "farther": FARTHER}, {}, "prefer * western,coast", {"farther"}),
        # Only targets that are up and not paused get calls.
        ({"a": HOME, "b": (HOME, DRAINING)}, {}, "", {"a"}),
        ({"a": HOME, "b": (HOME, {"state": TargetState.STARTING})}, {}, "", {"a"}),
        ({"a": (HOME, DRAINING)}, {}, "", {"no-target"}),
        ({"a": HOME, "b": HOME}, {}, "pause a", {"b"}),
        # Canary releases of `SERVICE`, "hive-ledger"; if the targets of the release
        # drawn are ejected, the other release is used.
        (
            {"old": HOME, "new": (HOME, {"version": "2"})},
            {},
            "canary hive-ledger 2 100%",
            {"new"},
        ),
        (
            {"old": HOME, "new": (HOME, {"version": "2"})},
            {"new": EJECTED},
            "canary hive-ledger 2 100%",
            {"old"},
        ),
    ],
)
def test_targets_used(locations, stats, rules, expected):
    """Guards against calls to a target excluded by state, region, health or rules."""
    assert set(count_chosen(make_core(locations, stats, rules))) == expected


def test_spill_has_hysteresis():
    """Guards against spilling that starts and stops at every small change of load."""
    core = make_core({"home": HOME, "far": FAR})
    steps = [(0.7, False), (0.9, True), (0.7, True), (0.5, False), (0.7, False)]
    for load, spills in steps:
        core.set_stats("home", reported_load=12 * load, reported_at=core.now)
        assert ("far" in count_chosen(core)) is spills, load


@pytest.mark.parametrize("stats", [LOADED, SLOW])
@pytest.mark.parametrize("share", [0.0, 0.1, 0.5])
def test_spilled_share_is_limited(share, stats):
    """Guards against spilling the whole overload of a ring to the next region."""
    rule = f"spill * share={share:.0%}"
    counts = count_chosen(
        make_core({"home": HOME, "far": FAR}, {"home": stats}, rule), 400
    )
    assert 400 * share - 1 <= counts["far"] <= 400 * share + 1


def test_second_record_of_draining_target_counts():
    """Guards against calls to a draining target that another record lists as up."""
    core = make_core({"a": (HOME, DRAINING)})
    draining = core.state.mesh.members["node-of-a"].targets
    up = (replace(draining[0], state=TargetState.UP),)
    for targets in (up + draining, draining + up):
        by_service = core.state.mesh.by_service.set(SERVICE, targets)
        mesh = replace(core.state.mesh, by_service=by_service)
        core.state = replace(core.state, mesh=mesh)
        assert set(count_chosen(core, 10)) == {"no-target"}


def test_weights_and_releases_set_shares():
    """Guards against ignored weights, and against releases with a wrong share."""
    core = make_core(dict.fromkeys("abcdefgh", HOME), rules="weight a 0.25")
    counts = count_chosen(core, 2000)
    assert 0.1 < counts["a"] / counts["b"] < 0.5
    locations = {"a": HOME, "b": HOME, "new": (FAR, {"version": "2"})}
    counts = count_chosen(make_core(locations, rules="canary hive-ledger 2 20%"), 2000)
    assert 0.17 < counts["new"] / 2000 < 0.23


def test_unconfirmed_target_stays_until_first_failure():
    """Guards against dropping the targets of suspected nodes before an attempt fails.

    A single failed attempt is enough to eject such a target.
    """
    core = make_core({"a": HOME, "b": (HOME, {"status": MemberStatus.SUSPECT})})
    assert set(count_chosen(core, 60)) == {"a", "b"}
    while core.make_call(status=500, method="POST") != "b":
        core.now += 5.0
    assert core.stats("b").ejected_until > core.now
    assert core.stats("a").ejected_until <= core.now


def test_unknown_target_is_not_the_fastest():
    """Guards against preferring a new target because its latency is unknown."""
    core = Core()
    for name in "abcde":
        core.add_target(name)
    for _ in range(100):
        core.make_call(load=2.0)
    core.add_target("new")
    assert count_chosen(core, 400)["new"] < 80


def test_slow_target_is_tried_by_one_call_at_a_time():
    """Guards against a burst of calls to a slow target whose latency has decayed."""
    core = make_core({"a": HOME, "b": HOME}, {"a": SLOW})
    core.now += 10.0
    names = [started_attempt(core.start_call()[1]).target_id for _ in range(10)]
    assert names.count("a") == 1


def test_other_targets_are_used_if_the_subset_is_down():
    """Guards against failing calls because all targets of the subset are ejected.

    With 720 more nodes, this node uses a subset of 2 of the 8 targets.
    """
    core = make_core(dict.fromkeys("abcdefgh", HOME))
    nodes = core.state.mesh.members
    for number in range(720):
        node = replace(nodes["node-of-a"], node_id=f"x{number}", targets=())
        nodes = nodes.set(node.node_id, node)
    core.state = replace(core.state, mesh=replace(core.state.mesh, members=nodes))
    subset = set(count_chosen(core, 200))
    assert len(subset) == 2
    for name in subset:
        core.set_stats(name, **EJECTED)
    assert set(count_chosen(core, 200)) == set("abcdefgh") - subset


def test_large_ring_is_sampled_evenly():
    """Guards against targets of a large service that are never sampled."""
    names = [f"t{number:02}" for number in range(100)]
    counts = count_chosen(make_core(dict.fromkeys(names, HOME), policy="random"), 4000)
    assert len(counts) == 100
    assert max(counts.values()) < 90


def test_statistics_of_past_targets_are_dropped():
    """Guards against keeping statistics of targets that no longer exist."""
    core = Core()
    core.add_target("a")
    core.make_call()
    core.add_target("a", state=TargetState.GONE)
    core.add_target("b")
    core.make_call()
    assert set(core.state.traffic.targets) == {"b"}
