"""The report: Markdown tables and plots."""

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

from .goals import judge  # noqa: E402
from .runner import MAX_LAG_MS  # noqa: E402

__all__ = ["write_report"]

# heading: (function of a cell, format)
COLUMNS = {
    "calls": (lambda cell: cell.sent, "{:.0f}"),
    "p50 ms": (lambda cell: cell.percentile_ms(50), "{:.0f}"),
    "p99 ms": (lambda cell: cell.percentile_ms(99), "{:.0f}"),
    "p99.9 ms": (lambda cell: cell.percentile_ms(99.9), "{:.0f}"),
    "failed %": (lambda cell: 100 * cell.failed / cell.sent, "{:.2f}"),
    "shed %": (lambda cell: 100 * cell.shed / cell.sent, "{:.1f}"),
    "goodput/s": (lambda cell: sum(cell.goodputs) / len(cell.goodputs), "{:.0f}"),
    "repeats %": (lambda cell: 100 * _target(cell, "repeats") / cell.sent, "{:.1f}"),
    "wasted %": (lambda cell: 100 * wasted(cell), "{:.1f}"),
    "probes/call": (lambda cell: cell.node_total("probes.sent") / cell.sent, "{:.3f}"),
    "probe B/call": (
        lambda cell: cell.node_total("probes.bytes") / cell.sent,
        "{:.0f}",
    ),
    "cross-region B/call": (
        lambda cell: _target(cell, "call_bytes_cross") / cell.sent,
        "{:.0f}",
    ),
    "generator lag ms": (lambda cell: cell.max_lag_ms, "{:.0f}"),
    "discarded runs": (lambda cell: cell.discarded, "{:.0f}"),
    "not answered": (lambda cell: list_codes(cell.codes), "{}"),
}
PLOTTED = ("p50 ms", "p99 ms", "p99.9 ms", "failed %", "shed %", "wasted %")
LOGARITHMIC = ("p50 ms", "p99 ms", "p99.9 ms")


def _target(cell, name):
    return cell.targets.get(name, 0)


def list_codes(codes):
    """Return the outcomes and error codes of calls without an answer, as text."""
    return ", ".join(f"{name}: {count}" for name, count in sorted(codes.items()))


def wasted(cell):
    """Return the share of runs at targets whose answer no caller received."""
    ran = _target(cell, "ran")
    return max(0, ran - cell.ok) / ran if ran else 0.0


def write_report(exp, cells, folder, took_s, command):
    """Write `report.md` and one plot for each size.

    Parameters
    ----------
    exp : Experiment
    cells : list of Cell
    folder : Path
    took_s : float
        Time of the whole run, seconds.
    command : str
        Command that made the run.

    Returns
    -------
    Path
        The Markdown file.
    """
    folder.mkdir(parents=True, exist_ok=True)
    lines = [
        "# Bench report",
        "",
        f"Command: `{command}`; the run took {took_s:.0f} s. Each cell sends calls for "
        f"{exp.duration_s:g} s with each of the seeds {list(exp.seeds)}, with a "
        f"deadline of {exp.deadline_s:g} s. Latency counts from the scheduled send "
        "time; a failed call counts as the deadline, a shed call only as shed. All "
        "processes share one machine over loopback, without the link delays of the "
        "deployments. With about 10 calls above a cell's p99 and 1 above its p99.9, "
        "small differences of these columns are noise. `repeats` are attempts with "
        "`X-Retry-Attempt`, `wasted` are runs at targets whose answer no caller "
        "received, `generator lag` is the longest delay of a send. A run with a lag "
        f"above {MAX_LAG_MS:.0f} ms was disturbed by other load on the machine; it is "
        "discarded and made once again, and the second run counts.",
        "",
        "The baselines differ from the subject in the choice among the targets of a "
        "ring only. They share its rings, spill, ejection, retries and hedges, and "
        "with one node for each data centre most rings hold one or two targets.",
        "",
        "## Goals of section 5 of the design",
        "",
        "| size | goal | measured | met |",
        "| --- | --- | --- | --- |",
    ]
    for verdict in judge(exp, cells):
        word = "yes" if verdict.met else "**no**"
        lines.append(
            f"| {verdict.size} | {verdict.goal} | {verdict.measured} | {word} |"
        )
    late = [
        f"{cell.size} {cell.condition} {cell.policy} ({cell.max_lag_ms:.0f} ms)"
        for cell in cells
        if cell.max_lag_ms > MAX_LAG_MS
    ]
    named = ", ".join(late) or "none"
    lines += ["", f"Still above that lag, so not to be relied on: {named}."]
    for size in exp.sizes:
        found = [cell for cell in cells if cell.size == size.name]
        lines += ["", f"## {size.name}", "", f"![{size.name}]({size.name}.png)", ""]
        lines.append("| " + " | ".join(["condition", "policy", *COLUMNS]) + " |")
        lines.append("| --- | --- |" + " ---: |" * len(COLUMNS))
        for cell in found:
            values = [text.format(get(cell)) for get, text in COLUMNS.values()]
            row = [cell.condition, cell.policy, *values]
            lines.append("| " + " | ".join(row) + " |")
        plot_size(exp, found, folder / f"{size.name}.png")
    path = folder / "report.md"
    path.write_text("\n".join(lines) + "\n")
    return path


def plot_size(exp, cells, path):
    """Draw one panel for each plotted column, grouped by condition."""
    figure, panels = plt.subplots(3, 2, figsize=(14, 12), constrained_layout=True)
    width = 0.8 / len(exp.policies)
    names = [cond.name for cond in exp.conditions]
    for panel, heading in zip(panels.flat, PLOTTED, strict=True):
        get = COLUMNS[heading][0]
        for number, policy in enumerate(exp.policies):
            values = [get(cell) for cell in cells if cell.policy == policy]
            at = [i + number * width for i in range(len(values))]
            panel.bar(at, values, width, label=policy)
        panel.set_title(heading)
        panel.set_xticks(range(len(names)), names, rotation=35, ha="right")
        if heading in LOGARITHMIC:
            panel.set_yscale("log")
    panels.flat[0].legend()
    figure.savefig(path, dpi=70)
    plt.close(figure)
