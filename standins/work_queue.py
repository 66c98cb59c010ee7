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


class RunningJob:
    """A job that occupies a slot.

    `remaining_s` is the work that remained at `updated_at`, in seconds at full speed.
    `updated_at` is a time of the event loop, in seconds.
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
        Factors by which the service time is multiplied, by cause of the slowdown.
    total_slot_time_s : float
        Sum of the times during which ended jobs occupied a slot, seconds.
    """

    def __init__(self, slots, max_waiting=-1):
        self.slots = slots
        self.max_waiting = max_waiting
        self.slowdowns = {}
        self.total_slot_time_s = 0.0
        self._busy_slots = 0
        self._running = set()
        self._waiting = deque()

    @property
    def inflight(self):
        """Number of jobs that run or wait."""
        return self._busy_slots + len(self._waiting)

    @property
    def speed(self):
        """Speed of each running job; 1.0 is full speed."""
        return 1.0 / math.prod(self.slowdowns.values())

    def slow_down(self, cause, factor):
        """Set the slowdown factor of a cause, which also applies to running jobs.

        The factor 1 ends the slowdown.
        """
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
        started_at = loop.time()
        job = RunningJob(work_s, started_at)
        self._running.add(job)
        try:
            on_start()
            self._schedule(job)
            await job.done
        finally:
            job.timer.cancel()
            self._running.discard(job)
            self.total_slot_time_s += loop.time() - started_at
            self._release_slot()

    async def _take_slot(self):
        if self._busy_slots < self.slots:
            self._busy_slots += 1
            return
        slot_granted = asyncio.get_running_loop().create_future()
        self._waiting.append(slot_granted)
        try:
            await slot_granted
        except asyncio.CancelledError:
            if slot_granted in self._waiting:
                self._waiting.remove(slot_granted)
            elif not slot_granted.cancelled():
                # The slot was granted just before the job was cancelled.
                self._release_slot()
            raise

    def _release_slot(self):
        while self._waiting:
            slot_granted = self._waiting.popleft()
            if not slot_granted.done():
                # The slot passes to the waiting job and stays busy.
                slot_granted.set_result(None)
                return
        self._busy_slots -= 1

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
