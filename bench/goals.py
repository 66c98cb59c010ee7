"""Checks the goals of section 5 of the design against the results of a run."""

from dataclasses import dataclass

from pimentoline.rules import RuleSet

__all__ = ["GoalCheck", "check_goals"]

# Conditions in which the subject's p99 must be much lower than that of the baselines,
# which are all other policies.
TAIL_CONDITIONS = ("slow-target", "noise", "fail-fast")
# Limits of the subject's p99 as a multiple of the best baseline's: in the conditions
# above, and in all conditions.
MAX_TAIL_RATIO = 0.5
MAX_RATIO = 1.05
# Minimum goodput under overload, as a share of capacity.
MIN_GOODPUT_SHARE = 0.9
# Maximum number of retries and hedges, as a share of first attempts.
MAX_RETRY_SHARE = 0.1
# Probe traffic is compared with a sweep, in which every node probes every target once
# per `SWEEP_PERIOD_S`. `MAX_SWEEP_SHARE` limits it to a share of the sweep's traffic.
SWEEP_PERIOD_S = 0.1
MAX_SWEEP_SHARE = 0.1


@dataclass(frozen=True)
class GoalCheck:
    """One goal at one size: requirement, measured value, and whether it is met."""

    size: str
    goal: str
    measured: str
    met: bool


def check_goals(experiment, results):
    """Check the policy `experiment.subject` against all goals at all sizes.

    Goals that need a condition which the experiment leaves out are not checked.

    Parameters
    ----------
    experiment : Experiment
    results : list of Result

    Returns
    -------
    list of GoalCheck
    """
    checks = []
    for size in experiment.sizes:
        results_by_case = {
            (result.condition, result.policy): result
            for result in results
            if result.size == size.name
        }
        for check in (
            _check_tail_latency,
            _check_goodput,
            _check_retries,
            _check_probe_traffic,
        ):
            checks += check(experiment, size, results_by_case)
    return checks


def _check_tail_latency(experiment, size, results_by_case):
    for condition in experiment.conditions:
        baselines = [
            (results_by_case[condition.name, policy].percentile_ms(99), policy)
            for policy in experiment.policies
            if policy != experiment.subject
        ]
        if not baselines:
            continue
        best_ms, best = min(baselines)
        subject_ms = results_by_case[condition.name, experiment.subject].percentile_ms(
            99
        )
        ratio = subject_ms / best_ms
        measured = (
            f"{subject_ms:.0f} ms to {best_ms:.0f} ms of {best}, ratio {ratio:.2f}"
        )
        if condition.name in TAIL_CONDITIONS:
            goal = f"{condition.name}: p99 at most half of the best baseline"
            yield GoalCheck(size.name, goal, measured, ratio <= MAX_TAIL_RATIO)
        goal = f"{condition.name}: p99 at most 5% worse than the best baseline"
        yield GoalCheck(size.name, goal, measured, ratio <= MAX_RATIO)


def _check_goodput(experiment, size, results_by_case):
    result = results_by_case.get(("overload-2x", experiment.subject))
    if result is not None:
        goodput = sum(result.goodputs) / len(result.goodputs)
        share = goodput / result.capacity
        measured = f"{goodput:.0f} of {result.capacity:.0f} calls/s, {share:.0%}"
        goal = "overload-2x: goodput at least 90% of capacity"
        yield GoalCheck(size.name, goal, measured, share >= MIN_GOODPUT_SHARE)


def _check_retries(experiment, size, results_by_case):
    shares = []
    for condition in experiment.conditions:
        counters = results_by_case[condition.name, experiment.subject].target_counters
        retries = counters.get("repeats", 0)
        first_attempts = counters.get("attempts", 0) - retries
        shares.append((retries / max(first_attempts, 1), condition.name))
    share, name = max(shares)
    goal = "retries and hedges at most 10% of first attempts"
    measured = f"at most {share:.1%}, in {name}"
    yield GoalCheck(size.name, goal, measured, share <= MAX_RETRY_SHARE)


def _check_probe_traffic(experiment, size, results_by_case):
    subject_results = [
        results_by_case[condition.name, experiment.subject]
        for condition in experiment.conditions
    ]
    seconds = sum(result.window_s for result in subject_results)
    within_budget, exceeded = True, ""
    for result in subject_results:
        for region, counters in result.node_counters.items():
            budget = RuleSet().probe_budget(region)
            probes = counters.get("probes.sent", 0) / result.window_s
            bytes_per_s = counters.get("probes.bytes", 0) / result.window_s
            if probes > budget.probes_per_s or bytes_per_s > budget.bytes_per_s:
                within_budget = False
                exceeded += (
                    f"; {result.condition} {region}: {probes:.1f} probes/s, "
                    f"{bytes_per_s:.0f} B/s"
                )
    sent = sum(result.node_total("probes.sent") for result in subject_results)
    probe_bytes = sum(result.node_total("probes.bytes") for result in subject_results)
    measured = (
        f"{sent / seconds:.1f} probes/s, {probe_bytes / seconds:.0f} B/s in total"
    )
    goal = "probes and their bytes under the budget in every region"
    yield GoalCheck(size.name, goal, measured + exceeded, within_budget)
    if sent:
        # Traffic of a sweep whose probes have the mean size of the measured ones.
        sweep_bytes_per_s = (
            probe_bytes / sent * size.instances * len(size.dcs) / SWEEP_PERIOD_S
        )
        share = probe_bytes / seconds / sweep_bytes_per_s
        goal = "probe bytes at most a tenth of a sweep every 100 ms"
        measured = (
            f"{probe_bytes / seconds:.0f} of {sweep_bytes_per_s:.0f} B/s, {share:.1%}"
        )
        yield GoalCheck(size.name, goal, measured, share <= MAX_SWEEP_SHARE)
