"""Interleavings of several nodes that claim one key, chosen by hypothesis.

Every request to the store waits until the schedule lets it go on with one of the
fates below, so late effects, lost answers and crashed nodes meet in any order.
"""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentoline import claim_writer
from pimentoline import events as ev
from pimentoline.claim_writer import ClaimWriter
from pimentoline.effects import FinishClaim, InsertClaim, ReleaseClaim
from pimentoline.errors import StoreUnavailableError
from pimentoline.model import RecordedResponse
from pimentoline.store import Row
from standins.table import Table

NODES = 3
ANSWER = RecordedResponse(200, "text/plain", b"receipt", False)
# `late` answers with an error now and takes effect when the schedule says so.
FATES = ("answered", "answered", "lost", "failed", "late")
STEPS = st.lists(
    st.tuples(st.integers(0, 7), st.sampled_from((*FATES, "crash", "claim", "claim"))),
    min_size=8,
    max_size=40,
)


class ScheduledStore:
    """The table service with its requests held back until the schedule goes on."""

    def __init__(self):
        self.table = Table()
        self.waiting = []
        self.late = []

    async def _ask(self, run):
        fut = asyncio.get_running_loop().create_future()
        self.waiting.append((fut, run))
        return await fut

    async def commit(self, checks=(), puts=(), deletes=()):
        """Run a transaction when the schedule lets it."""
        txn = {
            "checks": [{"key": key, "version": ver} for key, ver in checks],
            "puts": [{"key": key, "value": value} for key, value in puts],
            "deletes": list(deletes),
        }
        return await self._ask(lambda: self.table.run(txn)["ok"])

    async def get(self, key):
        """Read a row when the schedule lets it."""
        answer = await self._ask(lambda: self.table.row(key))
        return Row(key, answer["version"], answer["value"])

    def go_on(self, index, fate):
        """Let one waiting request, or one late effect, go on."""
        waiting = [item for item in self.waiting if not item[0].done()]
        choices = waiting + self.late
        if not choices:
            return
        chosen = choices[index % len(choices)]
        if chosen in self.late:
            self.late.remove(chosen)
            chosen()
            return
        self.waiting.remove(chosen)
        fut, run = chosen
        if fate == "late":
            self.late.append(run)
        result = run() if fate in ("answered", "lost") else None
        if fate == "answered":
            fut.set_result(result)
        else:
            fut.set_exception(StoreUnavailableError(fate))


class Node:
    """A claim writer, and the calls that it sends once their claims are granted."""

    def __init__(self, number, world):
        self.number = number
        self.world = world
        self.calls = set()
        self.writer = ClaimWriter(
            world.store,
            lambda: f"node-{number}",
            lambda call_id: call_id in self.calls,
            self.on_answer,
            lambda: 0.0,
            lambda: 0,
            lambda name: None,
        )

    def claim(self):
        """Receive the sale once more."""
        call_id = len(self.world.log)
        self.calls.add(call_id)
        self.world.log.append((self.number, call_id))
        self.writer.execute(InsertClaim(call_id, "hive-ledger", "sale-1"))

    def on_answer(self, event):
        """Send a granted call; two in three are shed by the target."""
        call_id = event.call_id
        self.calls.discard(call_id)
        if event.outcome is not ev.ClaimOutcome.GRANTED:
            return
        if call_id % 3:
            effect = ReleaseClaim(call_id, "hive-ledger", "sale-1")
        else:
            self.world.runs.append(call_id)
            effect = FinishClaim(call_id, "hive-ledger", "sale-1", ANSWER)
        self.writer.execute(effect)


class World:
    """Nodes, the store, and what ran."""

    def __init__(self):
        self.store = ScheduledStore()
        self.log = []
        self.runs = []
        self.nodes = [Node(number, self) for number in range(NODES)]

    async def step(self, index, action):
        """Carry out one step of the schedule."""
        if action == "claim":
            self.nodes[index % NODES].claim()
        elif action == "crash":
            self.crash(index % NODES)
        else:
            self.store.go_on(index, action)
        for _ in range(4):
            await asyncio.sleep(0)

    def crash(self, number):
        """Lose a node and all that it had not yet asked of the store."""
        for task in self.nodes[number].writer._tasks:
            task.cancel()
        self.nodes[number] = Node(len(self.log) + 100 * (number + 1), self)

    async def run(self, steps):
        """Run a schedule and return the calls that ran."""
        for index, action in steps:
            await self.step(index, action)
        for number in range(NODES):
            self.crash(number)
        await asyncio.sleep(0)
        return self.runs


@pytest.fixture(autouse=True)
def no_delays(monkeypatch):
    """Let writes in the background be tried again at once."""
    monkeypatch.setattr(claim_writer, "FIRST_DELAY_S", 0.0)
    monkeypatch.setattr(claim_writer, "MAX_DELAY_S", 0.0)


@settings(max_examples=400, derandomize=True, deadline=None, database=None)
@given(STEPS)
def test_sale_runs_at_most_once(steps):
    """Guards against two runs of a keyed sale, however the store answers."""
    assert len(asyncio.run(World().run(steps))) <= 1


class UnconditionalStore(ScheduledStore):
    """A store whose conditions are ignored, as a planted fault."""

    async def commit(self, checks=(), puts=(), deletes=()):
        """Run a transaction without its checks."""
        return await super().commit((), puts, deletes)


def test_planted_fault_is_found():
    """Guards against a schedule that could not show a second run."""
    steps = [(0, "claim"), (0, "answered"), (1, "claim"), (2, "claim"), (0, "claim")]
    steps += [(index, "answered") for index in range(20)]
    assert len(asyncio.run(World().run(steps))) == 1
    world = World()
    world.store = UnconditionalStore()
    for node in world.nodes:
        node.writer._store = world.store
    assert len(asyncio.run(world.run(steps))) > 1
