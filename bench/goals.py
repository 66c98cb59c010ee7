"""The goals of section 5 of the design, judged on the cells of one run."""

from dataclasses import dataclass

from pimentoline.rules import RuleSet

__all__ = ["Verdict", "judge"]

TAIL_CONDITIONS = ("slow-target", "noise", "fail-fast")
TAIL_RATIO = 0.5
WORSE_RATIO = 1.05
GOODPUT_SHARE = 0.9
REPEAT_SHARE = 0.1
SWEEP_PERIOD_S = 0.1
SWEEP_SHARE = 0.1


@dataclass(frozen=True)
class Verdict:
    """One goal at one size: what was asked, what was measured, and if it is met."""

    size: str
    goal: str
    measured: str
    met: bool


def judge(exp, cells):
    """Return the verdicts for the subject of the experiment.

    Parameters
    ----------
    exp : Experiment
    cells : list of Cell

    Returns
    -------
    list of Verdict
    """
    verdicts = []
    for size in exp.sizes:
        found = {
            (cell.condition, cell.policy): cell
            for cell in cells
            if cell.size == size.name
        }
        for judge_one in (_tail, _goodput, _repeats, _probes):
            verdicts += judge_one(exp, size, found)
    return verdicts


def _tail(exp, size, found):
    for cond in exp.conditions:
        baselines = [
            (found[cond.name, policy].percentile_ms(99), policy)
            for policy in exp.policies
            if policy != exp.subject
        ]
        if not baselines:
            continue
        best_ms, best = min(baselines)
        ours_ms = found[cond.name, exp.subject].percentile_ms(99)
        ratio = ours_ms / best_ms
        measured = f"{ours_ms:.0f} ms to {best_ms:.0f} ms of {best}, ratio {ratio:.2f}"
        if cond.name in TAIL_CONDITIONS:
            goal = f"{cond.name}: p99 at most half of the best baseline"
            yield Verdict(size.name, goal, measured, ratio <= TAIL_RATIO)
        goal = f"{cond.name}: p99 at most 5% worse than the best baseline"
        yield Verdict(size.name, goal, measured, ratio <= WORSE_RATIO)


def _goodput(exp, size, found):
    cell = found.get(("overload-2x", exp.subject))
    if cell is not None:
        goodput = sum(cell.goodputs) / len(cell.goodputs)
        share = goodput / cell.capacity
        measured = f"{goodput:.0f} of {cell.capacity:.0f} calls/s, {share:.0%}"
        goal = "overload-2x: goodput at least 90% of capacity"
        yield Verdict(size.name, goal, measured, share >= GOODPUT_SHARE)


def _repeats(exp, size, found):
    shares = []
    for cond in exp.conditions:
        counters = found[cond.name, exp.subject].targets
        repeats = counters.get("repeats", 0)
        first = counters.get("attempts", 0) - repeats
        shares.append((repeats / max(first, 1), cond.name))
    share, name = max(shares)
    goal = "retries and hedges at most 10% of first attempts"
    measured = f"at most {share:.1%}, in {name}"
    yield Verdict(size.name, goal, measured, share <= REPEAT_SHARE)


def _probes(exp, size, found):
    ours = [found[cond.name, exp.subject] for cond in exp.conditions]
    seconds = sum(cell.window_s for cell in ours)
    within, worst = True, ""
    for cell in ours:
        for region, counters in cell.nodes.items():
            budget = RuleSet().probe_budget(region)
            probes = counters.get("probes.sent", 0) / cell.window_s
            traffic = counters.get("probes.bytes", 0) / cell.window_s
            if probes > budget.probes_per_s or traffic > budget.bytes_per_s:
                within = False
                worst += (
                    f"; {cell.condition} {region}: {probes:.1f} probes/s, "
                    f"{traffic:.0f} B/s"
                )
    sent = sum(cell.node_total("probes.sent") for cell in ours)
    traffic = sum(cell.node_total("probes.bytes") for cell in ours)
    measured = f"{sent / seconds:.1f} probes/s, {traffic / seconds:.0f} B/s in total"
    goal = "probes and their bytes under the budget in every region"
    yield Verdict(size.name, goal, measured + worst, within)
    if sent:
        # The same probe sent by every node to every target.
        sweep = traffic / sent * size.instances * len(size.dcs) / SWEEP_PERIOD_S
        share = traffic / seconds / sweep
        goal = "probe bytes at most a tenth of a sweep every 100 ms"
        measured = f"{traffic / seconds:.0f} of {sweep:.0f} B/s, {share:.1%}"
        yield Verdict(size.name, goal, measured, share <= SWEEP_SHARE)
