"""Measures the reducer's CPU time per call with as many members as in production.

Run: `python -m bench.reduce_cost [POLICY ...]`.
"""

import sys
import time

from pimentoline import events as ev
from pimentoline.draws import mix
from pimentoline.model import Call, Identity, Member, Request, State, Target
from pimentoline.reducer import reduce

MEMBER_COUNT = 720
SERVICE_COUNT = 89
BATCH_COUNT = 40
CALLS_PER_BATCH = 500
# Pairs (region, data centre), over which the members are spread.
LOCATIONS = [
    ("rift", "baringo"),
    ("rift", "kerio"),
    ("coast", "kwale"),
    ("coast", "kilifi"),
    ("western", "kakamega"),
    ("western", "bungoma"),
]


def make_state(policy):
    """Return the state of a node that has the records of all members."""
    addr = ("127.0.0.1", 1)
    records = []
    for number in range(MEMBER_COUNT):
        region, dc = LOCATIONS[number % len(LOCATIONS)]
        name = f"n{number:03}"
        service = f"s{number % SERVICE_COUNT:02}"
        targets = (Target(f"t{number:03}", service, addr, region, dc),)
        records.append(Member(name, name, addr, region, dc, 1, 1, targets=targets))
    identity = Identity("n000", "n000", *LOCATIONS[0], addr, addr, 1)
    state = State(identity, policy=policy)
    return reduce(state, ev.MembersReceived(0.0, tuple(records))).state


def make_events(number, attempt_id):
    """Return the events of one successful call.

    Calls arrive at a rate of 153 per second. The response head follows after 20 ms, and
    the call ends 1 ms later.
    """
    now, draw = 1.0 + number / 153.0, mix(number, 1)
    request = Request(f"s{number % SERVICE_COUNT:02}", "GET", "/weights", now + 10.0)
    return (
        ev.CallArrived(now, draw, Call(number, request, now)),
        ev.ResponseHeadReceived(now + 0.02, draw, number, attempt_id, 200, load=3.0),
        ev.CallEnded(now + 0.021, number, True),
    )


def measure(policy):
    """Return the mean CPU time of a call in microseconds, one value per batch."""
    state = make_state(policy)
    times = []
    for first in range(0, (BATCH_COUNT + 1) * CALLS_PER_BATCH, CALLS_PER_BATCH):
        # Each call makes one attempt, so the ids of the attempts are known in advance.
        attempt_offset = state.traffic.next_attempt_id - first
        calls = [
            make_events(n, n + attempt_offset)
            for n in range(first, first + CALLS_PER_BATCH)
        ]
        started_at = time.process_time()
        for events in calls:
            for event in events:
                state = reduce(state, event).state
        times.append((time.process_time() - started_at) / CALLS_PER_BATCH * 1e6)
        if state.traffic.calls:
            raise RuntimeError("open calls left: the predicted attempt ids are wrong")
    # The first batch is a warm-up: it is slower because it builds the routes of all
    # services.
    return times[1:]


if __name__ == "__main__":
    for name in sys.argv[1:] or ["hot-cold", "random"]:
        times = measure(name)
        # Other processes on the host slow some batches down; the minimum is closest
        # to the cost without them.
        print(
            f"{name}: mean {sum(times) / BATCH_COUNT:.1f}, min {min(times):.1f} us "
            f"per call, {BATCH_COUNT} batches of {CALLS_PER_BATCH}, "
            f"{MEMBER_COUNT} members",
            flush=True,
        )
