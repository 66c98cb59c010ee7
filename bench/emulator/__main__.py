"""Runs the emulator's experiments and prints a table of the results."""

import sys
import time
from pathlib import Path

from absl import app, flags

from .config import load_experiment
from .runner import run_condition

HERE = Path(__file__).resolve().parent
# A site is an emulated deployment: its data centres (DC), targets and calls. A
# condition is the load and the faults of a run.
#
# Columns: `asked` is the number of calls. `in time`, `late`, `refused` and `failed` are
# shares of the calls: status 200 within the latency objective, status 200 after it but
# before the deadline, status 503, and any other result. A response in time earns a
# credit that depends on the kind of call, and a late one earns less. `credit` is the
# credit earned in the whole run, as a share of what it would be if all responses were
# in time; `worst` is the mean of this share over the two windows of 2 s in which it was
# lowest. Frames are the messages between nodes.
TABLE_HEAD = (
    "| site | condition | policy | asked | credit | worst | in time | late | refused "
    "| failed | p50 ms | p99 ms | frames a call | KB between DCs a call "
    "| KB between regions a call |"
)


def _format_row(site, condition, policy, result):
    calls = max(result.calls, 1)
    cells = [
        site.name,
        condition.name,
        policy,
        result.calls,
        f"{result.credit_share:.3f}",
        f"{result.worst_credit_share:.3f}",
        f"{result.on_time / calls:.3f}",
        f"{result.late / calls:.3f}",
        f"{result.refused / calls:.3f}",
        f"{result.failed / calls:.3f}",
        f"{result.percentile_ms(50):.0f}",
        f"{result.percentile_ms(99):.0f}",
        f"{result.frames / calls:.1f}",
        f"{result.kb_dc / calls:.2f}",
        f"{result.kb_region / calls:.2f}",
    ]
    return "| " + " | ".join(map(str, cells)) + " |"


def main(argv):
    """Emulate each combination of site, condition and policy, with every seed."""
    args = flags.FLAGS
    experiment = load_experiment(args.experiment)
    started_at = time.monotonic()
    print(TABLE_HEAD)
    print("|" + " --- |" * TABLE_HEAD.count(" | ") + " --- |")
    for site in experiment.sites:
        for condition in experiment.conditions:
            if args.only and args.only not in condition.name:
                continue
            for policy in experiment.policies:
                result = run_condition(
                    site, condition, policy, experiment.seeds, experiment.length_s
                )
                print(_format_row(site, condition, policy, result), flush=True)
    print(
        f"{time.monotonic() - started_at:.0f} s elapsed, seeds: {experiment.seeds}",
        file=sys.stderr,
    )


if __name__ == "__main__":
    flags.DEFINE_string("experiment", str(HERE / "experiment.toml"), "Experiment file.")
    flags.DEFINE_string(
        "only", "", "Run only conditions whose name contains this text."
    )
    app.run(main)
