"""Simulation of the load-balancing policies with three targets.

Each target processes a call in each of its slots and queues the others. The loop is
closed between policy and targets: the choices of a policy determine the latencies that
it then observes. Calls arrive at random times, whether or not earlier ones have ended.
"""

import functools
import heapq
import itertools
import random

import pytest

from pimentoline import events as ev
from pimentoline.effects import CancelAttempt, ForwardResponse, ScheduleHedge
from pimentoline.policies import policy_names

from .core import HOME, Core, started_attempt

# Region and data centre of each target; t0 and t1 are in the same region.
LOCATIONS = {"t0": HOME, "t1": ("rift", "baringo"), "t2": ("coast", "kwale")}
SLOTS = 4
MEAN_SERVICE_TIME_S = 0.05
CALLS_PER_S = 60.0
CALLS = 600
# Simulated time; the simulation begins at 100 s.
FAULT_AT_S = 102.0


@functools.cache
def p99_s(policy, faults, seed=5):
    """Return the 99th percentile latency of calls to targets of which some are faulty.

    The faults begin at `FAULT_AT_S`. The fault of a target is the factor by which its
    service time grows, or 0.0 if it responds at once with an error.
    """
    # The rule limits retries and hedges of any service to 10% of first attempts.
    core, rng = Core(policy, "retry * 10%"), random.Random(seed)
    for name, location in LOCATIONS.items():
        core.add_target(name, location, slots=SLOTS)
    # For each target, the times at which its slots are free.
    free_at = {name: [0.0] * SLOTS for name in LOCATIONS}
    # `started_at` maps the id of each call to its start time. It also contains, as a
    # mark, the negated id of each cancelled attempt.
    sequence, queue, started_at, latencies = itertools.count(), [], {}, []

    # `action` is "arrive", "hedge" or the status of a response.
    def schedule(time, action, item):
        heapq.heappush(queue, (time, next(sequence), action, item))

    def execute(effects):
        sent = started_attempt(effects)
        for effect in effects:
            match effect:
                case ScheduleHedge(call_id, delay_s):
                    schedule(core.now + delay_s, "hedge", call_id)
                case ForwardResponse(call_id):
                    latencies.append(core.now - started_at[call_id])
                    core.end_call(call_id)
                case CancelAttempt(_, attempt_id):
                    started_at[-attempt_id] = core.now
        if sent is None:
            return
        factor = faults.get(sent.target_id, 1.0) if core.now > FAULT_AT_S else 1.0
        if not factor:
            schedule(core.now + 0.001, 500, sent)
            return
        slots = free_at[sent.target_id]
        start = max(core.now, heapq.heappop(slots))
        # The log-normal distribution has a mean of 1.
        end = start + factor * MEAN_SERVICE_TIME_S * rng.lognormvariate(-0.125, 0.5)
        heapq.heappush(slots, end)
        schedule(end, 200, sent)

    arrival = core.now
    for _ in range(CALLS):
        arrival += rng.expovariate(CALLS_PER_S)
        schedule(arrival, "arrive", None)
    while queue:
        core.now, _, action, item = heapq.heappop(queue)
        if action == "arrive":
            call_id, effects = core.start_call()
            started_at[call_id] = core.now
            execute(effects)
        elif action == "hedge":
            # True: the request, a GET without a body, can be sent again.
            execute(core.send(ev.HedgeDue(core.now, rng.getrandbits(64), item, True)))
        elif -item.attempt_id not in started_at:
            execute(core.receive_head(item, action))
    assert len(latencies) == CALLS
    return sorted(latencies)[int(CALLS * 0.99)]


class Faults(dict):
    """Faults by target; hashable, so that results can be cached."""

    def __hash__(self):
        """Return a hash of the items."""
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
def test_hot_cold_against_best_other_policy(faults, ratio):
    """Guards against a hot-cold policy that is worse than a simple one.

    With one slow target, the 99th percentile latency of hot-cold must be at most half
    that of the best other policy. In the other cases, it may be up to 5% above.
    """
    others = [name for name in policy_names() if name != "hot-cold"]
    best = min(p99_s(name, faults) for name in others)
    assert p99_s("hot-cold", faults) <= ratio * best
