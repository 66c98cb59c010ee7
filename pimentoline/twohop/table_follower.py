"""pimentoline.twohop.table_follower: reads a table of the store and its changes."""

import asyncio
import random

from ..errors import StoreEraChangedError, StoreError, StoreHistoryExpiredError
from ..logs import log_entry

__all__ = ["MAX_PAUSE_S", "TableFollower"]

# Pause after a failed request, seconds. Once the store is reachable again, the row of
# each node must be back in it within 2 s.
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 1.2


class TableFollower:
    """Reads all rows of a table, then its changes as they occur.

    All rows are read again if changes may have been missed: if the store no longer has
    the history of changes, has changed its era, or was away and does not name its era.

    Parameters
    ----------
    store : object
        As in `StoreSync`.
    table : str
    get_wait_s : callable
        `get_wait_s(restarted)` returns how long to wait for a change, seconds;
        `restarted` tells whether the previous read did not wait until its end.
    apply : callable
        `apply(rows, complete)` is called with the rows of each read, maybe none;
        `complete` tells whether they are all rows of the table.
    note_reachable : callable
        `note_reachable(reachable, detail)` is called after each read.
    on_new_era : callable
        Called without arguments when the store has changed its era.
    batch_delay_s : float
        Changes within this time are read with one request. In a new era, the rows are
        read after a random part of this time, since all nodes notice it at once.
    """

    def __init__(
        self,
        store,
        table,
        get_wait_s,
        apply,
        note_reachable,
        on_new_era=lambda: None,
        batch_delay_s=0.0,
    ):
        self._store = store
        self._table = table
        self._get_wait_s = get_wait_s
        self._apply = apply
        self._note_reachable = note_reachable
        self._on_new_era = on_new_era
        self._batch_delay_s = batch_delay_s
        self._random = random.Random()
        # Version after which to read changes; None to read all rows.
        self._after = None
        self._restarted = True
        # Whether the previous read got no response. A response names the era, so the
        # next one must not be delayed by a wait.
        self._failed = False
        # Time-out of the current wait for a change, None while there is none.
        self._wait_timer = None
        # Time of the event loop at which the store ends the wait, seconds.
        self._wait_ends_at = 0.0
        # Whether `end_wait` ended the previous wait, so that the next one is left out.
        self._wait_ended = False
        # Whether all rows were read last, and not the changes.
        self._rows_read = False
        self._pause_s = MIN_PAUSE_S

    async def run(self):
        """Follow the table until the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            began_at = loop.time()
            try:
                if self._after is None:
                    await self._read_all()
                elif not await self._read_changes():
                    continue
                self._note_reachable(True, "")
                self._failed = False
                self._pause_s = MIN_PAUSE_S
            except StoreHistoryExpiredError as exc:
                self._log_failed_read(began_at, exc)
                await self._start_anew(exc)
            except StoreError as exc:
                self._log_failed_read(began_at, exc)
                self._note_reachable(False, exc.detail)
                self._failed = True
                if self._after is not None and self._after.era is None:
                    self._after = None
                await self._pause()
            except Exception as exc:
                # A table that is no longer followed would stay as it is until the
                # process ends.
                log_entry(
                    "store:follow-error", table=self._table, detail=f"{exc!r:.120}"
                )
                self._after = None
                await self._pause()

    async def _read_all(self):
        rows, self._after = await self._store.read_all(self._table)
        self._rows_read = True
        log_entry(
            "store:table-read",
            table=self._table,
            era=self._after.era,
            version=self._after.number,
            rows=len(rows),
        )
        self._apply(rows, True)

    def end_wait(self):
        """End the current wait for a change, and read the changes at once.

        Returns
        -------
        bool
            Whether a wait was ended. If there was none, or the store has already ended
            it, a response or the next read follows by itself.
        """
        now = asyncio.get_running_loop().time()
        if self._wait_timer is None or now >= self._wait_ends_at:
            return False
        self._wait_timer.reschedule(now)
        self._wait_timer = None
        return True

    async def _read_changes(self):
        """Read the changes; return whether this was done, and not ended early."""
        if self._failed or self._wait_ended:
            wait_s = 0.0
        else:
            wait_s = self._get_wait_s(self._restarted)
        # A failed read leaves this at True.
        self._restarted = True
        timer = asyncio.timeout(None)
        try:
            async with timer:
                if wait_s:
                    self._wait_timer = timer
                    now = asyncio.get_running_loop().time()
                    self._wait_ends_at = now + wait_s
                rows, self._after = await self._store.read_changes(
                    self._table, self._after, wait_s
                )
        except TimeoutError:
            if not timer.expired():
                raise
            self._restarted, self._wait_ended = False, True
            return False
        finally:
            self._wait_timer = None
        self._restarted, self._rows_read = self._failed or bool(rows), False
        self._wait_ended = False
        self._apply(rows, False)
        if rows:
            await asyncio.sleep(self._batch_delay_s)
        return True

    async def _start_anew(self, exc):
        """Prepare to read all rows again after a `StoreHistoryExpiredError`."""
        self._after = None
        if isinstance(exc, StoreEraChangedError):
            self._on_new_era()
            await asyncio.sleep(self._random.uniform(0.0, self._batch_delay_s))
        if self._rows_read:
            # The rows were already older than the history of changes.
            await asyncio.sleep(MIN_PAUSE_S)

    async def _pause(self):
        await asyncio.sleep(self._pause_s * self._random.uniform(0.7, 1.0))
        self._pause_s = min(self._pause_s * 2, MAX_PAUSE_S)

    def _log_failed_read(self, began_at, exc):
        """Log a failed read of a table, or of its changes if a version is known.

        The time shows whether the store refused the read or never responded.
        """
        log_entry(
            "store:read-failed",
            table=self._table,
            after=None if self._after is None else self._after.number,
            waited_s=round(asyncio.get_running_loop().time() - began_at, 3),
            code=exc.code,
            detail=exc.detail[:120],
        )
