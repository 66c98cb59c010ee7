"""Work of a stand-in target: slots, a bounded queue and a speed that may change."""

import asyncio
import math
import random
from collections import deque


class Overloaded(Exception):
    """The queue is full; the request was not run."""


def service_times(mean_s, sigma, seed):
    """Return a source of log-normal service times with the given mean, seconds."""
    rng = random.Random(seed)
    mu = math.log(mean_s) - sigma * sigma / 2.0
    return lambda: rng.lognormvariate(mu, sigma)


class Job:
    """A request in a slot; `left_s` is its work left at full speed."""

    def __init__(self, work_s, now):
        self.left_s = work_s
        self.at = now
        self.done = asyncio.get_running_loop().create_future()
        self.timer = None


class WorkQueue:
    """Runs jobs in a number of slots, first come first served.

    Parameters
    ----------
    slots : int
        Jobs that run at once.
    queue : int
        Jobs that may wait; unlimited if negative.
    """

    def __init__(self, slots, queue=-1):
        self.slots = slots
        self.queue = queue
        self.factors = {}
        self.work_s = 0.0
        self._busy = 0
        self._running = set()
        self._waiting = deque()

    @property
    def inflight(self):
        """Jobs that run or wait."""
        return self._busy + len(self._waiting)

    @property
    def speed(self):
        """Work done in one second by each job."""
        return 1.0 / math.prod(self.factors.values())

    def slow_down(self, cause, factor):
        """Slow the work by a factor, which applies to running jobs as well."""
        now = asyncio.get_running_loop().time()
        speed = self.speed
        for job in self._running:
            job.left_s -= (now - job.at) * speed
            job.at = now
        self.factors[cause] = factor
        for job in self._running:
            self._schedule(job)

    async def run(self, work_s, on_start):
        """Wait for a slot, call `on_start` and do the work.

        Raises
        ------
        Overloaded
            If the queue is full.
        """
        if self.inflight >= self.slots and 0 <= self.queue <= len(self._waiting):
            raise Overloaded()
        await self._take_slot()
        loop = asyncio.get_running_loop()
        started = loop.time()
        job = Job(work_s, started)
        self._running.add(job)
        try:
            on_start()
            self._schedule(job)
            await job.done
        finally:
            job.timer.cancel()
            self._running.discard(job)
            self.work_s += loop.time() - started
            self._release_slot()

    async def _take_slot(self):
        if self._busy < self.slots:
            self._busy += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self._waiting:
                self._waiting.remove(turn)
            elif not turn.cancelled():
                self._release_slot()
            raise

    def _release_slot(self):
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                # The slot passes to the waiting job and stays busy.
                turn.set_result(None)
                return
        self._busy -= 1

    def _schedule(self, job):
        if job.timer is not None:
            job.timer.cancel()
        loop = asyncio.get_running_loop()
        delay_s = max(job.left_s, 0.0) / self.speed
        job.timer = loop.call_later(delay_s, self._finish, job)

    @staticmethod
    def _finish(job):
        if not job.done.done():
            job.done.set_result(None)


async def make_noise(work, seed, every_s, min_s, max_s, factor):
    """Slow the work by `factor` for `min_s` to `max_s`, about every `every_s`."""
    rng = random.Random(seed)
    try:
        while True:
            await asyncio.sleep(rng.expovariate(1.0 / every_s))
            work.slow_down("noise", factor)
            await asyncio.sleep(rng.uniform(min_s, max_s))
            work.slow_down("noise", 1.0)
    finally:
        work.slow_down("noise", 1.0)
