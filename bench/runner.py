"""Measures each policy under each condition with every seed, at one system size."""

import signal
import time
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from .generator import new_histogram
from .system import System

__all__ = ["Result", "run_size"]

# Time between the readiness of the system and the first call, seconds.
SETTLE_S = 0.3
# Longest accepted delay of a call behind its scheduled send time, milliseconds. A
# longer one means that the generator lacked CPU time, and so did the system on the same
# host. The run is then discarded and repeated once.
MAX_LAG_MS = 50.0


@dataclass
class Result:
    """Results of one size, condition and policy, combined over the seeds.

    Attributes
    ----------
    size, condition, policy : str
        Names from the experiment file.
    capacity : float
        Calls per second that the targets can serve.
    window_s : float
        Time between the readings of the nodes' counters before and after a run,
        seconds, summed over the seeds. It includes the wait for the last response after
        all calls were sent.
    discarded : int
        Number of runs that were discarded and repeated.
    sent, ok, shed, failed : int
        Number of calls in total, and by outcome: status 200, not run by any target
        according to the response header `X-Verdict`, and all others.
    max_lag_ms : float
        Longest delay between the scheduled and the actual send time of a call,
        milliseconds.
    goodputs : list of float
        Successful calls per second, one value per seed.
    error_counts : dict
        Number of unsuccessful calls, by outcome and error code.
    target_counters : dict
        Sums of the counters of all targets, by name.
    node_counters : dict
        Sums of the counters of the nodes, by region and name.
    histogram : HdrHistogram
        Latencies, microseconds.
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
    error_counts: dict = field(default_factory=dict)
    target_counters: dict = field(default_factory=dict)
    node_counters: dict = field(default_factory=dict)
    histogram: HdrHistogram = field(default_factory=new_histogram)

    def percentile_ms(self, percent):
        """Return a latency percentile in milliseconds."""
        return self.histogram.get_value_at_percentile(percent) / 1000.0

    def add_run(self, report, window_s, target_counters, node_counters):
        """Add the results of one run, passed in the order that `_run_once` returns."""
        self.window_s += window_s
        for name in ("sent", "ok", "shed", "failed"):
            setattr(self, name, getattr(self, name) + report[name])
        self.max_lag_ms = max(self.max_lag_ms, report["max_lag_ms"])
        self.goodputs.append(report["goodput"])
        self.histogram.decode_and_add(report["histogram"])
        _add_counters(self.error_counts, report["codes"])
        _add_counters(self.target_counters, target_counters)
        for region, counters in node_counters.items():
            _add_counters(self.node_counters.setdefault(region, {}), counters)

    def node_total(self, name):
        """Return the sum of a node counter over all regions."""
        return sum(counters.get(name, 0) for counters in self.node_counters.values())


def _add_counters(totals, counters):
    for name, value in counters.items():
        totals[name] = totals.get(name, 0) + value


def run_size(experiment, size, log_progress):
    """Measure all conditions and policies at one size.

    Parameters
    ----------
    experiment : Experiment
    size : Size
    log_progress : callable
        Called with a line of text after each result.

    Returns
    -------
    list of Result
    """
    system = System(size, experiment.policies)
    results = []
    try:
        for condition in experiment.conditions:
            # Each target (instance) serves up to `slots` calls at once, and a call
            # takes `mean_s` seconds on average.
            capacity = size.instances * size.slots / condition.mean_s
            for policy in experiment.policies:
                result = Result(size.name, condition.name, policy, capacity)
                for seed in experiment.seeds:
                    run = _run_once(experiment, system, condition, result, seed)
                    if run[0]["max_lag_ms"] > MAX_LAG_MS:
                        result.discarded += 1
                        run = _run_once(experiment, system, condition, result, seed)
                    result.add_run(*run)
                results.append(result)
                log_progress(
                    f"{size.name} {condition.name} {policy}: {result.sent} calls, "
                    f"p99 {result.percentile_ms(99):.0f} ms, {result.failed} failed, "
                    f"{result.shed} shed, lag {result.max_lag_ms:.0f} ms"
                )
    finally:
        system.close()
    return results


def _run_once(experiment, system, condition, result, seed):
    """Run one condition with one seed and with the policy and capacity in `result`.

    Returns
    -------
    tuple
        Results from the generator, time in seconds between the two readings of the
        nodes' counters, sums of the targets' counters, and increases of the nodes'
        counters by region.
    """
    policy = result.policy
    # Faults are settings of the simulated targets: service time and queue limit as well
    # as failures. `reset` first restores all settings and clears the counters.
    initial_faults = {
        "reset": True,
        "mean_s": condition.mean_s,
        "sigma": condition.sigma,
        "queue": condition.queue,
        "seed": seed,
    }
    system.set_faults(initial_faults | condition.all_targets)
    # `before` and `faults` apply to the first targets; `affected` is their number.
    if condition.before:
        system.set_faults(condition.before, condition.affected)
    # Targets that begin in the state `starting` are not up, so they are not awaited.
    starting_count = (
        condition.affected if condition.before.get("state") == "starting" else 0
    )
    system.wait_ready(policy, system.size.instances - starting_count)
    time.sleep(SETTLE_S)
    # `data` is the address, ip and port, at which a node accepts calls.
    nodes = [(region, *node.info["data"]) for region, node in system.nodes[policy]]
    lost_region = nodes[-1][0] if condition.lose_region else None
    job = {
        "nodes": nodes,
        "service": system.size.service,
        "rate": result.capacity * condition.utilisation,
        "duration_s": experiment.duration_s,
        "deadline_s": experiment.deadline_s,
        "seed": seed,
        "burst": condition.burst and condition.burst.model_dump(),
        "lost_region": lost_region,
        "lost_at_s": condition.at_s,
    }
    counters_before, started_at = system.node_counters(policy), time.monotonic()
    system.generator.write(job)
    time.sleep(condition.at_s)
    if condition.faults:
        system.set_faults(condition.faults, condition.affected)
    if lost_region:
        system.signal_region(policy, lost_region, signal.SIGSTOP)
    try:
        report = system.generator.read()
    finally:
        if lost_region:
            system.signal_region(policy, lost_region, signal.SIGCONT)
    counters_after, window_s = (
        system.node_counters(policy),
        time.monotonic() - started_at,
    )
    node_counters = {
        region: {
            name: value - counters_before[region].get(name, 0)
            for name, value in counters.items()
        }
        for region, counters in counters_after.items()
    }
    return report, window_s, system.target_counters(), node_counters
