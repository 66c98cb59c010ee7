"""Policies against a few modelled targets with slots and a queue."""

import functools
import heapq
import itertools
import random

import pytest

from pimentoline import events as ev
from pimentoline.effects import CancelAttempt, ForwardResponse, ScheduleHedge
from pimentoline.policies import policy_names

from .core import HOME, Core, attempt_of

PLACES = {"t0": HOME, "t1": ("rift", "baringo"), "t2": ("coast", "kwale")}
SLOTS = 4
SERVICE_S = 0.05
CALLS_PER_S = 60.0
CALLS = 600
FAULT_AT = 102.0


@functools.cache
def p99_s(policy, faults, seed=5):
    """Return the 99th percentile latency of calls while some targets are faulty.

    A fault is the factor of the service time after `FAULT_AT`, or 0.0 for a target
    that answers at once with an error.
    """
    core, rng = Core(policy, "retry * 10%"), random.Random(seed)
    for name, place in PLACES.items():
        core.add(name, place, slots=SLOTS)
    free = {name: [0.0] * SLOTS for name in PLACES}
    number, queue, begun, latencies = itertools.count(), [], {}, []

    def at(time, action, item):
        heapq.heappush(queue, (time, next(number), action, item))

    def run(effects):
        sent = attempt_of(effects)
        for effect in effects:
            match effect:
                case ScheduleHedge(call_id, delay_s):
                    at(core.now + delay_s, "hedge", call_id)
                case ForwardResponse(call_id):
                    latencies.append(core.now - begun[call_id])
                    core.end(call_id)
                case CancelAttempt(_, attempt_id):
                    begun[-attempt_id] = core.now
        if sent is None:
            return
        factor = faults.get(sent.target_id, 1.0) if core.now > FAULT_AT else 1.0
        if not factor:
            at(core.now + 0.001, 500, sent)
            return
        slots = free[sent.target_id]
        start = max(core.now, heapq.heappop(slots))
        end = start + factor * SERVICE_S * rng.lognormvariate(-0.125, 0.5)
        heapq.heappush(slots, end)
        at(end, 200, sent)

    arrival = core.now
    for _ in range(CALLS):
        arrival += rng.expovariate(CALLS_PER_S)
        at(arrival, "arrive", None)
    while queue:
        core.now, _, action, item = heapq.heappop(queue)
        if action == "arrive":
            call_id, effects = core.arrive()
            begun[call_id] = core.now
            run(effects)
        elif action == "hedge":
            run(core.send(ev.HedgeDue(core.now, rng.getrandbits(64), item, True)))
        elif -item.attempt_id not in begun:
            run(core.answer(item, action))
    assert len(latencies) == CALLS
    return sorted(latencies)[int(CALLS * 0.99)]


class Faults(dict):
    """Faults by target, as an argument of a cached function."""

    def __hash__(self):
        """Return a hash of the faults."""
        return hash(tuple(sorted(self.items())))


@pytest.mark.parametrize(
    ("faults", "ratio"),
    [
        (Faults(), 1.05),
        (Faults(t0=0.0), 1.05),
        (Faults(t0=10.0), 0.5),
        (Faults(t0=4.0, t1=4.0), 1.05),
    ],
    ids=["no fault", "fails fast", "10x slower", "region 4x slower"],
)
def test_product_against_best_baseline(faults, ratio):
    """Guards against a policy that simple ones beat, or that stays at slow targets."""
    baselines = [name for name in policy_names() if name != "hot-cold"]
    best = min(p99_s(name, faults) for name in baselines)
    assert p99_s("hot-cold", faults) <= ratio * best
