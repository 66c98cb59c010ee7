"""Model of a target and its performance.

It covers slots and a queue, slowdown at high load, noisy neighbours, cold starts and
calls that the target itself makes.
"""

import asyncio
import math
from dataclasses import dataclass

__all__ = ["CallKind", "RequestResult", "TargetModel", "TargetTraits"]


@dataclass(frozen=True, slots=True)
class CallKind:
    """Properties of one kind of call.

    Attributes
    ----------
    per_s : float
        Calls per second from all callers; 0 if only targets make such calls.
    goal_s, deadline_s, work_s : float
        Latency objective, deadline and mean processing time, seconds.
    worth, late_worth : float
        Credit for a response within the latency objective, and for a later one that
        meets the deadline.
    priority : int
        0 is the most urgent.
    repeatable : bool
        Whether it may be retried after an attempt that may have run.
    sent_bytes, answer_bytes : int
        Sizes of the request body and of the response body.
    calls : int
        Number of calls that the target itself makes for one request.
    calls_kind : str
        Name of the kind of these calls.
    calls_share : float
        Share of the requests for which the target makes them.
    """

    name: str
    service: str
    per_s: float
    goal_s: float
    deadline_s: float
    work_s: float
    worth: float
    late_worth: float
    priority: int
    repeatable: bool
    sent_bytes: int = 0
    answer_bytes: int = 400
    calls_kind: str = ""
    calls: int = 0
    calls_share: float = 0.0


@dataclass(frozen=True, slots=True)
class TargetTraits:
    """Properties of all targets of a deployment; times are in seconds.

    Attributes
    ----------
    slots, queue : int
        Maximum numbers of requests that run at once and that wait.
    noise_share, noise_factor, noise_s : float
        In a share `noise_share` of all periods of length `noise_s`, requests that start
        take `noise_factor` times as long, because of other load on the host.
    knee, knee_factor : float
        While more than the share `knee` of the slots is in use, requests that start
        take `knee_factor` times as long.
    cold_s, cold_factor : float
        For `cold_s` after a restart, requests that start take `cold_factor` times as
        long.
    spread : float
        Standard deviation of the logarithm of the log-normal processing time.
    """

    slots: int
    queue: int
    noise_share: float
    noise_factor: float
    noise_s: float = 0.15
    knee: float = 1.0
    knee_factor: float = 1.0
    cold_s: float = 3.0
    cold_factor: float = 2.0
    spread: float = 0.3


@dataclass(frozen=True, slots=True)
class RequestResult:
    """HTTP status of the response to a request, and whether the request was not run."""

    status: int
    not_run: bool = False


class TargetModel:
    """A model of one target.

    Parameters
    ----------
    traits : TargetTraits
    rng : random.Random
    call : callable
        `await call(kind_name, remaining_s)` makes a call for the target and returns
        its HTTP status.

    Attributes
    ----------
    name, born_ms : str, int
        Id and start time in milliseconds of the target. Both change at a restart; the
        start time is 1 at first and grows by 1, which suffices to order the targets.
    running : int
        Number of requests that run.
    up : bool
        Whether the target runs.
    slow_factor : float
        Factor on the processing time, set by a fault.
    error_share : float
        Share of the requests that fail, set by a fault.
    """

    def __init__(self, traits, rng, call):
        self.traits = traits
        self.name = "target-0"
        self.born_ms = 1
        self.running = 0
        self.slow_factor = 1.0
        self.error_share = 0.0
        self.up = True
        self._rng = rng
        self._call = call
        self._waiting = 0
        self._slot_freed = asyncio.Condition()
        self._cold_until = 0.0
        self._noise_factor = 1.0
        self._noise_until = 0.0

    def restart(self, down_s):
        """Go down, lose all state and start as a new, cold target after `down_s`."""
        self.up = False
        self.born_ms += 1
        self.name = f"target-{self.born_ms}"
        asyncio.get_running_loop().call_later(down_s, self._finish_restart)

    def _finish_restart(self):
        self.up = True
        self.running = self._waiting = 0
        self._slot_freed = asyncio.Condition()
        self._cold_until = _now() + self.traits.cold_s

    def remaining_cold_s(self):
        """Return the remaining time of the cold start, seconds."""
        return max(0.0, self._cold_until - _now())

    def slowdown(self):
        """Return the factor on the processing time of requests that start now."""
        now = _now()
        while self._noise_until <= now:
            is_noisy = self._rng.random() < self.traits.noise_share
            self._noise_factor = self.traits.noise_factor if is_noisy else 1.0
            # After a longer idle time, skips the periods before the last second.
            self._noise_until = max(self._noise_until, now - 1.0) + self.traits.noise_s
        cold_factor = self.traits.cold_factor if self.remaining_cold_s() else 1.0
        return self._noise_factor * cold_factor * self.slow_factor

    def load_header(self):
        """Return the load header: running, waiting, slots and slowdown in percent."""
        percent = int(self.slowdown() * 100)
        return f"{self.running},{self._waiting},{self.traits.slots},{percent}"

    async def serve(self, kind, remaining_s):
        """Run a request and return its `RequestResult`.

        Parameters
        ----------
        kind : CallKind
        remaining_s : float
            Time until the deadline of the request, seconds.
        """
        if self.running >= self.traits.slots:
            if self._waiting >= self.traits.queue:
                return RequestResult(503, True)
            self._waiting += 1
            slot_freed = self._slot_freed
            try:
                async with slot_freed:
                    await slot_freed.wait_for(lambda: self.running < self.traits.slots)
            finally:
                self._waiting -= 1
        self.running += 1
        slot_freed = self._slot_freed
        try:
            return await self._run(kind, remaining_s)
        finally:
            # After a restart the counters are those of the new target.
            if slot_freed is self._slot_freed:
                self.running -= 1
                async with slot_freed:
                    slot_freed.notify()

    async def _run(self, kind, remaining_s):
        if self._rng.random() < self.error_share:
            await asyncio.sleep(kind.work_s * 0.1)
            return RequestResult(500)
        traits = self.traits
        sigma = traits.spread
        work_s = kind.work_s * self._rng.lognormvariate(-sigma * sigma / 2, sigma)
        work_s *= self.slowdown()
        if self.running > math.floor(traits.slots * traits.knee):
            work_s *= traits.knee_factor
        calls = []
        if kind.calls and self._rng.random() < kind.calls_share:
            calls = [
                self._call(kind.calls_kind, remaining_s) for _ in range(kind.calls)
            ]
        statuses = await asyncio.gather(*calls, _do_work(work_s))
        return RequestResult(200 if all(status == 200 for status in statuses) else 500)


async def _do_work(work_s):
    """Wait for `work_s` seconds and return 200, like a successful call."""
    await asyncio.sleep(work_s)
    return 200


def _now():
    return asyncio.get_running_loop().time()
