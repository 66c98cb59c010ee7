"""pimentoline.twohop.admission: how many calls run at a target, and which next.

Answers overload of a target: work beyond the knee makes every call late, so what
cannot run at once waits here in order, and what cannot be in time is refused.
"""

import heapq
from dataclasses import dataclass

from .durations import DurationEstimator
from .model import COLD_START_SLOWDOWN, LoadReport
from .noise import NoiseDetector, StartDecision
from .success_rate import SuccessRate

__all__ = ["AdmissionController", "Job", "Refused"]

# Calls whose objective is already lost may wait up to this many times the limit.
LATE_QUEUE = 0.5
# They are given up after this long, seconds: jobs in time overtake them, and a caller
# that is refused early has time to come back.
LATE_HOLD_S = 0.12
# Bounds of the time after which a refused caller should come back, seconds.
MIN_RETRY_AFTER_S = 0.02
MAX_RETRY_AFTER_S = 1.0
# Part of the usual time that a job must still have to be started.
MIN_START_SHARE = 0.5
# A job that runs this many times its usual time has no answer to come.
HUNG_FACTOR = 4.0
# Jobs that must run before their age says something of the target.
MIN_AGED = 3
# What runs at a sound target is at most this many times as old as it usually takes:
# neighbours' noise makes a call take up to 5 times as long, half of that on the mean.
NOISY_AGE_RATIO = 3.0
# A held job is given back this long before its objective would be lost, seconds: a
# round trip to another region and a short wait there.
GIVE_BACK_S = 0.02


@dataclass(slots=True, eq=False)
class Job:
    """A call at the node of its target.

    Attributes
    ----------
    goal_at, deadline_at : float
        Monotonic times, seconds: end of the latency objective, and of all interest.
    last_resort : bool
        No other target would take it.
    kind : object
        Separates short calls from long ones.
    goal_s : float
        What was left of the objective when the job arrived, seconds.
    usual_s : float
        How long such a job usually takes, as known when it started, seconds.
    """

    priority: int
    goal_at: float
    deadline_at: float
    last_resort: bool = False
    kind: object = None
    started_at: float = 0.0
    began_with: int = 0
    late_until: float = 0.0
    goal_s: float | None = None
    usual_s: float = 0.0
    running: bool = False
    dropped: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """The job has not run here; a caller may come back after `retry_after_s`."""

    reason: str
    retry_after_s: float


class AdmissionController:
    """Running and waiting jobs of one target.

    Parameters
    ----------
    slots : int
        Calls that the target processes at once.
    """

    def __init__(self, slots):
        self.slots = max(1, slots)
        self.running = 0
        self.cold_start_until = 0.0
        self.noise = NoiseDetector()
        self.outcomes = SuccessRate()
        self._durations = DurationEstimator()
        self._started_sum = 0.0
        self._usual_sum = 0.0
        self._queue = []
        self._late = []
        self._order = 0
        self._cold = False

    def set_slots(self, slots):
        """Take the number of slots that the target reports."""
        self.slots = max(1, slots)

    def note_slowdown(self, slowdown, now):
        """Take the target's figure of how many times as long as usual work takes.

        It holds the slow start as well, which no waiting ends.
        """
        if now < self.cold_start_until:
            slowdown /= COLD_START_SLOWDOWN
        self.noise.note(slowdown, now)

    @property
    def limit(self):
        """Calls that may run at once."""
        return self._durations.concurrency_limit(self.slots, self._cold)

    @property
    def queued(self):
        """Number of jobs that wait."""
        return _live(self._queue) + _live(self._late)

    def _age_ratio(self, now):
        """Return how old what runs is, in parts of the time that it usually takes.

        A target that turns slow or hangs shows here before anything ends.
        """
        if self.running < MIN_AGED or self._usual_sum <= 0.0:
            return 0.0
        return (self.running * now - self._started_sum) / self._usual_sum

    def duration_s(self, now, job=None):
        """Return the expected duration of a job that starts now, seconds.

        Without a job, that of any.
        """
        ratio = self._age_ratio(now)
        return self._usual_s(now, job) * (ratio if ratio > NOISY_AGE_RATIO else 1.0)

    def _usual_s(self, now, job):
        if job is None:
            usual = self._durations.expected_s(None, now)
        else:
            usual = self._durations.expected_s(job.kind, now, job.goal_s)
        self._cold = now < self.cold_start_until
        return usual * COLD_START_SLOWDOWN if self._cold else usual

    def wait_s(self, now, ahead):
        """Return the expected wait behind `ahead` jobs that also wait, seconds."""
        rest = self.noise.rest_s(now)
        free = self.limit - self.running - ahead
        if free > 0:
            return rest
        return rest + (1 - free) * self.duration_s(now) / self.limit

    def offer(self, job, now):
        """Decide on an arriving job.

        Returns
        -------
        Refused or None
            None if the job runs or waits; `next_action` tells which.
        """
        job.goal_s = job.goal_at - now
        duration = self.duration_s(now, job)
        place = (job.priority, job.goal_at)
        ahead = sum(
            entry[:2] <= place and not entry[-1].dropped for entry in self._queue
        )
        wait = self.wait_s(now, ahead)
        if now + wait + duration <= job.goal_at:
            self._push(self._queue, job)
            return None
        if not job.last_resort:
            return Refused("objective", self._retry_after(wait))
        wait = self.wait_s(now, self.queued)
        if now + wait + duration > job.deadline_at:
            return Refused("deadline", self._retry_after(wait))
        if _live(self._late) >= max(1, LATE_QUEUE * self.limit):
            return Refused("full", self._retry_after(wait))
        job.late_until = now + LATE_HOLD_S
        self._push(self._late, job)
        return None

    def _retry_after(self, wait):
        return min(max(wait, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def _push(self, queue, job):
        self._order += 1
        heapq.heappush(queue, (job.priority, job.goal_at, self._order, job))

    def next_action(self, now):
        """Return what happens to the first waiting job.

        Returns
        -------
        tuple of (Job, Refused or None) or StartDecision
            A job that starts, or with a refusal one that leaves the queue, since it
            cannot be answered in time here any more. Otherwise `START` if nothing
            can be done now, `PROBE` if the target must be asked for its figure first,
            or `HOLD` while it is noisy.
        """
        self._clean(self._queue)
        self._clean(self._late)
        for queue, late in ((self._queue, False), (self._late, True)):
            if not queue:
                continue
            job = queue[0][-1]
            found = self._given_back(job, now, late)
            if found is not None:
                heapq.heappop(queue)
                return job, found
        queue = self._queue or self._late
        if not queue or self.running >= self.limit:
            return StartDecision.START
        gate = self.noise.decide(now)
        if gate is not StartDecision.START:
            return gate
        job = heapq.heappop(queue)[-1]
        job.running = True
        job.started_at = now
        self.running += 1
        job.began_with = self.running
        job.usual_s = self._usual_s(now, job)
        self._started_sum += now
        self._usual_sum += job.usual_s
        return job, None

    def _given_back(self, job, now, late):
        duration = self.duration_s(now, job)
        until = job.deadline_at - duration * MIN_START_SHARE
        if late:
            until = min(until, job.late_until)
        if now > until:
            return Refused("expired", self._retry_after(self.wait_s(now, 0)))
        if late or job.last_resort:
            return None
        blocked = self.running >= self.limit or self.noise.is_noisy(now)
        if blocked and now + duration + GIVE_BACK_S > job.goal_at:
            # Another target may still be in time.
            return Refused("objective", self._retry_after(self.wait_s(now, 0)))
        return None

    def _clean(self, queue):
        while queue and queue[0][-1].dropped:
            heapq.heappop(queue)

    def caller_left(self, job, now):
        """Note that a job's caller has gone while it ran.

        A job that took far longer than usual counts as one without an answer.
        """
        if job.running:
            if now - job.started_at > HUNG_FACTOR * job.usual_s:
                self.outcomes.note(False, now)

    def remove(self, job):
        """Forget a job whose caller has gone, or that has ended."""
        if job.running:
            job.running = False
            self.running -= 1
            self._started_sum -= job.started_at
            self._usual_sum -= job.usual_s
        job.dropped = True

    def complete(self, job, now):
        """Note that a job's answer is complete, and how long it took."""
        if job.running and now >= self.cold_start_until:
            taken = now - job.started_at
            self._durations.note(job.kind, taken, job.began_with, self.slots, now)
        self.remove(job)

    def take_waiting(self):
        """Return the jobs that wait, and forget them."""
        jobs = [entry[-1] for entry in (*self._queue, *self._late)]
        self._queue.clear()
        self._late.clear()
        return [job for job in jobs if not job.dropped]

    def report(self, now, accepting):
        """Return the `LoadReport` of this moment."""
        queued = self.queued
        rest = self.noise.rest_s(now)
        delay = self.duration_s(now) + self.wait_s(now, queued) - rest
        cold_s = max(0.0, self.cold_start_until - now)
        if cold_s:
            # Whoever reads this later must not take the slow start for the usual.
            delay /= COLD_START_SLOWDOWN
        return LoadReport(
            accepting,
            self.running,
            queued,
            self.limit,
            int(delay * 1000),
            int(rest * 1000),
            self.outcomes.rate(now),
            int(cold_s * 1000),
        )


def _live(queue):
    return sum(not entry[-1].dropped for entry in queue)
