"""Runs the experiment in an experiment file and writes the report."""

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
    """Run the experiment and write the report.

    Each size in the experiment file is a deployment to test. All sizes run in parallel,
    each with its own processes.
    """
    args = flags.FLAGS
    experiment = load_experiment(args.experiment, args.quick)
    started_at = time.monotonic()

    def log_progress(line):
        print(f"{time.monotonic() - started_at:6.1f} s  {line}", flush=True)

    with cf.ThreadPoolExecutor(len(experiment.sizes)) as pool:
        futures = [
            pool.submit(run_size, experiment, size, log_progress)
            for size in experiment.sizes
        ]
        results = [result for future in futures for result in future.result()]
    elapsed_s = time.monotonic() - started_at
    command = " ".join(["python -m bench", *sys.argv[1:]])
    path = write_report(experiment, results, Path(args.out), elapsed_s, command)
    log_progress(f"wrote {path}")


if __name__ == "__main__":
    flags.DEFINE_string("experiment", str(HERE / "experiment.toml"), "Experiment file.")
    flags.DEFINE_bool("quick", False, "Run the short form of the experiment.")
    flags.DEFINE_string("out", "docs/bench", "Folder to write the report to.")
    app.run(main)
