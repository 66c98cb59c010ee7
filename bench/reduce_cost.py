"""Processor time of one call's reduce steps, with as many members as in production.

Run: `python -m bench.reduce_cost [POLICY ...]`.
"""

import sys
import time

from pimentoline import events as ev
from pimentoline.draws import mix
from pimentoline.effects import StartAttempt
from pimentoline.model import Call, Identity, Member, Request, State, Target
from pimentoline.reducer import reduce

MEMBERS = 720
SERVICES = 89
CALLS = 20_000
PLACES = [
    ("rift", "baringo"),
    ("rift", "kerio"),
    ("coast", "kwale"),
    ("coast", "kilifi"),
    ("western", "kakamega"),
    ("western", "bungoma"),
]


def make_state(policy):
    """Return the state of a node that knows every member."""
    addr = ("127.0.0.1", 1)
    records = []
    for number in range(MEMBERS):
        region, dc = PLACES[number % len(PLACES)]
        name = f"n{number:03}"
        service = f"s{number % SERVICES:02}"
        targets = (Target(f"t{number:03}", service, addr, region, dc),)
        records.append(Member(name, name, addr, region, dc, 1, 1, targets=targets))
    me = Identity("n000", "n000", *PLACES[0], addr, addr, 1)
    state = State(me, policy=policy)
    return reduce(state, ev.MembersHeard(0.0, tuple(records))).state


def run_call(state, call_id, now, draw):
    """Reduce the events of one successful call and return the state."""
    req = Request(f"s{call_id % SERVICES:02}", "GET", "/weights", now + 10.0)
    step = reduce(state, ev.CallArrived(now, draw, Call(call_id, req, now)))
    for effect in step.effects:
        if isinstance(effect, StartAttempt):
            head = ev.HeadReceived(
                now + 0.02, draw, call_id, effect.attempt_id, 200, load=3.0
            )
            step = reduce(step.state, head)
    return reduce(step.state, ev.CallEnded(now + 0.021, call_id, True)).state


def measure(policy):
    """Return the mean processor time of one call in microseconds."""
    state = make_state(policy)
    for number in range(CALLS + SERVICES):
        if number == SERVICES:
            # The first call of each service builds its route; that is not the mean.
            started = time.process_time()
        state = run_call(state, number, 1.0 + number / 153.0, mix(number, 1))
    return (time.process_time() - started) / CALLS * 1e6


if __name__ == "__main__":
    for name in sys.argv[1:] or ["hot-cold", "random"]:
        print(f"{name}: {measure(name):.1f} us per call, {MEMBERS} members", flush=True)
