"""Runs the experiment file and writes the report."""

import concurrent.futures as cf
import sys
import time
from pathlib import Path

from absl import app, flags

from .config import load_experiment
from .report import write_report
from .runner import run_size

HERE = Path(__file__).resolve().parent


def main(argv):
    """Run all sizes at the same time, each on processes of its own."""
    args = flags.FLAGS
    exp = load_experiment(args.experiment, args.quick)
    begin = time.monotonic()

    def say(line):
        print(f"{time.monotonic() - begin:6.1f} s  {line}", flush=True)

    with cf.ThreadPoolExecutor(len(exp.sizes)) as pool:
        runs = [pool.submit(run_size, exp, size, say) for size in exp.sizes]
        cells = [cell for run in runs for cell in run.result()]
    took_s = time.monotonic() - begin
    command = " ".join(["python -m bench", *sys.argv[1:]])
    path = write_report(exp, cells, Path(args.out), took_s, command)
    say(f"wrote {path}")


if __name__ == "__main__":
    flags.DEFINE_string("experiment", str(HERE / "experiment.toml"), "Experiment file.")
    flags.DEFINE_bool("quick", False, "Run the short form of the experiment.")
    flags.DEFINE_string("out", "docs/bench", "Folder of the report.")
    app.run(main)
