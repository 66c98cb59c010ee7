"""Tests of claims when store responses are lost and writes take effect late."""

import asyncio
from dataclasses import replace

import pytest

from pimentoline import events as ev
from pimentoline.claim_writer import ClaimWriter
from pimentoline.effects import FinishClaim, InsertClaim, ReleaseClaim
from pimentoline.errors import StoreUnavailableError
from pimentoline.model import RecordedResponse
from pimentoline.store import Row
from standins.table import Table

ROW_KEY = "claim/hive-ledger/k"
RESPONSE = RecordedResponse(200, "text/plain", b"sold")


class FaultyStore:
    """A store client that delays transactions or loses their responses.

    `faults` holds a value for each of the next transactions: `lose` (takes effect, its
    response is lost), `hold` (takes effect at `deliver`, its response is lost) or None.
    """

    def __init__(self, table, faults=()):
        self.table = table
        self.faults = list(faults)
        self.delayed = []

    async def commit(self, checks=(), puts=(), deletes=()):
        txn = {
            "checks": [{"key": key, "version": ver} for key, ver in checks],
            "puts": [{"key": key, "value": value} for key, value in puts],
            "deletes": list(deletes),
        }
        fault = self.faults.pop(0) if self.faults else None
        if fault == "hold":
            self.delayed.append(txn)
            raise StoreUnavailableError("held")
        committed = self.table.run_transaction(txn)["ok"]
        if fault == "lose":
            raise StoreUnavailableError("lost")
        return committed

    async def get(self, key):
        return Row(**self.table.row(key))

    def deliver(self):
        """Run the delayed transactions."""
        for txn in self.delayed:
            self.table.run_transaction(txn)


class RecordingWriter:
    """Runs a `ClaimWriter` and records the events that it dispatches.

    `attempt_prefix` begins the attempt ids: a node id and an incarnation. `is_waiting`
    tells whether the calls still wait for their claims.
    """

    def __init__(self, attempt_prefix, store, is_waiting=True):
        self.events = []
        self.claim_writer = ClaimWriter(
            store,
            lambda: attempt_prefix,
            lambda call_id: is_waiting,
            self.events.append,
            lambda: 0.0,
            lambda: 0,
            lambda metric: None,
        )

    async def run(self, effect):
        """Execute an effect, wait for its writes and return the claim outcome."""
        self.claim_writer.execute(effect)
        assert await self.claim_writer.wait_idle(5.0)
        return self.events.pop().outcome if self.events else None


def insert(call_id=1):
    return InsertClaim(call_id, "hive-ledger", "k")


def release(call_id=1):
    return ReleaseClaim(call_id, "hive-ledger", "k")


def test_late_insertion_for_a_rejected_call_has_no_effect():
    """Guards against a claim that a rejected call holds for ever.

    The insertion seems to fail, so the caller gets the verdict `not-run`. If it took
    effect later, no call would be left to release the claim.
    """

    async def scenario():
        table = Table()
        store = FaultyStore(table, ["hold"])
        outcome = await RecordingWriter("n1/1", store).run(insert())
        assert outcome is ev.ClaimOutcome.UNAVAILABLE
        store.deliver()
        assert ROW_KEY not in table.rows
        assert (
            await RecordingWriter("n2/1", store).run(insert())
            is ev.ClaimOutcome.GRANTED
        )

    asyncio.run(scenario())


def test_late_release_does_not_delete_the_claim_of_another_node():
    """Guards against a call that runs twice because another node's claim is deleted.

    Row versions begin at 1 again after a deletion, so they do not tell claims apart.
    """

    async def scenario():
        table = Table()
        store = FaultyStore(table, [None, "hold", None])
        first, second = RecordingWriter("n1/1", store), RecordingWriter("n2/1", store)
        assert await first.run(insert()) is ev.ClaimOutcome.GRANTED
        # The first release is delayed; its retry takes effect.
        await first.run(release())
        assert await second.run(insert()) is ev.ClaimOutcome.GRANTED
        store.deliver()
        # The late release has left the second node's claim in place.
        assert await first.run(insert(2)) is ev.ClaimOutcome.HELD

    asyncio.run(scenario())


def test_claim_of_a_call_that_has_ended_is_released():
    """Guards against a claim held by a call whose deadline passed during insertion."""

    async def scenario():
        table = Table()
        store = FaultyStore(table, ["lose", "lose"])
        ended = RecordingWriter("n1/1", store, is_waiting=False)
        assert await ended.run(insert()) is ev.ClaimOutcome.GRANTED
        assert ROW_KEY not in table.rows

    asyncio.run(scenario())


def test_lost_store_response_does_not_affect_the_recorded_response():
    """Guards against a call's response that is recorded twice or not at all."""

    async def scenario():
        table = Table()
        store = FaultyStore(table, [None, "lose"])
        writer = RecordingWriter("n1/1", store)
        await writer.run(insert())
        await writer.run(FinishClaim(1, "hive-ledger", "k", RESPONSE))
        # Version 1 is the insertion, version 2 the only write of the response.
        assert table.rows[ROW_KEY][0] == 2
        writer = RecordingWriter("n2/1", store)
        writer.claim_writer.execute(insert())
        assert await writer.claim_writer.wait_idle(5.0)
        assert writer.events[0].recorded == RESPONSE

    asyncio.run(scenario())


@pytest.mark.parametrize("status", [0, 99, 100, 600, -200])
def test_recorded_status_out_of_range_is_not_replayed(status):
    """Guards against a recorded response that is no HTTP and reaches a caller."""

    async def scenario():
        store = FaultyStore(Table())
        writer = RecordingWriter("n1/1", store)
        await writer.run(insert())
        recorded = replace(RESPONSE, status=status)
        await writer.run(FinishClaim(1, "hive-ledger", "k", recorded))
        outcome = await RecordingWriter("n2/1", store).run(insert())
        assert outcome is ev.ClaimOutcome.HELD

    asyncio.run(scenario())
