"""The emulator of the platform's path: model time, targets, and what callers get."""

import asyncio
import random
from dataclasses import replace
from pathlib import Path

import pytest
from pydantic import ValidationError

from bench.emulator import simulated_time
from bench.emulator.config import Condition, Fault, load_experiment
from bench.emulator.runner import WINDOW_S, run_condition
from bench.emulator.targets import TargetModel

EXPERIMENT = Path(__file__).parent.parent / "bench" / "emulator" / "experiment.toml"
OFF = Fault(kind="power_off", at_s=2.0, for_s=1.4)
# Cold targets work half as fast, so half of the credit is what they can earn.
COLD_CREDIT = 0.5


@pytest.fixture(scope="module")
def sites():
    """Return the sites of the experiment by name."""
    return {site.name: site for site in load_experiment(EXPERIMENT).sites}


def test_model_time_passes_without_waiting():
    """Guards against emulations that take as long as what they emulate."""

    async def sleeper():
        loop = asyncio.get_running_loop()
        await asyncio.gather(asyncio.sleep(3600), asyncio.sleep(7200))
        return loop.time()

    assert simulated_time.run(sleeper()) == pytest.approx(7200)


def test_wait_for_nothing_is_an_error():
    """Guards against an emulation that hangs for ever."""

    async def stuck():
        await asyncio.Event().wait()

    with pytest.raises(RuntimeError, match="nothing is scheduled"):
        simulated_time.run(stuck())


def test_misspelt_fault_is_refused():
    """Guards against an experiment that plays something else than it says."""
    with pytest.raises(ValidationError):
        Fault(kind="powr_off", at_s=1.0, for_s=1.0)


def test_target_runs_no_more_than_its_slots_and_queues_the_next(sites):
    """Guards against a model that has more capacity than its slots."""
    site = sites["asali-hub"]
    kind = replace(site.kinds[1], calls=0)

    async def play():
        model = TargetModel(site.traits, random.Random(1), None)
        places = site.traits.slots + site.traits.queue
        runs = [model.serve(kind, 9.0) for _ in range(places + 1)]
        tasks = [asyncio.ensure_future(run) for run in runs]
        await asyncio.sleep(0.001)
        assert model.running == site.traits.slots
        found = await asyncio.gather(*tasks)
        assert [ran.not_run for ran in found].count(True) == 1
        assert model.running == 0

    simulated_time.run(play())


def test_same_seed_gives_the_same_result(sites):
    """Guards against a comparison of policies under different luck."""
    site, calm = sites["kerrigan"], Condition(name="calm", load=0.2)
    first, again = (
        run_condition(site, calm, "product", [5], 1.0).earned for _ in range(2)
    )
    assert first == again
    assert run_condition(site, calm, "product", [6], 1.0).earned != first


@pytest.mark.parametrize("name", ["asali-hub", "kerrigan"])
def test_callers_are_served_by_cold_targets_after_a_power_loss(sites, name):
    """Guards against targets that hold or refuse calls until they are warm."""
    condition = Condition(name="off", faults=(OFF,))
    found = run_condition(sites[name], condition, "product", [1], 6.0)
    # The power is back at 3.4 s; this is the window from 4 s to 6 s.
    window = int((OFF.at_s + OFF.for_s) / WINDOW_S) + 1
    assert found.earned[window] >= COLD_CREDIT * found.owed[window]
