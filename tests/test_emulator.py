"""Tests of the emulator: simulated time, target model and credit of the callers."""

import asyncio
import random
from dataclasses import replace
from pathlib import Path

import pytest
from pydantic import ValidationError

from bench.emulator import simulated_time
from bench.emulator.config import Condition, Fault, load_experiment
from bench.emulator.runner import CREDIT_WINDOW_S, run_condition
from bench.emulator.targets import TargetModel

EXPERIMENT = Path(__file__).parent.parent / "bench" / "emulator" / "experiment.toml"
POWER_LOSS = Fault(kind="power_off", at_s=2.0, for_s=1.4)
# In their cold start, targets work at half speed, so the successful responses have to
# earn at least half of the credit that is possible (see `Result` of the emulator).
MIN_COLD_CREDIT_SHARE = 0.5


@pytest.fixture(scope="module")
def sites():
    """Return the sites of the experiment, by name."""
    return {site.name: site for site in load_experiment(EXPERIMENT).sites}


def test_simulated_time_passes_without_waiting():
    """Guards against an emulation that takes as long as the time it emulates."""

    async def sleeper():
        loop = asyncio.get_running_loop()
        await asyncio.gather(asyncio.sleep(3600), asyncio.sleep(7200))
        return loop.time()

    assert simulated_time.run(sleeper()) == pytest.approx(7200)


def test_wait_for_nothing_is_an_error():
    """Guards against an emulation that hangs because no event is scheduled."""

    async def stuck():
        await asyncio.Event().wait()

    with pytest.raises(RuntimeError, match="nothing is scheduled"):
        simulated_time.run(stuck())


def test_misspelt_fault_is_refused():
    """Guards against an experiment in which a misspelt fault is silently ignored."""
    with pytest.raises(ValidationError):
        Fault(kind="powr_off", at_s=1.0, for_s=1.0)


def test_target_runs_no_more_than_its_slots_and_queues_the_next(sites):
    """Guards against a target model that runs more requests than it has slots."""
    site = sites["asali-hub"]
    # For requests of this kind, the target makes no calls itself.
    kind = replace(site.kinds[1], calls=0)

    async def simulate():
        target = TargetModel(site.traits, random.Random(1), None)
        capacity = site.traits.slots + site.traits.queue
        runs = [target.serve(kind, 9.0) for _ in range(capacity + 1)]
        tasks = [asyncio.ensure_future(run) for run in runs]
        await asyncio.sleep(0.001)
        assert target.running == site.traits.slots
        results = await asyncio.gather(*tasks)
        assert [result.not_run for result in results].count(True) == 1
        assert target.running == 0

    simulated_time.run(simulate())


def test_same_seed_gives_the_same_result(sites):
    """Guards against a comparison of policies with different random numbers."""
    site, calm = sites["kerrigan"], Condition(name="calm", load=0.2)
    first, again = (
        run_condition(site, calm, "product", [5], 1.0).earned_credit for _ in range(2)
    )
    assert first == again
    assert run_condition(site, calm, "product", [6], 1.0).earned_credit != first


@pytest.mark.parametrize("name", ["asali-hub", "kerrigan"])
def test_callers_are_served_by_cold_targets_after_a_power_loss(sites, name):
    """Guards against calls that wait or are rejected until the cold start is over."""
    condition = Condition(name="off", faults=(POWER_LOSS,))
    result = run_condition(sites[name], condition, "product", [1], 6.0)
    # The power is back at 3.4 s; the window after that is from 4 s to 6 s.
    window = int((POWER_LOSS.at_s + POWER_LOSS.for_s) / CREDIT_WINDOW_S) + 1
    assert (
        result.earned_credit[window]
        >= MIN_COLD_CREDIT_SHARE * result.possible_credit[window]
    )
