"""pimentoline.claim_writer: writes claims of idempotency keys to the store."""

import asyncio
import base64

from . import events as ev
from .effects import FinishClaim, InsertClaim, ReleaseClaim
from .errors import PimentolineError
from .headers import is_final_status
from .model import RecordedResponse

__all__ = ["ClaimWriter"]

FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 5.0
# During a store outage, writes of recorded responses and releases of claims are retried
# for this long. After that, the claim stays without a recorded response, which is safe:
# no other call with the key runs.
MAX_RETRY_TIME_S = 600.0
# Bounds the memory that pending writes take during an outage; each takes about 2 KiB
# plus up to 4 KiB of recorded body.
MAX_BACKGROUND_WRITES = 2000


class ClaimWriter:
    """Inserts, releases and completes the claims of one node.

    A claim lets at most one of the calls with an idempotency key run. In this class, an
    attempt is one call at one node, however often the node sends it to targets; its id
    is `attempt_prefix` followed by the call id. A claim has two rows:
    `claim/<service>/<key>` contains the id of the attempt that holds the key and, once
    that attempt has finished, its recorded response; `claimant/<attempt>` exists while
    that attempt holds the key and has not finished.

    Row versions of the table service begin at 1 again after a deletion, so a late or
    repeated deletion that checked only the version of the claim could delete the claim
    of another node. The attempt id in the key of the second row makes every write
    conditional on the attempt. If it is unknown whether an insertion has taken effect,
    a row `void/<attempt>` makes the insertion fail if it reaches the store later.

    `Store.commit` takes checks, writes and deletions, in this order. A check is a key
    with the version that its row must have, 0 if no row may exist; a write is a key
    with its new value. The rows `claimant/<attempt>` and `void/<attempt>` have the
    value 1.

    Parameters
    ----------
    store : Store or None
    attempt_prefix : callable
        Returns the prefix of this node's attempt ids, unique to each run of the node.
    is_waiting : callable
        Called with a call id; returns whether the call still waits for its claim.
    dispatch : callable
        Passes an event to the reducer, the function that decides about calls: it
        returns the new state and the effects to execute.
    clock : callable
        Monotonic clock, seconds.
    draw : callable
        Returns a random 64-bit integer.
    count : callable
        Increases a metrics counter, given its name.
    """

    def __init__(self, store, attempt_prefix, is_waiting, dispatch, clock, draw, count):
        self._store = store
        self._attempt_prefix = attempt_prefix
        self._is_waiting = is_waiting
        self._dispatch = dispatch
        self._clock = clock
        self._draw = draw
        self._count = count
        self._tasks = set()

    def execute(self, effect):
        """Start the store requests for a claim effect in the background."""
        key = f"claim/{effect.service}/{effect.key}"
        attempt = f"{self._attempt_prefix()}/{effect.call_id}"
        match effect:
            case InsertClaim():
                self._spawn(self._insert(effect.call_id, key, attempt))
            case ReleaseClaim():
                self._write_in_background(self._release, key, attempt)
            case FinishClaim():
                self._write_in_background(self._finish, key, attempt, effect.recorded)

    async def wait_idle(self, timeout_s):
        """Wait until the background writes have ended.

        Returns
        -------
        bool
            False if some had not ended after `timeout_s` seconds.
        """
        if not self._tasks:
            return True
        _, pending = await asyncio.wait(set(self._tasks), timeout=timeout_s)
        return not pending

    def _spawn(self, coro):
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _write_in_background(self, write, *args):
        if len(self._tasks) >= MAX_BACKGROUND_WRITES:
            self._count("claims.abandoned")
            return
        self._spawn(self._write_with_retries(write, *args))

    async def _insert(self, call_id, key, attempt):
        outcome, recorded, settled = await self._claim(key, attempt)
        if outcome is ev.ClaimOutcome.GRANTED:
            if not self._is_waiting(call_id):
                # The call has ended without its claim, so it is never sent.
                self._write_in_background(self._release, key, attempt)
        elif not settled:
            self._write_in_background(self._void, key, attempt)
        self._dispatch(
            ev.ClaimResolved(self._clock(), self._draw(), call_id, outcome, recorded)
        )

    async def _claim(self, key, attempt):
        """Return (outcome, recorded response or None, settled).

        An insertion that is not settled may have taken effect or may still do so.
        """
        if self._store is None:
            return ev.ClaimOutcome.UNAVAILABLE, None, True
        claimant, void = f"claimant/{attempt}", f"void/{attempt}"
        settled = False
        try:
            if await self._store.commit(
                [(key, 0), (claimant, 0), (void, 0)],
                [(key, {"attempt": attempt}), (claimant, 1)],
            ):
                return ev.ClaimOutcome.GRANTED, None, True
            settled = True
        except PimentolineError:
            self._count("store.failed")
        try:
            row = await self._store.get(key)
        except PimentolineError:
            self._count("store.failed")
            return ev.ClaimOutcome.UNAVAILABLE, None, settled
        if not row.version:
            # The claim was released in between, or the insertion has not taken effect.
            return ev.ClaimOutcome.UNAVAILABLE, None, settled
        value = row.value if isinstance(row.value, dict) else {}
        if value.get("attempt") == attempt:
            return ev.ClaimOutcome.GRANTED, None, True
        recorded = _recorded_response(value)
        if recorded is not None:
            return ev.ClaimOutcome.REPLAY, recorded, settled
        return ev.ClaimOutcome.HELD, None, settled

    async def _write_with_retries(self, write, *args):
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + MAX_RETRY_TIME_S
        delay_s = FIRST_RETRY_DELAY_S
        while True:
            try:
                await write(*args)
                return
            except PimentolineError:
                self._count("store.failed")
            if loop.time() + delay_s > give_up_at:
                self._count("claims.abandoned")
                return
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def _release(self, key, attempt):
        claimant = f"claimant/{attempt}"
        return await self._store.commit([(claimant, 1)], deletes=[key, claimant])

    async def _void(self, key, attempt):
        """Undo an insertion that may have taken effect, or may still do so."""
        while not await self._release(key, attempt):
            claimant, void = f"claimant/{attempt}", f"void/{attempt}"
            if await self._store.commit([(claimant, 0)], [(void, 1)]):
                return

    async def _finish(self, key, attempt, recorded):
        claimant = f"claimant/{attempt}"
        value = {
            "attempt": attempt,
            "status": recorded.status,
            "content_type": recorded.content_type,
            "body": base64.b64encode(recorded.body).decode(),
            "truncated": recorded.truncated,
        }
        await self._store.commit([(claimant, 1)], [(key, value)], [claimant])


def _recorded_response(value):
    """Return the recorded response in a claim row, or None if it has no valid one."""
    try:
        status = int(value["status"])
        if not is_final_status(status):
            return None
        return RecordedResponse(
            status,
            str(value["content_type"]),
            base64.b64decode(value["body"]),
            bool(value["truncated"]),
        )
    except (KeyError, TypeError, ValueError):
        return None
