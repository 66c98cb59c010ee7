"""Processor time of one call's reduce steps, with as many members as in production.

Run: `python -m bench.reduce_cost [POLICY ...]`.
"""

import sys
import time

from pimentoline import events as ev
from pimentoline.draws import mix
from pimentoline.model import Call, Identity, Member, Request, State, Target
from pimentoline.reducer import reduce

MEMBERS = 720
SERVICES = 89
BATCHES = 40
BATCH_CALLS = 500
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
    return reduce(state, ev.MembersReceived(0.0, tuple(records))).state


def make_events(number, attempt_id):
    """Return the events of one successful call."""
    now, draw = 1.0 + number / 153.0, mix(number, 1)
    req = Request(f"s{number % SERVICES:02}", "GET", "/weights", now + 10.0)
    return (
        ev.CallArrived(now, draw, Call(number, req, now)),
        ev.ResponseHeadReceived(now + 0.02, draw, number, attempt_id, 200, load=3.0),
        ev.CallEnded(now + 0.021, number, True),
    )


def measure(policy):
    """Return the mean processor times of one call in microseconds, one per batch."""
    state = make_state(policy)
    times = []
    for first in range(0, (BATCHES + 1) * BATCH_CALLS, BATCH_CALLS):
        attempt_id = state.traffic.next_attempt - first
        calls = [
            make_events(n, n + attempt_id) for n in range(first, first + BATCH_CALLS)
        ]
        started = time.process_time()
        for events in calls:
            for event in events:
                state = reduce(state, event).state
        times.append((time.process_time() - started) / BATCH_CALLS * 1e6)
        if state.traffic.calls:
            raise RuntimeError("a call was not answered by the attempt foreseen")
    # The first batch builds the routes of all services.
    return times[1:]


if __name__ == "__main__":
    for name in sys.argv[1:] or ["hot-cold", "random"]:
        times = measure(name)
        # Other processes on the machine slow some batches down; the least shows the
        # cost without them.
        print(
            f"{name}: mean {sum(times) / BATCHES:.1f}, least {min(times):.1f} us per "
            f"call, {BATCHES} batches of {BATCH_CALLS}, {MEMBERS} members",
            flush=True,
        )
