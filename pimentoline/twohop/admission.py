"""pimentoline.twohop.admission: how many calls run at a target, and which next.

Answers overload of a target: work beyond the knee makes every call late, so what
cannot run at once waits here in order, and what cannot be in time is refused.
"""

import heapq
from dataclasses import dataclass

from .model import LoadReport

__all__ = ["Admission", "Job", "Refused"]

# Some targets slow down when the last fifth of their slots is in use.
USED_SLOTS = 0.8
# Jobs that must run before their age says something of the target.
MIN_TIMED = 3
# Weight of the newest duration in the mean.
DURATION_WEIGHT = 0.05
# Mean duration before the first answer, seconds; the work times of both users are
# near this.
FIRST_DURATION_S = 0.12
# Calls whose objective is already lost may wait up to this many times the limit.
LATE_QUEUE = 1.0
# Bounds of the time after which a refused caller should come back, seconds.
MIN_RETRY_AFTER_S = 0.02
MAX_RETRY_AFTER_S = 1.0
# A cold target takes about twice as long.
COLD_FACTOR = 2.0
# Share of the usual time that a job must still have to be started.
MIN_START_SHARE = 0.3


@dataclass(slots=True, eq=False)
class Job:
    """A call at the node of its target.

    Attributes
    ----------
    goal_at, deadline_at : float
        Monotonic times, seconds: end of the latency objective, and of all interest.
    last_resort : bool
        No other target would take it.
    """

    priority: int
    goal_at: float
    deadline_at: float
    last_resort: bool = False
    started_at: float = 0.0
    running: bool = False
    dropped: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """The job has not run here; a caller may come back after `retry_after_s`."""

    reason: str
    retry_after_s: float


class Admission:
    """Running and waiting jobs of one target.

    Parameters
    ----------
    slots : int
        Calls that the target processes at once.
    """

    def __init__(self, slots):
        self.set_slots(slots)
        self.running = 0
        self.slowness = 1.0
        self.cold_until = 0.0
        self._mean_s = FIRST_DURATION_S
        self._started_sum = 0.0
        self._timed = 0
        self._queue = []
        self._late = []
        self._order = 0

    def set_slots(self, slots):
        """Take the number of slots that the target reports."""
        self.limit = max(1, int(slots * USED_SLOTS))

    @property
    def queued(self):
        """Number of jobs that wait."""
        return sum(not entry[-1].dropped for entry in (*self._queue, *self._late))

    def duration_s(self, now):
        """Return the expected duration of a job that starts now, seconds."""
        cold = COLD_FACTOR if now < self.cold_until else 1.0
        return max(self._mean_s * cold, self._mean_age_s(now))

    def _mean_age_s(self, now):
        """Return how long what runs has been running, on average, seconds.

        A target that turns slow or hangs shows here before anything ends.
        """
        if self._timed < MIN_TIMED:
            return 0.0
        return now - self._started_sum / self._timed

    def wait_s(self, now, ahead):
        """Return the expected wait behind `ahead` jobs that also wait, seconds."""
        if self.running < self.limit and not ahead:
            return 0.0
        return (ahead + 1) * self.duration_s(now) / self.limit

    def offer(self, job, now):
        """Decide on an arriving job.

        Returns
        -------
        Refused or None
            None if the job runs or waits; `next` tells which.
        """
        duration = self.duration_s(now)
        ahead = sum(
            not other.dropped and (priority, goal) <= (job.priority, job.goal_at)
            for priority, goal, _, other in self._queue
        )
        wait = self.wait_s(now, ahead)
        if now + wait + duration <= job.goal_at or (not wait and job.last_resort):
            self._push(self._queue, job)
            return None
        if now + wait + duration * MIN_START_SHARE > job.deadline_at:
            return Refused("deadline", self._retry_after(wait))
        if not wait:
            # Free room: the objective is lost here, and perhaps not elsewhere.
            return Refused("objective", MIN_RETRY_AFTER_S)
        if not job.last_resort:
            return Refused("queue", self._retry_after(wait))
        late = sum(not entry[-1].dropped for entry in self._late)
        if late >= LATE_QUEUE * self.limit:
            return Refused("full", self._retry_after(wait))
        self._push(self._late, job)
        return None

    def _retry_after(self, wait):
        return min(max(wait, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def _push(self, queue, job):
        self._order += 1
        heapq.heappush(queue, (job.priority, job.goal_at, self._order, job))

    def next(self, now):
        """Return (job, Refused or None) that leaves the queue now, or None.

        A job with a refusal cannot be answered before its deadline any more.
        """
        for queue in (self._queue, self._late):
            while queue:
                job = queue[0][-1]
                if job.dropped:
                    heapq.heappop(queue)
                    continue
                left = job.deadline_at - now
                if left < self.duration_s(now) * MIN_START_SHARE:
                    heapq.heappop(queue)
                    wait = self.wait_s(now, len(self._queue))
                    return job, Refused("expired", self._retry_after(wait))
                if self.running >= self.limit:
                    break
                heapq.heappop(queue)
                job.running = True
                job.started_at = now
                self.running += 1
                self._timed += 1
                self._started_sum += now
                return job, None
        return None

    def drop(self, job, now):
        """Forget a job whose caller has gone, or that has ended.

        The duration of a job that has run to its end is given to `ended` instead.
        """
        if job.running:
            job.running = False
            self.running -= 1
            self._timed -= 1
            self._started_sum -= job.started_at
        job.dropped = True

    def ended(self, job, now):
        """Note that a job's answer is complete."""
        if job.running:
            taken = now - job.started_at
            self._mean_s += DURATION_WEIGHT * (taken - self._mean_s)
        self.drop(job, now)

    def clear(self):
        """Return the jobs that wait, and forget them."""
        jobs = [entry[-1] for entry in (*self._queue, *self._late)]
        self._queue.clear()
        self._late.clear()
        return [job for job in jobs if not job.dropped]

    def report(self, now, accepting):
        """Return the `LoadReport` of this moment."""
        queued = self.queued
        noise = 1.0 + 0.5 * (self.slowness - 1.0)
        duration = self.duration_s(now) * max(noise, 0.5)
        delay = duration + self.wait_s(now, queued)
        return LoadReport(
            accepting, self.running, queued, self.limit, int(delay * 1000)
        )
