"""Tests of the bench: its load generator and its experiment file."""

from pathlib import Path

import pytest
from pydantic import ValidationError

from bench.config import load_experiment
from bench.generator import new_histogram, schedule
from bench.system import Process

from .conftest import http

EXPERIMENT = Path(__file__).parent.parent / "bench" / "experiment.toml"


def test_generator_sends_on_schedule_to_a_target_that_never_responds(cluster):
    """Guards against coordinated omission.

    A generator that waits for responses before it sends the next call hides stalls,
    because the calls that would have been slow are never sent.
    """
    target = cluster.start("standins.target")
    addr = target.info["addr"]
    url = "http://{}:{}/faults".format(*addr)
    http(url, "POST", {"silent": True})
    job = {"nodes": [["rift", *addr]], "service": "hive-ledger", "rate": 100.0}
    job |= {"duration_s": 0.5, "deadline_s": 0.5, "seed": 3}
    generator = Process("bench.generator")
    cluster.processes.append(generator)
    generator.write(job)
    result = generator.read()
    scheduled = len(schedule(job))
    assert result["sent"] == result["failed"] == scheduled > 0
    histogram = new_histogram()
    histogram.decode_and_add(result["histogram"])
    # Microseconds; a failed call counts with its deadline of 0.5 s at least.
    assert histogram.get_min_value() >= 490_000


def test_misspelt_experiment_is_refused(tmp_path):
    """Guards against a misspelt key of a condition that is silently ignored."""
    toml = EXPERIMENT.read_text().replace("utilisation = 1.2", "utilization = 1.2")
    path = tmp_path / "experiment.toml"
    path.write_text(toml)
    with pytest.raises(ValidationError, match="utilization"):
        load_experiment(path)
