"""Guarantee P1: all nodes of a region together keep to its probe budget."""

import signal
import time
from dataclasses import replace

import pytest

from pimentoline import events as ev
from pimentoline.effects import SendProbe
from pimentoline.member_records import own_record
from pimentoline.model import (
    Call,
    Identity,
    Member,
    MemberStatus,
    Request,
    RulesState,
    State,
    Target,
)
from pimentoline.probing import MAX_PROBE_BYTES, PACKET_HEADER_BYTES
from pimentoline.reducer import reduce
from pimentoline.rules import parse

from .conftest import http, wait_until

TICK_S = 0.2
PROBES_PER_S = 20.0


class Region:
    """States of the nodes of one region, advanced by ticks.

    Every probe fails and uses all the bytes that it may, so further probes are always
    needed. Nodes in `paused` get no ticks; nodes learn of each other only through
    `introduce`. `planned` is the number of planned nodes in the budget rule, and
    `sent` contains (time, node name) of each probe.
    """

    def __init__(self, bytes_per_s=1_000_000, planned=0):
        text = f"budget rift probes={PROBES_PER_S:g} bytes={bytes_per_s}"
        ruleset = parse(f"{text} nodes={planned}  # asked by Wanjiru").ruleset
        self.rules = RulesState(version=1, ruleset=ruleset)
        self.states, self.paused, self.sent = {}, set(), []
        self.now, self.demand = 0.0, True
        target_ids = [f"t{n}" for n in range(40)]
        targets = [
            Target(t, "hive-ledger", ("ip", 1), "rift", "kerio") for t in target_ids
        ]
        self.far_node = Member(
            "far", "far", ("ip", 9), "coast", "kwale", 1, targets=tuple(targets)
        )

    def join(self, *names):
        """Start nodes; each knows itself and a node of another region with targets."""
        for name in names:
            addr = (name, 1)
            identity = Identity(name, name, "rift", "kerio", addr, addr, 1)
            self.states[name] = State(identity, self.rules)
            self.apply(name, ev.MembersReceived(self.now, (self.far_node,)))

    def introduce(self, *names):
        """Send each of the named nodes the records of all of them."""
        records = tuple(own_record(self.states[name]) for name in names)
        for name in names:
            self.apply(name, ev.MembersReceived(self.now, records))

    def apply(self, name, event):
        """Apply an event to a node, and end the probes that it sends."""
        step = reduce(self.states[name], event)
        self.states[name] = step.state
        for effect in step.effects:
            if isinstance(effect, SendProbe):
                self.sent.append((self.now, name))
                used_bytes = MAX_PROBE_BYTES - PACKET_HEADER_BYTES
                ended = ev.ProbeEnded(self.now, effect.target_id, None, used_bytes, 0)
                self.apply(name, ended)

    def run(self, seconds):
        """Advance the clock; with `demand`, running nodes get a call at each tick."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for number, name in enumerate(sorted(self.states.keys() - self.paused)):
                if round(self.now / TICK_S) % 5 == 0:
                    # A newer record keeps the targets of the other region routable.
                    self.far_node = replace(self.far_node, seq=self.far_node.seq + 1)
                    self.apply(name, ev.MembersReceived(self.now, (self.far_node,)))
                draw = hash((round(self.now * 1000), number)) & (2**64 - 1)
                if self.demand:
                    req = Request("hive-ledger", "GET", "/", self.now + 1.0)
                    call = Call(1, req, self.now)
                    self.apply(name, ev.CallArrived(self.now, draw, call))
                    self.apply(name, ev.CallerDisconnected(self.now, 1))
                self.apply(name, ev.Tick(self.now, draw))

    def probes(self, since, name=None):
        """Return the number of probes sent after a time, by one node or by all."""
        return sum(at > since and name in (None, node) for at, node in self.sent)

    def assert_within_budget(self, window_s):
        """Check every window of `window_s` seconds.

        Each node may exceed its share by one probe.
        """
        for begin, _ in self.sent:
            count = sum(begin <= at < begin + window_s for at, _ in self.sent)
            assert count <= PROBES_PER_S * window_s + len(self.states)


@pytest.fixture
def region():
    """Return a region of eight nodes that know each other and have joined."""
    joined = Region()
    names = [f"n{number}" for number in range(8)]
    joined.join(*names)
    joined.introduce(*names)
    joined.run(20.0)
    return joined


def test_demand_is_served_up_to_the_budget(region):
    """Guards against tests of the budget that pass because no probe is sent."""
    begin = region.now
    region.run(10.0)
    assert region.probes(begin) >= 0.9 * 10.0 * PROBES_PER_S
    region.assert_within_budget(5.0)
    region.demand = False
    region.run(2.2)
    ended = region.now
    region.run(5.0)
    assert region.probes(ended) == 0


def test_joining_nodes_wait_until_they_are_counted(region):
    """Guards against joining nodes that probe before the others reduce their shares."""
    old_nodes = list(region.states)
    new_nodes = [f"x{number}" for number in range(8)]
    region.join(*new_nodes)
    begin = region.now
    for name in new_nodes:
        records = tuple(own_record(state) for state in region.states.values())
        region.apply(name, ev.MembersReceived(region.now, records))
    region.run(9.0)
    assert sum(region.probes(begin, name) for name in new_nodes) == 0
    region.introduce(*old_nodes, *new_nodes)
    region.run(20.0)
    assert all(region.probes(begin, name) for name in new_nodes)
    region.assert_within_budget(9.0)


def test_cut_off_nodes_keep_their_old_shares(region):
    """Guards against parts of a partition that each spend the whole budget."""
    for name, state in region.states.items():
        others = [
            replace(record, status=MemberStatus.DEAD)
            for record in state.mesh.members.values()
            if record.region == "rift" and record.node_id != name
        ]
        region.apply(name, ev.MembersReceived(region.now, tuple(others)))
    begin = region.now
    region.run(10.0)
    assert region.probes(begin) > 0
    region.assert_within_budget(5.0)


def test_unknown_nodes_are_covered_by_the_planned_number():
    """Guards against nodes that start during a partition and know only themselves."""
    region = Region(planned=8)
    region.join(*(f"n{number}" for number in range(8)))
    region.run(30.0)
    assert region.probes(0.0) > 0
    region.assert_within_budget(5.0)


def test_resumed_node_waits_and_does_not_catch_up(region):
    """Guards against a paused node that resumes with an outdated share."""
    region.paused.add("n0")
    new_nodes = [f"x{number}" for number in range(24)]
    region.join(*new_nodes)
    region.introduce(*region.states.keys() - {"n0"})
    region.run(30.0)
    region.paused.clear()
    begin = region.now
    region.run(1.0)
    # A node that was paused serves calls only after it has checked its rules.
    region.apply("n0", ev.RulesVersionReceived(region.now, 1, "store", confirmed=True))
    region.run(8.0)
    assert region.probes(begin, "n0") == 0
    region.introduce(*region.states)
    region.run(20.0)
    assert region.probes(begin, "n0") > 0
    region.assert_within_budget(9.0)


def test_idle_nodes_do_not_probe_all_at_once():
    """Guards against idle nodes that save up probes and send them all at once."""
    region = Region()
    names = [f"n{number}" for number in range(60)]
    region.join(*names)
    region.introduce(*names)
    region.demand = False
    region.run(30.0)
    assert not region.sent
    region.demand = True
    begin = region.now
    region.run(1.0)
    # If each node had saved up one probe, 60 would be sent. Nodes send at random times,
    # so one second may exceed the budget, but at most by a factor of 2.
    assert 0 < region.probes(begin) <= 2 * PROBES_PER_S


def test_bytes_stay_within_the_budget():
    """Guards against exceeding the byte budget with large responses."""
    bytes_per_s = 4 * MAX_PROBE_BYTES
    region = Region(bytes_per_s)
    names = [f"n{number}" for number in range(8)]
    region.join(*names)
    region.introduce(*names)
    region.run(40.0)
    begin = region.now - 20.0
    spent_bytes = region.probes(begin) * MAX_PROBE_BYTES
    assert 0 < spent_bytes <= bytes_per_s * 20.0 + len(names) * MAX_PROBE_BYTES


def test_response_updates_the_load_of_the_target(region):
    """Guards against probes whose result is not used."""
    event = ev.ProbeEnded(region.now, "t3", 7.0, 100, 200)
    stats = reduce(region.states["n0"], event).state.traffic.targets["t3"]
    assert (stats.reported_load, stats.reported_at) == (7.0, region.now)


def target_totals(cluster):
    """Return (probes, bytes in both directions) as counted by the targets."""
    found = [target.get_json("/faults") for target in cluster.targets.values()]
    probes = sum(counters.get("probes", 0) for counters in found)
    names = ("probe_bytes_in", "probe_bytes_out")
    return probes, sum(counters.get(name, 0) for counters in found for name in names)


def node_totals(cluster):
    """Return (probes, bytes without packet headers) as counted by the nodes."""
    found = [cluster.admin(name, "/v1/status")[1] for name in cluster.nodes]
    probes = sum(status["counters"].get("probes.sent", 0) for status in found)
    traffic_bytes = sum(status["counters"].get("probes.bytes", 0) for status in found)
    return probes, traffic_bytes - probes * PACKET_HEADER_BYTES


def test_targets_see_no_more_probes_than_the_budget(cluster):
    """Guards against probes beyond the default budget while nodes pause and join.

    The targets do not report their load, so all of them need probes all the time.
    """
    budget = parse("").ruleset.probe_budget("rift")
    cluster.start_node("n0")
    seeds = "{}:{}".format(*cluster.nodes["n0"].info["mesh"])
    cluster.start_node("n1", seeds=seeds)
    cluster.start_node("n2", seeds=seeds)
    for name in ("t0", "t1", "t2", "t3", "t4", "t5"):
        target = cluster.start_target(name, "n0")
        url = "http://{}:{}/faults".format(*target.info["addr"])
        http(url, "POST", {"load_report": "none"})
    called_nodes = ["n0", "n1", "n2"]

    def probes_reach(count):
        for name in called_nodes:
            cluster.call(name, "/weights")
        return target_totals(cluster)[0] >= count

    wait_until(lambda: probes_reach(1), 30.0, "the first probe")
    begin, (probes, bytes_before) = time.monotonic(), target_totals(cluster)
    wait_until(lambda: probes_reach(probes + 15), 30.0, "probes of three nodes")
    called_nodes.remove("n2")
    cluster.nodes["n2"].signal(signal.SIGSTOP)
    wait_until(lambda: probes_reach(probes + 30), 30.0, "probes of two nodes")
    cluster.start_node("n3", seeds=seeds)
    called_nodes.append("n3")
    cluster.nodes["n2"].signal(signal.SIGCONT)
    wait_until(lambda: cluster.call("n2", "/weights")[0] == 200, 30.0, "n2 serves")
    called_nodes.append("n2")
    wait_until(lambda: probes_reach(probes + 60), 30.0, "probes after the join")
    took_s, (probes_now, bytes_now) = time.monotonic() - begin, target_totals(cluster)
    assert probes_now - probes <= budget.probes_per_s * took_s + len(cluster.nodes)
    spent_bytes = bytes_now - bytes_before + (probes_now - probes) * PACKET_HEADER_BYTES
    reserved_bytes = MAX_PROBE_BYTES * len(cluster.nodes)
    assert spent_bytes <= budget.bytes_per_s * took_s + reserved_bytes
    # Without calls the probes end, and both sides have counted the same.
    wait_until(
        lambda: target_totals(cluster) == node_totals(cluster), 10.0, "equal counts"
    )
