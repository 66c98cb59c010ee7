"""Writes the report: Markdown tables and plots."""

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

from .goals import check_goals  # noqa: E402
from .runner import MAX_LAG_MS  # noqa: E402

__all__ = ["write_report"]

# Columns of the tables: tuple (function of a `Result`, format) by heading.
COLUMNS = {
    "calls": (lambda result: result.sent, "{:.0f}"),
    "p50 ms": (lambda result: result.percentile_ms(50), "{:.0f}"),
    "p99 ms": (lambda result: result.percentile_ms(99), "{:.0f}"),
    "p99.9 ms": (lambda result: result.percentile_ms(99.9), "{:.0f}"),
    "failed %": (lambda result: 100 * result.failed / result.sent, "{:.2f}"),
    "shed %": (lambda result: 100 * result.shed / result.sent, "{:.1f}"),
    "goodput/s": (lambda result: sum(result.goodputs) / len(result.goodputs), "{:.0f}"),
    "repeats %": (
        lambda result: 100 * _target_counter(result, "repeats") / result.sent,
        "{:.1f}",
    ),
    "wasted %": (lambda result: 100 * wasted_share(result), "{:.1f}"),
    "probes/call": (
        lambda result: result.node_total("probes.sent") / result.sent,
        "{:.3f}",
    ),
    "probe B/call": (
        lambda result: result.node_total("probes.bytes") / result.sent,
        "{:.0f}",
    ),
    "cross-region B/call": (
        lambda result: _target_counter(result, "call_bytes_cross") / result.sent,
        "{:.0f}",
    ),
    "generator lag ms": (lambda result: result.max_lag_ms, "{:.0f}"),
    "discarded runs": (lambda result: result.discarded, "{:.0f}"),
    "not answered": (lambda result: format_codes(result.error_counts), "{}"),
}
# Columns that are plotted, and those of them that have a logarithmic axis.
PLOTTED = ("p50 ms", "p99 ms", "p99.9 ms", "failed %", "shed %", "wasted %")
LOGARITHMIC = ("p50 ms", "p99 ms", "p99.9 ms")


def _target_counter(result, name):
    return result.target_counters.get(name, 0)


def format_codes(codes):
    """Return counts of unsuccessful calls, by outcome and code, as text."""
    return ", ".join(f"{name}: {count}" for name, count in sorted(codes.items()))


def wasted_share(result):
    """Return the share of wasted requests among those that targets ran.

    A request is wasted if its caller got no response with status 200.
    """
    ran = _target_counter(result, "ran")
    return max(0, ran - result.ok) / ran if ran else 0.0


def write_report(experiment, results, folder, elapsed_s, command):
    """Write `report.md` and one image with plots for each size.

    Parameters
    ----------
    experiment : Experiment
    results : list of Result
    folder : Path
        Created if it does not exist.
    elapsed_s : float
        Duration of the whole run, seconds.
    command : str
        Command line of the run.

    Returns
    -------
    Path
        The Markdown file.
    """
    folder.mkdir(parents=True, exist_ok=True)
    lines = [
        "# Bench report",
        "",
        f"Command: `{command}`; the run took {elapsed_s:.0f} s. For each row, calls "
        f"are sent for {experiment.duration_s:g} s with each of the seeds "
        f"{list(experiment.seeds)}, with a deadline of {experiment.deadline_s:g} s. "
        "Latency counts from the scheduled send "
        "time; a failed call counts as the deadline, a shed call only as shed. All "
        "processes share one host over loopback, without the link delays of the "
        "deployments. With about 10 calls above a row's p99 and 1 above its p99.9, "
        "small differences in these columns are noise. `repeats` are attempts with "
        "`X-Retry-Attempt`, `wasted` are requests run at targets whose response "
        "reached no caller, `generator lag` is the longest delay of a send. A run with "
        f"a lag above {MAX_LAG_MS:.0f} ms was disturbed by other load on the host; "
        "it is discarded and repeated once, and the second run counts.",
        "",
        "The baselines differ from the subject only in the choice among the targets of "
        "a ring (own data centre, own region, other regions). They share its rings, "
        "spill to farther rings, ejection, retries and hedges, and with one node per "
        "data centre most rings contain one or two targets.",
        "",
        "## Goals of section 5 of the design",
        "",
        "| size | goal | measured | met |",
        "| --- | --- | --- | --- |",
    ]
    for check in check_goals(experiment, results):
        met = "yes" if check.met else "**no**"
        lines.append(f"| {check.size} | {check.goal} | {check.measured} | {met} |")
    lagging = [
        f"{result.size} {result.condition} {result.policy} ({result.max_lag_ms:.0f} ms)"
        for result in results
        if result.max_lag_ms > MAX_LAG_MS
    ]
    lagging_text = ", ".join(lagging) or "none"
    lines += ["", f"Still above that lag, and therefore unreliable: {lagging_text}."]
    for size in experiment.sizes:
        size_results = [result for result in results if result.size == size.name]
        lines += ["", f"## {size.name}", "", f"![{size.name}]({size.name}.png)", ""]
        lines.append("| " + " | ".join(["condition", "policy", *COLUMNS]) + " |")
        lines.append("| --- | --- |" + " ---: |" * len(COLUMNS))
        for result in size_results:
            values = [
                template.format(get_value(result))
                for get_value, template in COLUMNS.values()
            ]
            row = [result.condition, result.policy, *values]
            lines.append("| " + " | ".join(row) + " |")
        plot_size(experiment, size_results, folder / f"{size.name}.png")
    path = folder / "report.md"
    path.write_text("\n".join(lines) + "\n")
    return path


def plot_size(experiment, results, path):
    """Plot the columns of `PLOTTED` as bar charts, grouped by condition.

    `path` is the image file to write.
    """
    figure, panels = plt.subplots(3, 2, figsize=(14, 12), constrained_layout=True)
    width = 0.8 / len(experiment.policies)
    names = [condition.name for condition in experiment.conditions]
    for panel, heading in zip(panels.flat, PLOTTED, strict=True):
        get_value = COLUMNS[heading][0]
        for index, policy in enumerate(experiment.policies):
            values = [
                get_value(result) for result in results if result.policy == policy
            ]
            positions = [i + index * width for i in range(len(values))]
            panel.bar(positions, values, width, label=policy)
        panel.set_title(heading)
        panel.set_xticks(range(len(names)), names, rotation=35, ha="right")
        if heading in LOGARITHMIC:
            panel.set_yscale("log")
    panels.flat[0].legend()
    figure.savefig(path, dpi=70)
    plt.close(figure)
