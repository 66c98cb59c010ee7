"""pimentoline.twohop.target_side: the calls at the target on this node's host."""

import asyncio
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from ..headers import DROPPED_FROM_REQUEST, DROPPED_FROM_RESPONSE, end_to_end_headers
from ..logs import RateLimitedLog, log_entry
from ..verdict import Verdict
from .admission import AdmissionController, Job
from .exchange import ResponseError, send_request
from .frames import MAX_BODY_BYTES, FailedFrame, RefusedFrame, ResponseFrame
from .model import MIN_FAILURE_STATUS
from .noise import StartDecision
from .target_status import StatusTracker, TargetState

__all__ = ["TargetSide", "Work"]

# A target ends work at its deadline by itself; the node waits a little longer.
DEADLINE_SLACK_S = 0.3
# A target on the same host accepts a connection within a few milliseconds.
CONNECT_S = 0.4
# A target that takes no connection is left alone for this long.
DOWN_S = 0.3
# Until the first status report says how many slots there are.
DEFAULT_SLOTS = 8
NOT_ACCEPTING_RETRY_S = 0.3
# A target that has started unseen is cold until its first report says how long; targets
# report every 1.5 s.
ASSUMED_COLD_S = 1.5
# How often waiting jobs are looked at, seconds; noise ends between two answers.
SWEEP_S = 0.02
# A target on the same host answers for its figures within a few milliseconds.
ASK_TIMEOUT_S = 0.1
MAX_ASK_BYTES = 64 * 1024
MS = 1000.0


@dataclass(slots=True, eq=False)
class Work:
    """A call taken by this node; `reply(frame, body)` is called once."""

    frame: object
    body: bytes
    job: Job
    reply: object
    admission: AdmissionController
    task: object = None
    ended: bool = False
    cancelled: bool = False


class TargetSide:
    """Admits calls to the target on this host and runs them.

    Parameters
    ----------
    dialect : HeaderNames
    pool : Pool
    clock : callable
        Monotonic clock, seconds.
    service : str
        Service of the target, from the settings.
    addr : tuple
        Address of the target.
    health_path : callable
        Returns the path that answers at once with the target's figures.
    on_change : callable
        Called when the target begins or stops to accept calls.
    """

    def __init__(self, dialect, pool, clock, service, addr, health_path, on_change):
        self._dialect = dialect
        self._pool = pool
        self._clock = clock
        self._addr = addr
        self._on_change = on_change
        self._log = RateLimitedLog(clock)
        self.service = service
        self.status_tracker = StatusTracker()
        self.admission = AdmissionController(DEFAULT_SLOTS)
        self.stopping = False
        self._stored_only = False
        self._down_until = 0.0
        self._health_path = health_path
        self._probe_task = None
        self._works = {}
        self._sweep = None

    # What the target says of itself.

    @property
    def accepting(self):
        """Whether new calls are taken."""
        held = self.status_tracker.current
        ready = held is not None and held.state is TargetState.READY
        up = self._clock() >= self._down_until
        return ready and up and not self.stopping

    @property
    def has_left(self):
        """Whether the target has signed off."""
        held = self.status_tracker.current
        return held is not None and held.state is TargetState.LEFT

    def load_report(self):
        """Return the `LoadReport` of this moment."""
        return self.admission.report(self._clock(), self.accepting)

    def handle_heartbeat(self, report):
        """Take a status report; return whether the state of the target changed."""
        before = self.status_tracker.current
        if report.addr != self._addr:
            log_entry("target:foreign", target=report.target_id)
            return False
        if not self.status_tracker.accept(report):
            log_entry(
                "target:late-report",
                target=report.target_id,
                born_ms=report.born_ms,
                sequence=report.sequence,
            )
            return False
        if before is None or (before.target_id, before.born_ms) != (
            report.target_id,
            report.born_ms,
        ):
            self.admission = self._renewed(report.slots)
        self._stored_only = False
        self.service = report.service
        self.admission.set_slots(report.slots)
        self.admission.cold_start_until = self._clock() + report.cold_s
        return self._changed(before)

    def _renewed(self, slots):
        fresh = AdmissionController(slots)
        for job in self.admission.take_waiting():
            self._refuse(self._works[job], "target-replaced", NOT_ACCEPTING_RETRY_S)
        self._pool.close_idle(self._addr)
        return fresh

    def handle_sign_off(self, target_id, born_ms):
        """Take a target's leave; return whether the state changed."""
        before = self.status_tracker.current
        self.status_tracker.leave(target_id, born_ms)
        return self._changed(before)

    def restore(self, status):
        """Take the state that an earlier process of this node has stored."""
        before = self.status_tracker.current
        if self.status_tracker.merge(status):
            self._stored_only = before is None
            self._changed(before)

    def _changed(self, before):
        held = self.status_tracker.current
        same = before is not None and (before.target_id, before.state) == (
            held.target_id,
            held.state,
        )
        if same:
            return False
        log_entry(
            "target:state",
            target=held.target_id,
            state=held.state.value,
            born_ms=held.born_ms,
            sequence=held.sequence,
        )
        if not self.accepting:
            self._refuse_queue("target-leaving")
        self._on_change()
        return True

    def stop(self):
        """Take no new calls; what runs goes on."""
        self.stopping = True
        self._refuse_queue("node-stopping")
        self._on_change()

    def _refuse_queue(self, reason):
        for job in self.admission.take_waiting():
            self._refuse(self._works[job], reason, NOT_ACCEPTING_RETRY_S)

    @property
    def busy(self):
        """Whether a call waits or runs."""
        return bool(self._works)

    # Calls.

    def submit(self, frame, body, reply):
        """Take a call of `CallFrame`; return its `Work`, which `cancel` takes."""
        now = self._clock()
        job = Job(
            frame.priority,
            now + frame.goal_ms / MS,
            now + frame.remaining_ms / MS,
            frame.last_resort,
            (frame.priority, frame.retryable),
        )
        work = Work(frame, body, job, reply, self.admission)
        self._works[job] = work
        if not self.accepting:
            self._refuse(work, "not-accepting", NOT_ACCEPTING_RETRY_S)
        elif frame.service != self.service:
            self._refuse(work, "other-service", NOT_ACCEPTING_RETRY_S)
        else:
            refused = self.admission.offer(job, now)
            if refused is not None:
                self._refuse(work, refused.reason, refused.retry_after_s)
            else:
                self._pump()
        return work

    def cancel(self, work):
        """Drop a call whose caller has gone.

        One that must not run twice and has begun goes on, since its answer is lost
        to nobody else and its work may not be undone.
        """
        if work.ended:
            return
        work.cancelled = True
        if work.task is not None and not work.frame.retryable:
            return
        if work.task is not None:
            work.admission.caller_left(work.job, self._clock())
            work.task.cancel()
        # A task that is cancelled before its first step never runs its own end.
        self._end(work)
        self._pump()

    def _refuse(self, work, reason, retry_after_s, at_target=False):
        frame = RefusedFrame(
            work.frame.stream,
            reason,
            int(retry_after_s * MS),
            at_target,
            self.load_report(),
        )
        self._end(work, frame)

    def _end(self, work, frame=None, body=b""):
        if work.ended:
            return
        work.ended = True
        work.admission.remove(work.job)
        self._works.pop(work.job, None)
        if frame is not None and not work.cancelled:
            work.reply(frame, body)

    def _pump(self):
        while True:
            found = self.admission.next_action(self._clock())
            if isinstance(found, StartDecision):
                break
            job, refused = found
            work = self._works.get(job)
            if work is None:
                self.admission.remove(job)
            elif refused is not None:
                self._refuse(work, refused.reason, refused.retry_after_s)
            else:
                work.task = asyncio.get_running_loop().create_task(self._run(work))
        if found is StartDecision.PROBE and self._probe_task is None:
            self._probe_task = asyncio.get_running_loop().create_task(self._probe())
        if self._sweep is None and self.admission.queued:
            loop = asyncio.get_running_loop()
            self._sweep = loop.call_later(SWEEP_S, self._swept)

    def _swept(self):
        self._sweep = None
        self._pump()

    async def _probe(self):
        """Ask the target for its figures; without an answer calls start blindly."""
        noise = self.admission.noise
        noise.probe_started(self._clock())
        conn = None
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                conn = await self._pool.acquire(self._addr, True)
                answer = await send_request(
                    conn, "GET", self._health_path(), HTTPHeaders(), None, MAX_ASK_BYTES
                )
            if answer.reusable:
                self._pool.release(conn)
                conn = None
            self._note_identity(answer)
            if not self._note_load(answer.headers.get(self._dialect.load)):
                noise.probe_failed(self._clock())
        except (OSError, StreamClosedError, TimeoutError, ResponseError) as exc:
            log_entry("target:no-figures", detail=repr(exc)[:80])
            noise.probe_failed(self._clock())
        finally:
            self._probe_task = None
            if conn is not None:
                conn.close()
            self._pump()

    def _note_identity(self, answer):
        """See that the target has been replaced while this process was not running.

        Until its first report, calls would name the one before and come back unrun.
        """
        found = answer.headers.get(self._dialect.target_id)
        if not self._stored_only or answer.status != 200 or not found:
            return
        self._stored_only = False
        before = self.status_tracker.current
        if self.status_tracker.note_probed_id(found):
            self.admission.cold_start_until = self._clock() + ASSUMED_COLD_S
            self._changed(before)

    async def _run(self, work):
        conn = None
        try:
            left_s = work.job.deadline_at - self._clock() + DEADLINE_SLACK_S
            async with asyncio.timeout(min(left_s, CONNECT_S)):
                conn = await self._pool.acquire(self._addr, work.frame.retryable)
            async with asyncio.timeout(left_s):
                answer = await self._call_target(conn, work)
            if answer.reusable:
                self._pool.release(conn)
            else:
                conn.close()
            conn = None
            if work.job.running and answer.status < MIN_FAILURE_STATUS:
                work.admission.complete(work.job, self._clock())
            self._answered(work, answer)
        except asyncio.CancelledError:
            self._end(work)
        except (OSError, StreamClosedError, TimeoutError, ResponseError) as exc:
            self._failed(work, conn, exc)
        except Exception as exc:
            # Whatever is wrong with this call must not leave its caller waiting.
            log_entry("call:error", request=self._request_id(work), detail=repr(exc))
            self._failed(work, conn, exc)
        finally:
            if conn is not None:
                conn.close()
            self._pump()

    def _failed(self, work, conn, exc):
        if conn is None:
            verdict = Verdict.NOT_RUN
            self._note_down()
        elif getattr(exc, "started", False):
            verdict = Verdict.RAN
        else:
            verdict = Verdict.MAY_HAVE_RUN
        reason = "target-timeout" if isinstance(exc, TimeoutError) else "target-broken"
        work.admission.outcomes.note(False, self._clock())
        self._log.entry(
            "call:broken",
            request=self._request_id(work),
            target=self.status_tracker.current.target_id,
            reason=reason,
            verdict=verdict.value,
            detail=str(exc)[:120],
        )
        frame = FailedFrame(work.frame.stream, reason, verdict, self.load_report())
        self._end(work, frame)

    def _note_down(self):
        """Take no calls for a moment, because the target takes no connection."""
        if self._clock() < self._down_until:
            return
        self._down_until = self._clock() + DOWN_S
        log_entry("target:unreachable", target=self.status_tracker.current.target_id)
        self._refuse_queue("target-unreachable")
        self._on_change()
        loop = asyncio.get_running_loop()
        loop.call_later(DOWN_S, self._on_change)

    def _request_id(self, work):
        wanted = self._dialect.request_id.lower()
        for name, value in work.frame.headers:
            if name.lower() == wanted:
                return value
        return ""

    async def _call_target(self, conn, work):
        frame = work.frame
        dialect = self._dialect
        headers = HTTPHeaders()
        for name, value in frame.headers:
            headers.add(name, value)
        left_ms = int((work.job.deadline_at - self._clock()) * MS)
        headers[dialect.deadline_ms] = str(max(left_ms, 1))
        headers[dialect.caller_service] = frame.caller_service
        headers[dialect.expect_target] = self.status_tracker.current.target_id
        if work.body or frame.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(work.body))
        wanted = headers.get(dialect.request_id)

        def own(found):
            return found.get(dialect.request_id) in (None, wanted)

        return await send_request(
            conn,
            frame.method,
            frame.path,
            headers,
            work.body or None,
            MAX_BODY_BYTES,
            own,
        )

    def _answered(self, work, answer):
        dialect = self._dialect
        headers = answer.headers
        self._note_load(headers.get(dialect.load))
        not_run = headers.get(dialect.not_run) is not None or answer.status == 421
        work.admission.outcomes.note(
            answer.status < MIN_FAILURE_STATUS and not not_run, self._clock()
        )
        if not_run:
            self._refuse(work, "target-refused", NOT_ACCEPTING_RETRY_S, True)
            return
        good = 200 <= answer.status < 300
        if good and (
            headers.get(dialect.response_stamp) is None
            or headers.get("Content-Encoding") is not None
        ):
            frame = FailedFrame(
                work.frame.stream, "answer-not-whole", Verdict.RAN, self.load_report()
            )
            self._end(work, frame)
            return
        kept = end_to_end_headers(
            headers, DROPPED_FROM_RESPONSE | {"Content-Length", dialect.load}
        )
        frame = ResponseFrame(
            work.frame.stream,
            answer.status,
            answer.reason,
            tuple(kept.get_all()),
            len(answer.body),
            self.load_report(),
        )
        self._end(work, frame, answer.body)

    def _note_load(self, text):
        """Read the target's own figures: running, waiting, slots, percent.

        Return whether the last of them is there.
        """
        if not text:
            return False
        try:
            figures = [int(part) for part in text.split(",")]
        except ValueError:
            log_entry("target:load-unreadable", value=text[:40])
            return False
        if len(figures) >= 3 and figures[2] > 0:
            self.admission.set_slots(figures[2])
        if len(figures) >= 4 and figures[3] > 0:
            self.admission.note_slowdown(figures[3] / 100.0, self._clock())
            return True
        return False


def onward(headers, dialect):
    """Return the headers of a caller that go on to the target.

    Those that the node sets itself are left out.
    """
    own = {dialect.deadline_ms, dialect.caller_service, dialect.expect_target}
    return tuple(
        end_to_end_headers(
            headers, DROPPED_FROM_REQUEST | own | {"Content-Length"}
        ).get_all()
    )
