"""Simulated work of a target: slots, a bounded queue and a variable speed."""

import asyncio
import math
import random
from collections import deque


class Overloaded(Exception):
    """Raised for a request that did not run because the queue is full."""


def service_time_sampler(mean_s, sigma, seed):
    """Return a function that draws log-normal service times, in seconds.

    `mean_s` is the mean of the service times, `sigma` the standard deviation of their
    logarithm.
    """
    rng = random.Random(seed)
    mu = math.log(mean_s) - sigma * sigma / 2.0
    return lambda: rng.lognormvariate(mu, sigma)


class Job:
    """A request that occupies a slot.

    `remaining_s` is the time that the rest of its work takes at full speed, as of the
    time `updated_at`.
    """

    def __init__(self, work_s, now):
        self.remaining_s = work_s
        self.updated_at = now
        self.done = asyncio.get_running_loop().create_future()
        self.timer = None


class WorkQueue:
    """Runs jobs in a number of slots, first come, first served.

    Parameters
    ----------
    slots : int
        Maximum number of jobs that run at once.
    max_waiting : int
        Maximum number of jobs that wait; unlimited if negative.

    Attributes
    ----------
    slowdowns : dict
        Factor on the service time, by its cause.
    slot_time_s : float
        Total time for which jobs that have ended occupied their slots, seconds.
    """

    def __init__(self, slots, max_waiting=-1):
        self.slots = slots
        self.max_waiting = max_waiting
        self.slowdowns = {}
        self.slot_time_s = 0.0
        self._busy = 0
        self._running = set()
        self._waiting = deque()

    @property
    def inflight(self):
        """Number of jobs that run or wait."""
        return self._busy + len(self._waiting)

    @property
    def speed(self):
        """Seconds of work at full speed that each job does in one second."""
        return 1.0 / math.prod(self.slowdowns.values())

    def slow_down(self, cause, factor):
        """Set the slowdown of a cause, for running jobs as well; 1 ends it."""
        now = asyncio.get_running_loop().time()
        speed = self.speed
        for job in self._running:
            job.remaining_s -= (now - job.updated_at) * speed
            job.updated_at = now
        self.slowdowns[cause] = factor
        for job in self._running:
            self._schedule(job)

    async def run(self, work_s, on_start):
        """Wait for a slot, call `on_start` and occupy the slot until the work is done.

        Parameters
        ----------
        work_s : float
            Duration of the work at full speed, seconds.
        on_start : callable
            Called when the work starts.

        Raises
        ------
        Overloaded
            If the queue is full.
        """
        if self.inflight >= self.slots and 0 <= self.max_waiting <= len(self._waiting):
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
            self.slot_time_s += loop.time() - started
            self._release_slot()

    async def _take_slot(self):
        if self._busy < self.slots:
            self._busy += 1
            return
        slot_granted = asyncio.get_running_loop().create_future()
        self._waiting.append(slot_granted)
        try:
            await slot_granted
        except asyncio.CancelledError:
            if slot_granted in self._waiting:
                self._waiting.remove(slot_granted)
            elif not slot_granted.cancelled():
                self._release_slot()
            raise

    def _release_slot(self):
        while self._waiting:
            slot_granted = self._waiting.popleft()
            if not slot_granted.done():
                # The slot passes to the waiting job and stays busy.
                slot_granted.set_result(None)
                return
        self._busy -= 1

    def _schedule(self, job):
        if job.timer is not None:
            job.timer.cancel()
        loop = asyncio.get_running_loop()
        delay_s = max(job.remaining_s, 0.0) / self.speed
        job.timer = loop.call_later(delay_s, self._finish, job)

    @staticmethod
    def _finish(job):
        if not job.done.done():
            job.done.set_result(None)


async def simulate_noisy_neighbour(work_queue, seed, every_s, min_s, max_s, factor):
    """Slow down a `WorkQueue` at random times, as other load on the host does.

    Each slowdown by `factor` lasts `min_s` to `max_s`. The time between two slowdowns
    is exponentially distributed with the mean `every_s`.
    """
    rng = random.Random(seed)
    try:
        while True:
            await asyncio.sleep(rng.expovariate(1.0 / every_s))
            work_queue.slow_down("noise", factor)
            await asyncio.sleep(rng.uniform(min_s, max_s))
            work_queue.slow_down("noise", 1.0)
    finally:
        work_queue.slow_down("noise", 1.0)
