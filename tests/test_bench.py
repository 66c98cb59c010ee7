"""The bench: what its figures rest on."""

from pathlib import Path

import pytest
from pydantic import ValidationError

from bench.config import load_experiment
from bench.generator import new_histogram, schedule
from bench.system import Process

from .conftest import http

EXPERIMENT = Path(__file__).parent.parent / "bench" / "experiment.toml"


def test_generator_sends_on_schedule_to_a_target_that_never_answers(cluster):
    """Guards against coordinated omission: waiting for answers before sending."""
    target = cluster.start("standins.target")
    addr = target.info["addr"]
    url = "http://{}:{}/faults".format(*addr)
    http(url, "POST", {"silent": True})
    job = {"nodes": [["rift", *addr]], "service": "hive-ledger", "rate": 100.0}
    job |= {"duration_s": 0.5, "deadline_s": 0.5, "seed": 3}
    generator = Process("bench.generator")
    cluster.processes.append(generator)
    generator.write(job)
    answer = generator.read()
    sent = len(schedule(job))
    assert answer["sent"] == answer["failed"] == sent > 0
    histogram = new_histogram()
    histogram.decode_and_add(answer["histogram"])
    assert histogram.get_min_value() >= 490_000


def test_misspelt_experiment_is_refused(tmp_path):
    """Guards against a condition whose misspelt value silently has no effect."""
    text = EXPERIMENT.read_text().replace("utilisation = 1.2", "utilization = 1.2")
    path = tmp_path / "experiment.toml"
    path.write_text(text)
    with pytest.raises(ValidationError, match="utilization"):
        load_experiment(path)
