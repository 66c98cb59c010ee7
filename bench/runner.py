"""Runs every condition with every policy and seed."""

import signal
import time
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from .generator import new_histogram
from .system import System

__all__ = ["Cell", "run_size"]

SETTLE_S = 0.3
# A generator that is this late did not get the processor; neither did the rest of
# the system, which shares it. Such a run is discarded and made once again.
MAX_LAG_MS = 50.0


@dataclass
class Cell:
    """Results of one condition, policy and size, summed over the seeds.

    `targets` are counters of the targets, `nodes` those of the nodes by region,
    `capacity` is in calls a second, `goodputs` are answered calls a second by seed.
    `window_s` is the time in which the counters were counted, which is longer than
    that of sending, and `discarded` the number of runs made again.
    """

    size: str
    condition: str
    policy: str
    capacity: float
    window_s: float = 0.0
    discarded: int = 0
    sent: int = 0
    ok: int = 0
    shed: int = 0
    failed: int = 0
    max_lag_ms: float = 0.0
    goodputs: list = field(default_factory=list)
    codes: dict = field(default_factory=dict)
    targets: dict = field(default_factory=dict)
    nodes: dict = field(default_factory=dict)
    histogram: HdrHistogram = field(default_factory=new_histogram)

    def percentile_ms(self, percent):
        """Return a latency percentile in milliseconds."""
        return self.histogram.get_value_at_percentile(percent) / 1000.0

    def add(self, answer, window_s, targets, nodes):
        """Add the results of one seed."""
        self.window_s += window_s
        for name in ("sent", "ok", "shed", "failed"):
            setattr(self, name, getattr(self, name) + answer[name])
        self.max_lag_ms = max(self.max_lag_ms, answer["max_lag_ms"])
        self.goodputs.append(answer["goodput"])
        self.histogram.decode_and_add(answer["histogram"])
        _add(self.codes, answer["codes"])
        _add(self.targets, targets)
        for region, counters in nodes.items():
            _add(self.nodes.setdefault(region, {}), counters)

    def node_total(self, name):
        """Return the sum of a node counter over all regions."""
        return sum(counters.get(name, 0) for counters in self.nodes.values())


def _add(total, counters):
    for name, value in counters.items():
        total[name] = total.get(name, 0) + value


def run_size(exp, size, say):
    """Run all conditions at one size.

    Parameters
    ----------
    exp : Experiment
    size : Size
    say : callable
        Takes a line of progress.

    Returns
    -------
    list of Cell
    """
    system = System(size, exp.policies)
    cells = []
    try:
        for cond in exp.conditions:
            capacity = size.instances * size.slots / cond.mean_s
            for policy in exp.policies:
                cell = Cell(size.name, cond.name, policy, capacity)
                for seed in exp.seeds:
                    found = _run_once(exp, system, cond, cell, seed)
                    if found[0]["max_lag_ms"] > MAX_LAG_MS:
                        cell.discarded += 1
                        found = _run_once(exp, system, cond, cell, seed)
                    cell.add(*found)
                cells.append(cell)
                say(
                    f"{size.name} {cond.name} {policy}: {cell.sent} calls, "
                    f"p99 {cell.percentile_ms(99):.0f} ms, {cell.failed} failed, "
                    f"{cell.shed} shed, lag {cell.max_lag_ms:.0f} ms"
                )
    finally:
        system.close()
    return cells


def _run_once(exp, system, cond, cell, seed):
    """Return the generator's answer, the time counted, and the counters."""
    policy = cell.policy
    base = {
        "reset": True,
        "mean_s": cond.mean_s,
        "sigma": cond.sigma,
        "queue": cond.queue,
        "seed": seed,
    }
    system.set_faults(base | cond.all_targets)
    if cond.before:
        system.set_faults(cond.before, cond.affected)
    held_back = cond.affected if cond.before.get("state") == "starting" else 0
    system.wait_ready(policy, system.size.instances - held_back)
    time.sleep(SETTLE_S)
    nodes = [(region, *node.info["data"]) for region, node in system.nodes[policy]]
    lost = nodes[-1][0] if cond.lose_region else None
    job = {
        "nodes": nodes,
        "service": system.size.service,
        "rate": cell.capacity * cond.utilisation,
        "duration_s": exp.duration_s,
        "deadline_s": exp.deadline_s,
        "seed": seed,
        "burst": cond.burst and cond.burst.model_dump(),
        "lost_region": lost,
        "lost_at_s": cond.at_s,
    }
    before, begin = system.node_counters(policy), time.monotonic()
    system.generator.write(job)
    time.sleep(cond.at_s)
    if cond.faults:
        system.set_faults(cond.faults, cond.affected)
    if lost:
        system.signal_region(policy, lost, signal.SIGSTOP)
    try:
        answer = system.generator.read()
    finally:
        if lost:
            system.signal_region(policy, lost, signal.SIGCONT)
    after, window_s = system.node_counters(policy), time.monotonic() - begin
    nodes = {
        region: {
            name: value - before[region].get(name, 0)
            for name, value in counters.items()
        }
        for region, counters in after.items()
    }
    return answer, window_s, system.target_counters(), nodes
