"""Model of a target: slots, a queue, a knee, noise, a cold start, calls of its own."""

import asyncio
import math
from dataclasses import dataclass

__all__ = ["Kind", "Ran", "TargetModel", "TargetTraits"]


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of call.

    Attributes
    ----------
    goal_s, deadline_s, work_s : float
        Latency objective, deadline and mean work, seconds.
    worth, late_worth : float
        Credit for an answer in time, and for a later one.
    calls : int
        Calls of kind `calls_kind` that a share `calls_share` of the runs makes.
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
    """What all targets of a deployment are like; times in seconds.

    `noise_share` of the time, in stretches of `noise_s`, work that begins takes
    `noise_factor` times as long. Beyond `knee` of its slots it takes `knee_factor`
    times as long. After a start it takes `cold_factor` times as long for `cold_s`.
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
class Ran:
    """How a request ended at a target: status, and whether it was not run."""

    status: int
    not_run: bool = False


class TargetModel:
    """One target.

    Parameters
    ----------
    traits : TargetTraits
    rng : random.Random
    call : callable
        `await call(kind_name, deadline_s)` makes a call of the target's own and
        returns its status.
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
        self._free = asyncio.Condition()
        self._cold_until = 0.0
        self._noise_factor = 1.0
        self._noise_until = 0.0

    def restart(self, down_s):
        """Lose everything; be up again as a new target after `down_s`."""
        self.up = False
        self.born_ms += 1
        self.name = f"target-{self.born_ms}"
        asyncio.get_running_loop().call_later(down_s, self._started)

    def _started(self):
        self.up = True
        self.running = self._waiting = 0
        self._free = asyncio.Condition()
        self._cold_until = _now() + self.traits.cold_s

    def cold_s(self):
        """Return how much longer the target is cold, seconds."""
        return max(0.0, self._cold_until - _now())

    def slowness(self):
        """Return how many times as long as usual work takes that begins now."""
        now = _now()
        while self._noise_until <= now:
            noisy = self._rng.random() < self.traits.noise_share
            self._noise_factor = self.traits.noise_factor if noisy else 1.0
            self._noise_until = max(self._noise_until, now - 1.0) + self.traits.noise_s
        cold = self.traits.cold_factor if self.cold_s() else 1.0
        return self._noise_factor * cold * self.slow_factor

    def load_header(self):
        """Return running, waiting, slots and percent, as on the wire."""
        percent = int(self.slowness() * 100)
        return f"{self.running},{self._waiting},{self.traits.slots},{percent}"

    async def serve(self, kind, remaining_s):
        """Run a request of a kind; return `Ran`."""
        if self.running >= self.traits.slots:
            if self._waiting >= self.traits.queue:
                return Ran(503, True)
            self._waiting += 1
            free = self._free
            try:
                async with free:
                    await free.wait_for(lambda: self.running < self.traits.slots)
            finally:
                self._waiting -= 1
        self.running += 1
        free = self._free
        try:
            return await self._run(kind, remaining_s)
        finally:
            if free is self._free:
                self.running -= 1
                async with free:
                    free.notify()

    async def _run(self, kind, remaining_s):
        if self._rng.random() < self.error_share:
            await asyncio.sleep(kind.work_s * 0.1)
            return Ran(500)
        traits = self.traits
        sigma = traits.spread
        work_s = kind.work_s * self._rng.lognormvariate(-sigma * sigma / 2, sigma)
        work_s *= self.slowness()
        if self.running > math.floor(traits.slots * traits.knee):
            work_s *= traits.knee_factor
        calls = []
        if kind.calls and self._rng.random() < kind.calls_share:
            calls = [
                self._call(kind.calls_kind, remaining_s) for _ in range(kind.calls)
            ]
        statuses = await asyncio.gather(*calls, _work(work_s))
        return Ran(200 if all(status == 200 for status in statuses) else 500)


async def _work(work_s):
    await asyncio.sleep(work_s)
    return 200


def _now():
    return asyncio.get_running_loop().time()
