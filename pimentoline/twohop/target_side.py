"""pimentoline.twohop.target_side: runs calls at the target on this node's host."""

import asyncio
import math
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from ..headers import DROPPED_FROM_REQUEST, DROPPED_FROM_RESPONSE, end_to_end_headers
from ..logs import RateLimitedLog, log_entry
from ..tasks import start_task
from ..verdict import Verdict
from .admission import AdmissionController, Job
from .bodies import MAX_RESPONSE_MEMORY_BYTES, BodyMemory
from .exchange import ResponseError, send_request
from .frames import MAX_BODY_BYTES, FailedFrame, RefusedFrame, ResponseFrame
from .model import MIN_FAILURE_STATUS
from .noise import StartDecision
from .target_status import MAX_SLOTS, ReportHistory, StatusTracker, TargetState

__all__ = ["PendingCall", "TargetSide"]

# The target itself ends a call at the deadline of the call. The node waits this much
# longer for the response, seconds.
DEADLINE_MARGIN_S = 0.3
# Timeout for connecting to the target, seconds. A target on the same host accepts the
# connection within a few milliseconds.
CONNECT_TIMEOUT_S = 0.4
# A target that accepts no connection gets no calls for this long, seconds.
UNREACHABLE_PAUSE_S = 0.3
# Number of slots of a target until its first heartbeat reports it.
DEFAULT_SLOTS = 8
# Retry-after time of a call that this target does not accept, seconds.
RETRY_AFTER_S = 0.3
# Assumed duration of the cold start of a target that has sent no heartbeat, seconds.
# Targets send a heartbeat every 1.5 s, which reports how much longer it lasts.
ASSUMED_COLD_START_S = 1.5
# Interval at which the queue is checked while calls wait, seconds. Calls that are held
# because of noisy neighbours must start when the noise ends, even if no other call
# completes then.
QUEUE_CHECK_INTERVAL_S = 0.02
# Timeout of a probe, seconds. A target on the same host responds within a few
# milliseconds.
PROBE_TIMEOUT_S = 0.1
MAX_PROBE_BODY_BYTES = 64 * 1024
# Pause between two health checks while reports of the target are unproven, seconds. It
# doubles after each check.
MIN_CHECK_PAUSE_S = 0.1
MAX_CHECK_PAUSE_S = 2.0
# Larger figures in the load header of a target are not believed.
MAX_SLOWDOWN_PERCENT = 100_000
MS_PER_S = 1000.0


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call that waits or runs at the target.

    Attributes
    ----------
    frame : CallFrame
    body : bytes or Body
        Body of the request; empty when the call has ended.
    job : Job
        Represents the call in `admission`.
    reply : callable
        `reply(frame, body)` is called once with the outcome, unless the call was
        cancelled.
    admission : AdmissionController
        The controller that the call was offered to; `TargetSide.admission` may be a
        newer one.
    target : TargetStatus or None
        Status of the target when the call started, None before.
    task : asyncio.Task or None
        Runs the call, None while it waits.
    ended : bool
        Whether the call has its outcome or was cancelled. A running call that must not
        run twice ends only with its outcome, even if it is cancelled.
    cancelled : bool
        Whether nobody waits for the outcome.
    """

    frame: object
    body: object
    job: Job
    reply: object
    admission: AdmissionController
    target: object = None
    task: object = None
    ended: bool = False
    cancelled: bool = False


class TargetSide:
    """Admits calls to the target on this host and runs them.

    Also tracks the status of the target from its heartbeats, and probes the target for
    its load.

    Parameters
    ----------
    header_names : HeaderNames
    pool : Pool
    clock : callable
        Monotonic clock, seconds.
    service : str
        Service of the target from the settings, used until the first heartbeat.
    addr : tuple
        Host and port of the target.
    health_path : callable
        Returns the path for probes, or None if there is no configuration yet; responses
        to it carry the load of the target.
    on_change : callable
        Called when the target may have begun or stopped accepting calls.
    store_status : callable
        Called to store the status after a response of the target has changed it.
    response_memory : BodyMemory, optional
        Bounds the bodies of the target's responses.

    Attributes
    ----------
    service : str
        Service of the target.
    status_tracker : StatusTracker
    admission : AdmissionController
        Replaced when the target is replaced.
    stopping : bool
        Whether the node is stopping, so that new calls are refused.
    """

    def __init__(
        self,
        header_names,
        pool,
        clock,
        service,
        addr,
        health_path,
        on_change,
        store_status=lambda: None,
        response_memory=None,
    ):
        self._header_names = header_names
        self._pool = pool
        self._clock = clock
        self._addr = addr
        self._on_change = on_change
        self._store_status = store_status
        self._log = RateLimitedLog(clock)
        self.service = service
        self.status_tracker = StatusTracker()
        self.admission = AdmissionController(DEFAULT_SLOTS)
        self.stopping = False
        # Whether this process knows that a state of the target is not older than what
        # an earlier process has acknowledged to it. Until then, a stored state or a
        # heartbeat may be, and a target that seems ready gets no calls.
        self._proven = False
        self._report_history = ReportHistory(clock())
        # Heartbeat of a target that may have replaced the current one, or None.
        self._unproven_heartbeat = None
        self._proof_task = None
        # Ends the pause before the next health check.
        self._check_requested = asyncio.Event()
        self._unreachable_until = 0.0
        self._health_path = health_path
        self._probe_task = None
        # The `PendingCall` of each `Job` that waits or runs.
        self._pending = {}
        self._queue_timer = None
        self._response_memory = response_memory or BodyMemory(MAX_RESPONSE_MEMORY_BYTES)

    # Status of the target.

    @property
    def accepting(self):
        """Whether new calls are accepted."""
        up = self._clock() >= self._unreachable_until
        return self._is_ready and self._proven and up and not self.stopping

    @property
    def _is_ready(self):
        status = self.status_tracker.current
        return status is not None and status.state is TargetState.READY

    @property
    def has_left(self):
        """Whether the target has left."""
        status = self.status_tracker.current
        return status is not None and status.state is TargetState.LEFT

    def load_report(self):
        """Return the current `LoadReport`."""
        return self.admission.report(self._clock(), self.accepting)

    def handle_heartbeat(self, heartbeat):
        """Process a heartbeat; return whether the target or its state changed.

        Its `born_ms` is the start of the target, Unix time in milliseconds.
        """
        previous = self.status_tracker.current
        if heartbeat.addr != self._addr:
            log_entry("target:foreign", target=heartbeat.target_id)
            return False
        is_ready = heartbeat.state is TargetState.READY
        recent = is_ready and self._report_history.note(heartbeat, self._clock())
        # An unproven report must not replace a drain or leave that was restored.
        known = recent or self._proven or self._is_ready or previous is None
        doubtful = is_ready and not known
        if doubtful or not self.status_tracker.accept(heartbeat):
            if not self.status_tracker.may_replace(heartbeat, recent):
                log_entry(
                    "target:late-report",
                    target=heartbeat.target_id,
                    born_ms=heartbeat.born_ms,
                    sequence=heartbeat.sequence,
                )
                return False
            if not recent:
                self._unproven_heartbeat = heartbeat
                self.seek_proof()
                return False
            self.status_tracker.replace(heartbeat)
        if recent:
            self._set_proven("reports")
        changed = self._apply_heartbeat(heartbeat, previous)
        self.seek_proof()
        return changed

    def _apply_heartbeat(self, heartbeat, previous):
        """Act on an accepted heartbeat; return whether the target or its state changed.

        `previous` is the status before.
        """
        self._unproven_heartbeat = None
        if previous is None or previous.incarnation != heartbeat.incarnation:
            self.admission = self._admission_for_new_target(heartbeat.slots)
        self.service = heartbeat.service
        self.admission.set_slots(heartbeat.slots)
        self.admission.cold_start_until = self._clock() + heartbeat.cold_s
        return self._status_changed(previous)

    def _admission_for_new_target(self, slots):
        """Return an `AdmissionController` for a new target.

        The calls that wait for the previous target are refused, and its idle
        connections are closed.
        """
        admission = AdmissionController(slots)
        for job in self.admission.take_waiting():
            self._refuse(self._pending[job], "target-replaced", RETRY_AFTER_S)
        self._pool.close_idle(self._addr)
        return admission

    def handle_leave(self, target_id, born_ms):
        """Process the leave request of a target; return whether its state changed."""
        previous = self.status_tracker.current
        self.status_tracker.accept_leave(target_id, born_ms)
        return self._status_changed(previous)

    def restore(self, status):
        """Restore the status that an earlier process of this node has stored.

        Returns whether this changed the status.
        """
        previous = self.status_tracker.current
        if not self.status_tracker.merge(status):
            return False
        self._status_changed(previous)
        self.seek_proof()
        return True

    def restore_from_peer(self, status):
        """Restore the status that a peer has held for an earlier process."""
        if self.restore(status):
            self._store_status()

    def _status_changed(self, previous):
        """Act on a change from the `previous` status; return whether there is one.

        Only a change of the target's id or of its state counts.
        """
        status = self.status_tracker.current
        same = previous is not None and (previous.target_id, previous.state) == (
            status.target_id,
            status.state,
        )
        if same:
            return False
        log_entry(
            "target:state",
            target=status.target_id,
            state=status.state.value,
            born_ms=status.born_ms,
            sequence=status.sequence,
        )
        if status.state is not TargetState.READY:
            # Reports that were made before this change must not undo it.
            self._report_history = ReportHistory(self._clock())
        if not self.accepting:
            self._refuse_waiting("target-leaving")
        self._on_change()
        return True

    # Proof that the state of the target is not out of date.

    @property
    def _needs_proof(self):
        return self._unproven_heartbeat is not None or (
            self._is_ready and not self._proven
        )

    def seek_proof(self):
        """Check the health of the target until it proves a state, if that is needed."""
        self._check_requested.set()
        if self._needs_proof and self._proof_task is None:
            self._proof_task = start_task(self._check_until_proven(), "check target")

    async def wait_for_proof(self):
        """Wait until the target has proved its state, but not for long."""
        if self._proof_task is not None:
            await asyncio.wait([self._proof_task], timeout=PROBE_TIMEOUT_S)

    async def _check_until_proven(self):
        pause_s = MIN_CHECK_PAUSE_S
        try:
            while self._needs_proof and not self.stopping:
                self._check_requested.clear()
                if self._health_path() is not None:
                    await self._check_health()
                if not self._needs_proof:
                    break
                try:
                    async with asyncio.timeout(pause_s):
                        await self._check_requested.wait()
                    pause_s = MIN_CHECK_PAUSE_S
                except TimeoutError:
                    pause_s = min(pause_s * 2, MAX_CHECK_PAUSE_S)
        finally:
            self._proof_task = None

    async def _check_health(self):
        asked_about = self._claims
        try:
            response = await self._request_health()
        except (OSError, StreamClosedError, TimeoutError, ResponseError) as exc:
            self._log.entry("target:no-health", detail=repr(exc)[:80])
            return
        if self._claims == asked_about:
            self._note_health(response)

    @property
    def _claims(self):
        """What a health check can prove."""
        return self.status_tracker.current, self._unproven_heartbeat

    def _set_proven(self, proof):
        if not self._proven:
            self._proven = True
            log_entry("target:proven", proof=proof)
            if self._is_ready:
                self._on_change()

    def _note_health(self, response):
        """Process the response to a health check that began after all reports so far.

        A target that is healthy now has not left. Its id tells whether it is the
        current target, one whose heartbeat looked late, or one that started while this
        process was not running. A target that has left may claim to be healthy, so that
        the id of the current one does not make it ready again.
        """
        target_id = response.headers.get(self._header_names.target_id)
        if response.status != 200 or not target_id:
            return
        previous = self.status_tracker.current
        heartbeat = self._unproven_heartbeat
        if heartbeat is not None and heartbeat.target_id == target_id:
            self.status_tracker.replace(heartbeat)
            self._set_proven("health")
            self._apply_heartbeat(heartbeat, previous)
            self._store_status()
        elif not self._proven and previous is not None:
            if self.status_tracker.note_probed_id(target_id):
                self._set_proven("health")
                self.admission.cold_start_until = self._clock() + ASSUMED_COLD_START_S
                self._status_changed(previous)
            elif self._is_ready:
                self._set_proven("health")

    def stop(self):
        """Accept no new calls and refuse those that wait; running calls go on."""
        self.stopping = True
        self._refuse_waiting("node-stopping")
        self._on_change()

    def _refuse_waiting(self, reason):
        for job in self.admission.take_waiting():
            self._refuse(self._pending[job], reason, RETRY_AFTER_S)

    @property
    def busy(self):
        """Whether a call waits or runs."""
        return bool(self._pending)

    # Calls.

    def submit(self, frame, body, reply):
        """Queue or refuse a call.

        Parameters
        ----------
        frame : CallFrame
        body : bytes or Body
        reply : callable
            Called once with the frame and body of the outcome.

        Returns
        -------
        PendingCall
            For `cancel`.
        """
        now = self._clock()
        job = Job(
            frame.priority,
            now + frame.objective_ms / MS_PER_S,
            now + frame.remaining_ms / MS_PER_S,
            frame.last_resort,
            # Calls with the same values are expected to take the same time.
            (frame.priority, frame.retryable),
        )
        call = PendingCall(frame, body, job, reply, self.admission)
        self._pending[job] = call
        if not self.accepting:
            self._refuse(call, "not-accepting", RETRY_AFTER_S)
        elif frame.service != self.service:
            self._refuse(call, "other-service", RETRY_AFTER_S)
        else:
            refusal = self.admission.offer(job, now)
            if refusal is not None:
                self._refuse(call, refusal.reason, refusal.retry_after_s)
            else:
                self._process_queue()
        return call

    def cancel(self, call):
        """Cancel a call whose caller has disconnected.

        A call that has started and must not run twice continues, because cancelling it
        would not undo what it has done so far. Its response is discarded.
        """
        if call.ended:
            return
        call.cancelled = True
        if call.task is not None and not call.frame.retryable:
            return
        if call.task is not None:
            call.admission.note_disconnect(call.job, self._clock())
            call.task.cancel()
        # A task that is cancelled before its first step does not run its clean-up code.
        self._finish(call)
        self._process_queue()

    def _refuse(self, call, reason, retry_after_s, by_target=False):
        frame = RefusedFrame(
            call.frame.stream,
            reason,
            int(retry_after_s * MS_PER_S),
            by_target,
            self.load_report(),
        )
        self._finish(call, frame)

    def _finish(self, call, frame=None, body=b""):
        """End a call, and reply with `frame` unless nobody waits for the outcome."""
        if call.ended:
            return
        call.ended = True
        call.body = b""
        call.admission.remove(call.job)
        self._pending.pop(call.job, None)
        if frame is not None and not call.cancelled:
            call.reply(frame, body)

    def _process_queue(self):
        """Start or refuse waiting calls as far as possible, and probe if needed."""
        while True:
            action = self.admission.next_action(self._clock())
            if isinstance(action, StartDecision):
                # No waiting call can be started or refused now.
                break
            job, refusal = action
            call = self._pending.get(job)
            if call is None:
                self.admission.remove(job)
            elif refusal is not None:
                self._refuse(call, refusal.reason, refusal.retry_after_s)
            else:
                call.task = asyncio.get_running_loop().create_task(self._run(call))
        if action is StartDecision.PROBE and self._probe_task is None:
            self._probe_task = start_task(self._probe(), "probe target")
        if self._queue_timer is None and self.admission.queued:
            loop = asyncio.get_running_loop()
            self._queue_timer = loop.call_later(
                QUEUE_CHECK_INTERVAL_S, self._on_queue_timer
            )

    def _on_queue_timer(self):
        self._queue_timer = None
        self._process_queue()

    async def _probe(self):
        """Query the load of the target, which includes its current slowdown.

        The slowdown is how many times as long as usual the calls take at the target. If
        it is not received, calls start without further probes for some time; see
        `NoiseDetector.probe_failed`.
        """
        noise = self.admission.noise
        noise.probe_started(self._clock())
        asked_about = self._claims
        try:
            response = await self._request_health()
            if self._claims == asked_about:
                self._note_health(response)
            self._note_leaving(self.status_tracker.current, response.headers)
            if not self._note_load(response.headers.get(self._header_names.load)):
                noise.probe_failed(self._clock())
        except (OSError, StreamClosedError, TimeoutError, ResponseError) as exc:
            log_entry("target:no-figures", detail=repr(exc)[:80])
            noise.probe_failed(self._clock())
        finally:
            self._probe_task = None
            self._process_queue()

    async def _request_health(self):
        """Return the response of the target to a health check.

        Raises
        ------
        OSError, StreamClosedError, TimeoutError, ResponseError
        """
        conn = None
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                # True: a probe is idempotent and may reuse a connection that has been
                # idle for longer.
                conn = await self._pool.acquire(self._addr, True)
                response = await send_request(
                    conn,
                    "GET",
                    self._health_path(),
                    HTTPHeaders(),
                    None,
                    MAX_PROBE_BODY_BYTES,
                )
            if response.reusable:
                self._pool.release(conn)
                conn = None
            return response
        finally:
            if conn is not None:
                conn.close()

    async def _run(self, call):
        conn = None
        try:
            remaining_s = call.job.deadline_at - self._clock() + DEADLINE_MARGIN_S
            async with asyncio.timeout(min(remaining_s, CONNECT_TIMEOUT_S)):
                conn = await self._pool.acquire(self._addr, call.frame.retryable)
            call.target = self.status_tracker.current
            async with asyncio.timeout(remaining_s):
                response = await self._call_target(conn, call)
            # A faulty target may write a refusal twice. On a kept connection, the copy
            # could be taken for the response when the same call is sent again.
            if response.reusable and not self._is_refusal(response):
                self._pool.release(conn)
            else:
                conn.close()
            conn = None
            if call.job.running and response.status < MIN_FAILURE_STATUS:
                call.admission.complete(call.job, self._clock())
            self._handle_response(call, response)
        except asyncio.CancelledError:
            self._finish(call)
        except (OSError, StreamClosedError, TimeoutError, ResponseError) as exc:
            self._fail_call(call, conn, exc)
        except Exception as exc:
            # An unexpected error must not leave the caller without a response.
            log_entry("call:error", request=self._request_id(call), detail=repr(exc))
            self._fail_call(call, conn, exc)
        finally:
            if conn is not None:
                conn.close()
            self._process_queue()

    def _fail_call(self, call, conn, exc):
        """Reply with a failure of the call.

        If `conn` is None, the target could not be connected to.
        """
        if conn is None:
            verdict = Verdict.NOT_RUN
            self._note_unreachable()
        elif getattr(exc, "started", False):
            # The head of the response was received.
            verdict = Verdict.RAN
        else:
            verdict = Verdict.MAY_HAVE_RUN
        reason = "target-timeout" if isinstance(exc, TimeoutError) else "target-broken"
        call.admission.success_rate.note(False, self._clock())
        self._log.entry(
            "call:broken",
            request=self._request_id(call),
            target=self.status_tracker.current.target_id,
            reason=reason,
            verdict=verdict.value,
            detail=str(exc)[:120],
        )
        frame = FailedFrame(call.frame.stream, reason, verdict, self.load_report())
        self._finish(call, frame)

    def _note_unreachable(self):
        """Refuse calls for a short time, because the target accepts no connection."""
        if self._clock() < self._unreachable_until:
            return
        self._unreachable_until = self._clock() + UNREACHABLE_PAUSE_S
        log_entry("target:unreachable", target=self.status_tracker.current.target_id)
        self._refuse_waiting("target-unreachable")
        self._on_change()
        loop = asyncio.get_running_loop()
        loop.call_later(UNREACHABLE_PAUSE_S, self._on_change)

    def _request_id(self, call):
        header_name = self._header_names.request_id.lower()
        for name, value in call.frame.headers:
            if name.lower() == header_name:
                return value
        return ""

    async def _call_target(self, conn, call):
        frame = call.frame
        header_names = self._header_names
        headers = HTTPHeaders()
        for name, value in frame.headers:
            headers.add(name, value)
        remaining_ms = int((call.job.deadline_at - self._clock()) * MS_PER_S)
        headers[header_names.deadline_ms] = str(max(remaining_ms, 1))
        headers[header_names.caller_service] = frame.caller_service
        headers[header_names.expect_target] = self.status_tracker.current.target_id
        if call.body or frame.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(call.body))
        request_id = headers.get(header_names.request_id)

        def is_own_response(response_headers):
            """Return whether a response is to this request, not an earlier one."""
            found = response_headers.get(header_names.request_id)
            if found is None and request_id is not None and conn.reused:
                raise ResponseError("no request id on a reused connection")
            return found in (None, request_id)

        return await send_request(
            conn,
            frame.method,
            frame.path,
            headers,
            call.body or None,
            MAX_BODY_BYTES,
            is_own_response,
            self._response_memory,
        )

    def _is_refusal(self, response):
        """Return whether a response says that the target has not run the request."""
        # 421 Misdirected Request: `expect_target` names another target.
        return (
            response.headers.get(self._header_names.not_run) is not None
            or response.status == 421
        )

    def _handle_response(self, call, response):
        """Reply with the response of the target, or with a refusal or failure.

        The presence of the header `response_stamp` proves that the target itself
        produced the response. A success status without this header is a failure, and
        so is one with a `Content-Encoding`.
        """
        header_names = self._header_names
        headers = response.headers
        self._note_load(headers.get(header_names.load))
        self._note_rate_limit(call.admission, headers)
        self._note_leaving(call.target, headers)
        not_run = self._is_refusal(response)
        call.admission.success_rate.note(
            response.status < MIN_FAILURE_STATUS and not not_run, self._clock()
        )
        if not_run:
            self._refuse(call, "target-refused", RETRY_AFTER_S, True)
            return
        succeeded = 200 <= response.status < 300
        if succeeded and (
            headers.get(header_names.response_stamp) is None
            or headers.get("Content-Encoding") is not None
        ):
            frame = FailedFrame(
                call.frame.stream, "answer-not-whole", Verdict.RAN, self.load_report()
            )
            self._finish(call, frame)
            return
        reply_headers = end_to_end_headers(
            headers, DROPPED_FROM_RESPONSE | {"Content-Length", header_names.load}
        )
        frame = ResponseFrame(
            call.frame.stream,
            response.status,
            response.reason,
            tuple(reply_headers.get_all()),
            len(response.body),
            self.load_report(),
        )
        self._finish(call, frame, response.body)

    def _note_leaving(self, target, headers):
        """Accept no more calls for a target if its response says that it is leaving."""
        if headers.get(self._header_names.leaving) != "1":
            return
        previous = self.status_tracker.current
        if self.status_tracker.note_leaving(target):
            self._status_changed(previous)
            self._store_status()

    def _note_rate_limit(self, admission, headers):
        """Apply the rate limit in a response of the target.

        A response of the target itself that names no limit ends it.
        """
        header_names = self._header_names
        text = headers.get(header_names.rate_limit)
        rate_per_s = None
        if text is None:
            if headers.get(header_names.response_stamp) is None:
                return
        else:
            try:
                rate_per_s = float(text)
                if not 0.0 <= rate_per_s < math.inf:
                    raise ValueError("out of range")
            except ValueError:
                log_entry("target:limit-unreadable", value=text[:40])
                return
        previous = admission.rate_limit.rate_per_s
        admission.rate_limit.set_rate(rate_per_s, self._clock())
        if (previous is None) != (rate_per_s is None):
            log_entry(
                "target:limit",
                target=self.status_tracker.current.target_id,
                per_s=rate_per_s,
            )

    def _note_load(self, text):
        """Record the slots and the slowdown that the target reports in a header.

        The header consists of integers separated by commas: number of running requests,
        of waiting requests and of slots, and the slowdown in percent. Returns whether
        the slowdown is present.
        """
        if not text:
            return False
        try:
            values = [int(part) for part in text.split(",")]
            if len(values) >= 3 and values[2] > MAX_SLOTS:
                raise ValueError("too many slots")
            if len(values) >= 4 and values[3] > MAX_SLOWDOWN_PERCENT:
                raise ValueError("slowdown too large")
        except ValueError:
            log_entry("target:load-unreadable", value=text[:40])
            return False
        if len(values) >= 3 and values[2] > 0:
            self.admission.set_slots(values[2])
        if len(values) >= 4 and values[3] > 0:
            self.admission.note_slowdown(values[3] / 100.0, self._clock())
            return True
        return False


def headers_to_target(headers, header_names):
    """Return the headers of a caller's request that are forwarded to the target.

    Headers that the node sets itself are left out.
    """
    set_by_node = {
        header_names.deadline_ms,
        header_names.caller_service,
        header_names.expect_target,
    }
    return tuple(
        end_to_end_headers(
            headers, DROPPED_FROM_REQUEST | set_by_node | {"Content-Length"}
        ).get_all()
    )
