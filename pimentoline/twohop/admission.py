"""pimentoline.twohop.admission: admission control for the calls to one target.

Protects the target from overload. Above a certain concurrency every call at a target
misses its latency objective, so calls beyond that limit wait in a queue here, and
calls that cannot complete in time are refused.

A job is a call as seen by its target's node. It is late if its response is expected
after the latency objective of the call but before its deadline.

Noise means that other programs on the host slow the target down for a short time. A
call that starts during noise is slow until its end, so jobs wait until the noise ends.
"""

import heapq
from dataclasses import dataclass

from .durations import DurationEstimator
from .model import COLD_START_SLOWDOWN, LoadReport
from .noise import NoiseDetector, StartDecision
from .rate_limit import RateLimit
from .success_rate import SuccessRate

__all__ = ["AdmissionController", "Job", "Refused"]

# Size of the queue of late jobs, as a share of the concurrency limit.
LATE_QUEUE_SHARE = 0.5
# Longest wait in the queue of late jobs, seconds. Jobs that can meet their objective
# run first, and a caller that is refused early still has time to retry.
MAX_LATE_WAIT_S = 0.12
# Bounds of `Refused.retry_after_s`, seconds.
MIN_RETRY_AFTER_S = 0.02
MAX_RETRY_AFTER_S = 1.0
# A job is started only if this share of its expected duration remains until its
# deadline.
MIN_START_SHARE = 0.5
# A job that has run for this many times its typical duration is taken to be hung.
HUNG_FACTOR = 4.0
# Smallest number of running jobs whose mean age is significant.
MIN_RUNNING_FOR_AGE_RATIO = 3
# Largest ratio of the age of the running jobs to their typical duration at a healthy
# target. Noisy neighbours make a call take up to 5 times as long, and running calls
# are halfway through on average.
MAX_HEALTHY_AGE_RATIO = 3.0
# A job that cannot start is refused this long before it would miss its objective,
# seconds, so that another target can still meet it: a round trip to another region
# and a short wait there.
RETRY_ELSEWHERE_S = 0.02


@dataclass(slots=True, eq=False)
class Job:
    """A call at the node of its target.

    Attributes
    ----------
    priority : int
        0 is the most urgent.
    objective_at, deadline_at : float
        When the latency objective is missed and when the caller stops waiting,
        monotonic time in seconds.
    last_resort : bool
        Whether no other target would accept the call.
    kind : object
        Separates calls of different durations; a key of `DurationEstimator`.
    started_at : float
        When the job started, monotonic time in seconds.
    running_at_start : int
        Number of running jobs when this one started, itself included.
    late_wait_until : float
        When the job is refused if it is still in the queue of late jobs, monotonic
        time in seconds.
    objective_s : float or None
        Time from the arrival of the job to `objective_at`, seconds; None until the job
        is offered to `AdmissionController`.
    typical_s : float
        Typical duration of such a job, as estimated when it started, seconds.
    running : bool
        Whether the job has started and not ended.
    removed : bool
        Whether the job has ended or was cancelled. A queue may still contain it.
    """

    priority: int
    objective_at: float
    deadline_at: float
    last_resort: bool = False
    kind: object = None
    started_at: float = 0.0
    running_at_start: int = 0
    late_wait_until: float = 0.0
    objective_s: float | None = None
    typical_s: float = 0.0
    running: bool = False
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """Refusal of a job that was not run.

    Attributes
    ----------
    reason : str
        "objective" or "deadline" (expected to be missed), "full" (the queue of late
        jobs) or "expired" (the job has waited too long to be started).
    retry_after_s : float
        Time after which the caller may retry, seconds.
    """

    reason: str
    retry_after_s: float


class AdmissionController:
    """Queues the jobs of one target and decides which one starts next.

    Parameters
    ----------
    slots : int
        Calls that the target processes at once.

    Attributes
    ----------
    running : int
        Number of running jobs.
    cold_start_until : float
        When the target is no longer slow after its start, monotonic time in seconds.
    noise : NoiseDetector
    success_rate : SuccessRate
    rate_limit : RateLimit
    """

    def __init__(self, slots):
        self.slots = max(1, slots)
        self.running = 0
        self.cold_start_until = 0.0
        self.noise = NoiseDetector()
        self.success_rate = SuccessRate()
        self.rate_limit = RateLimit()
        self._durations = DurationEstimator()
        # Sums over the running jobs.
        self._started_at_sum = 0.0
        self._typical_s_sum = 0.0
        # Heaps of (priority, objective_at, sequence number, job); removed jobs stay
        # until they are first.
        self._queue = []
        self._late_queue = []
        self._next_sequence = 0
        # Whether the target was in its cold start when a duration was last estimated.
        self._cold = False

    def set_slots(self, slots):
        """Set the number of slots, as reported by the target."""
        self.slots = max(1, slots)

    def note_slowdown(self, slowdown, now):
        """Record the slowdown that the target reports.

        During a cold start, the reported value includes the slowdown of the cold start.
        This part is divided out, because waiting for the end of noise would not help
        against it.

        Parameters
        ----------
        slowdown : float
            Ratio of the current duration of calls to the usual one; 1 at the target's
            usual speed.
        now : float
            Monotonic time, seconds.
        """
        if now < self.cold_start_until:
            slowdown /= COLD_START_SLOWDOWN
        self.noise.record_slowdown(slowdown, now)

    @property
    def limit(self):
        """Number of calls that may run at once."""
        return self._durations.concurrency_limit(self.slots, self._cold)

    @property
    def queued(self):
        """Number of jobs that wait."""
        return _count_waiting(self._queue) + _count_waiting(self._late_queue)

    def _age_ratio(self, now):
        """Return the mean age of the running jobs, relative to their typical duration.

        Before any job has ended, a high ratio already shows that the target has become
        slow or hangs. With too few running jobs, the ratio is 0.
        """
        if self.running < MIN_RUNNING_FOR_AGE_RATIO or self._typical_s_sum <= 0.0:
            return 0.0
        return (self.running * now - self._started_at_sum) / self._typical_s_sum

    def expected_duration_s(self, now, job=None):
        """Return the expected duration of a job that starts now, seconds.

        If `job` is None, the mean over jobs of all kinds is used.
        """
        ratio = self._age_ratio(now)
        return self._typical_s(now, job) * (
            ratio if ratio > MAX_HEALTHY_AGE_RATIO else 1.0
        )

    def _typical_s(self, now, job):
        """Return the typical duration of a job, seconds, and update `_cold`."""
        if job is None:
            typical_s = self._durations.expected_s(None, now)
        else:
            typical_s = self._durations.expected_s(job.kind, now, job.objective_s)
        self._cold = now < self.cold_start_until
        return typical_s * COLD_START_SLOWDOWN if self._cold else typical_s

    def expected_wait_s(self, now, ahead):
        """Return the expected wait behind `ahead` other waiting jobs, seconds."""
        noise_s = self.noise.remaining_s(now)
        rate_wait_s = self.rate_limit.wait_s(now, ahead)
        free = self.limit - self.running - ahead
        if free > 0:
            return noise_s + rate_wait_s
        slot_wait_s = (1 - free) * self.expected_duration_s(now) / self.limit
        return noise_s + max(rate_wait_s, slot_wait_s)

    def offer(self, job, now):
        """Queue an arriving job or refuse it.

        Returns
        -------
        Refused or None
            None if the job was queued; `next_action` starts it.
        """
        job.objective_s = job.objective_at - now
        duration_s = self.expected_duration_s(now, job)
        position = (job.priority, job.objective_at)
        ahead = sum(
            entry[:2] <= position and not entry[-1].removed for entry in self._queue
        )
        wait_s = self.expected_wait_s(now, ahead)
        if now + wait_s + duration_s <= job.objective_at:
            self._push(self._queue, job)
            return None
        if not job.last_resort:
            return Refused("objective", self._retry_after_s(wait_s))
        wait_s = self.expected_wait_s(now, self.queued)
        if now + wait_s + duration_s > job.deadline_at:
            return Refused("deadline", self._retry_after_s(wait_s))
        if _count_waiting(self._late_queue) >= max(1, LATE_QUEUE_SHARE * self.limit):
            return Refused("full", self._retry_after_s(wait_s))
        job.late_wait_until = now + MAX_LATE_WAIT_S
        self._push(self._late_queue, job)
        return None

    def _retry_after_s(self, wait_s):
        return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def _push(self, queue, job):
        self._next_sequence += 1
        heapq.heappush(
            queue, (job.priority, job.objective_at, self._next_sequence, job)
        )

    def next_action(self, now):
        """Start or refuse the first waiting job, if that is possible now.

        Returns
        -------
        tuple of (Job, Refused or None) or StartDecision
            The job and None if it starts, or the job and its refusal if it can no
            longer complete in time at this target. Without such a job: `PROBE` if the
            target must be probed for its current slowdown first, `HOLD` while jobs wait
            because of the rate limit, for the end of noise or for the result of a
            probe, and `START`, which then requires no action, if no job waits or no
            slot is free.
        """
        self._discard_removed(self._queue)
        self._discard_removed(self._late_queue)
        for queue, late in ((self._queue, False), (self._late_queue, True)):
            if not queue:
                continue
            job = queue[0][-1]
            refused = self._check_in_time(job, now, late)
            if refused is not None:
                heapq.heappop(queue)
                return job, refused
        queue = self._queue or self._late_queue
        if not queue or self.running >= self.limit:
            return StartDecision.START
        if self.rate_limit.wait_s(now) > 0.0:
            return StartDecision.HOLD
        decision = self.noise.decide(now)
        if decision is not StartDecision.START:
            return decision
        job = heapq.heappop(queue)[-1]
        job.running = True
        job.started_at = now
        self.rate_limit.note_start(now)
        self.running += 1
        job.running_at_start = self.running
        job.typical_s = self._typical_s(now, job)
        self._started_at_sum += now
        self._typical_s_sum += job.typical_s
        return job, None

    def _check_in_time(self, job, now, late):
        """Return the refusal of a waiting job that would be too late, or None.

        `late` tells whether the job waits in the queue of late jobs.
        """
        duration_s = self.expected_duration_s(now, job)
        latest_start = job.deadline_at - duration_s * MIN_START_SHARE
        if late:
            latest_start = min(latest_start, job.late_wait_until)
        if now > latest_start:
            return Refused("expired", self._retry_after_s(self.expected_wait_s(now, 0)))
        if late or job.last_resort:
            return None
        rate_wait_s = self.rate_limit.wait_s(now)
        blocked = (
            self.running >= self.limit
            or rate_wait_s > 0.0
            or self.noise.detects_noise(now)
        )
        start_at = now + rate_wait_s
        if blocked and start_at + duration_s + RETRY_ELSEWHERE_S > job.objective_at:
            # Another target may still meet the objective.
            return Refused(
                "objective", self._retry_after_s(self.expected_wait_s(now, 0))
            )
        return None

    def _discard_removed(self, queue):
        while queue and queue[0][-1].removed:
            heapq.heappop(queue)

    def note_disconnect(self, job, now):
        """Record that the caller of a job has disconnected.

        If the job has run far longer than usual, it counts as failed.
        """
        if job.running:
            if now - job.started_at > HUNG_FACTOR * job.typical_s:
                self.success_rate.note(False, now)

    def remove(self, job):
        """Remove a job that has ended or whose caller has disconnected."""
        if job.running:
            job.running = False
            self.running -= 1
            self._started_at_sum -= job.started_at
            self._typical_s_sum -= job.typical_s
        job.removed = True

    def complete(self, job, now):
        """Record the duration of a job whose response is complete, and remove it.

        Durations during a cold start are not recorded.
        """
        if job.running and now >= self.cold_start_until:
            duration_s = now - job.started_at
            self._durations.note(
                job.kind, duration_s, job.running_at_start, self.slots, now
            )
        self.remove(job)

    def take_waiting(self):
        """Empty both queues and return the jobs that were waiting."""
        jobs = [entry[-1] for entry in (*self._queue, *self._late_queue)]
        self._queue.clear()
        self._late_queue.clear()
        return [job for job in jobs if not job.removed]

    def _reported_limit(self, now):
        """Return the calls that may run at once, as far as the rate limit allows it."""
        rate_per_s = self.rate_limit.rate_per_s
        if rate_per_s is None:
            return self.limit
        return min(self.limit, max(1, int(rate_per_s * self.expected_duration_s(now))))

    def report(self, now, accepting):
        """Return the current `LoadReport`.

        Parameters
        ----------
        now : float
            Monotonic time, seconds.
        accepting : bool
            Whether the node accepts new calls for the target.
        """
        queued = self.queued
        noise_s = self.noise.remaining_s(now)
        delay_s = (
            self.expected_duration_s(now) + self.expected_wait_s(now, queued) - noise_s
        )
        cold_s = max(0.0, self.cold_start_until - now)
        if cold_s:
            # The receiver adds the cold-start slowdown itself and keeps a mean of the
            # delay, which must not include it.
            delay_s /= COLD_START_SLOWDOWN
        return LoadReport(
            accepting,
            self.running,
            queued,
            self._reported_limit(now),
            int(delay_s * 1000),
            int(noise_s * 1000),
            self.success_rate.rate(now),
            int(cold_s * 1000),
        )


def _count_waiting(queue):
    return sum(not entry[-1].removed for entry in queue)
