"""pimentoline.call_handler: the caller's side of one call."""

import asyncio
import json

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    ResponseStartLine,
    responses,
)

from . import events as ev
from .attempt import AttemptRunner
from .headers import (
    RequestError,
    answer_headers,
    check_framing,
    check_size,
    parse_request,
)
from .model import Call, RecordedResponse
from .streams import abort
from .verdict import Verdict

__all__ = ["CallHandler"]

# Bodies up to this size are kept so that an attempt can be repeated.
REPLAY_LIMIT_BYTES = 64 * 1024
# The most of an answer's body that a claim row keeps for repeated calls.
RECORDED_BODY_BYTES = 4096
# A caller that reads its answer only after sending the whole request would lose
# the answer if the connection were closed while it sends.
LINGER_S = 5.0


class CallHandler(HTTPMessageDelegate):
    """One call: the caller's side, and its attempts by number.

    Parameters
    ----------
    proxy : Proxy
    caller_conn : HTTP1Connection
    """

    def __init__(self, proxy, caller_conn):
        self.proxy = proxy
        self.caller_conn = caller_conn
        self.call_id = None
        self.attempts = {}
        self.has_body = False
        self.body = []
        self.body_base = 0
        self.body_bytes = 0
        self.body_complete = False
        self.answered = False
        self.ended = False
        self.pending_head = None
        self.recorded_body = None
        self.recorded_cut = False
        self._finish_pending = False
        self._unframed = False
        self._deadline_timer = None
        self._waiter = None

    # Called by tornado while it reads the request.

    def headers_received(self, start_line, headers):
        """Read the request head and start the call."""
        self.start_line = start_line
        self.headers = headers
        proxy = self.proxy
        now = proxy.clock()
        try:
            self.has_body = check_framing(start_line, headers)
        except RequestError as exc:
            # tornado would write an answer of its own to such framing headers.
            headers.pop("Transfer-Encoding", None)
            headers.pop("Content-Length", None)
            self._unframed = True
            self.reject(exc.status, exc.code, Verdict.NOT_RUN, exc.detail)
            return
        try:
            check_size(start_line, headers)
            arrived = proxy.arrivals.earliest(now)
            req = parse_request(start_line, headers, arrived, proxy.ruleset())
        except RequestError as exc:
            self.reject(exc.status, exc.code, Verdict.NOT_RUN, exc.detail)
            return
        self.req = req
        if req.deadline <= now:
            detail = "the deadline passed before the call was read"
            self.reject(504, "deadline-exceeded", Verdict.NOT_RUN, detail)
            return
        self.call_id = proxy.add(self)
        # tornado reports a close through the delegate only while it reads the
        # request; afterwards it uses this callback.
        self.caller_conn.set_close_callback(self.on_connection_close)
        loop = asyncio.get_running_loop()
        self._deadline_timer = loop.call_later(req.deadline - now, self._on_deadline)
        proxy.dispatch(ev.CallArrived(now, proxy.draw(), Call(self.call_id, req, now)))

    def data_received(self, chunk):
        """Pass a piece of the body on; the awaitable gives back-pressure."""
        if self._is_unwanted():
            return None
        self.body.append(chunk)
        self.body_bytes += len(chunk)
        for att in list(self.attempts.values()):
            att.pump()
        if self.body_bytes <= REPLAY_LIMIT_BYTES:
            return None
        return self._pass_on()

    def _is_unwanted(self):
        return self.ended or (self.answered and not self.attempts)

    async def _pass_on(self):
        """Wait until an attempt has sent all pieces, then drop them."""
        total = self.body_base + len(self.body)
        while not self._is_unwanted():
            if any(att.is_flushed(total) for att in self.attempts.values()):
                break
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        self.body_base = total
        self.body.clear()

    def chunks_from(self, index):
        """Return the pieces of the body from number `index` on."""
        return self.body[index - self.body_base :]

    @property
    def replayable(self):
        """Whether the whole body so far can be sent again."""
        return self.body_base == 0

    def finish(self):
        """Mark the request as complete and send what is left of it."""
        self.body_complete = True
        if self._finish_pending:
            self._finish_answer()
            return
        for att in list(self.attempts.values()):
            att.pump()

    def on_connection_close(self):
        """Cancel the call, because the caller has gone."""
        if self.ended:
            return
        self.answered = True
        self.proxy.dispatch(ev.CallerDisconnected(self.proxy.clock(), self.call_id))
        self._end()

    def wake(self, fut=None):
        """Let a piece of the body that waits look at its attempts again."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _on_deadline(self):
        proxy = self.proxy
        if not self.answered:
            proxy.dispatch(ev.DeadlinePassed(proxy.clock(), proxy.draw(), self.call_id))
            return
        for attempt_id in list(self.attempts):
            att = self.attempts[attempt_id]
            att.cancel()
            if att.forwarding:
                self.answer_done(attempt_id, False)

    # Answers of the node itself.

    def reject(self, status, code, verdict, detail):
        """Answer the caller with an error of the node."""
        headers = HTTPHeaders()
        headers["Content-Type"] = "application/json"
        headers["X-Verdict"] = verdict.value
        headers["X-Error-Code"] = code
        body = json.dumps({"error": code, "verdict": verdict.value, "detail": detail})
        self._answer(status, headers, body.encode())

    def replay(self, recorded):
        """Answer the caller with the recorded outcome of an earlier call."""
        headers = HTTPHeaders()
        if recorded.content_type:
            headers["Content-Type"] = recorded.content_type
        headers["X-Replayed"] = "1"
        headers["X-Verdict"] = Verdict.RAN.value
        if recorded.truncated:
            headers["X-Replay-Truncated"] = "1"
        self._answer(recorded.status, headers, recorded.body)

    def _answer(self, status, headers, body):
        if self.answered:
            return
        self.answered = True
        if status not in (204, 304):
            headers["Content-Length"] = str(len(body))
        elif body:
            body = b""
        start = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        self.proxy.mark_answer(headers)
        if self._must_close():
            headers["Connection"] = "close"
        if self.start_line.method == "HEAD":
            body = b""
        self.caller_conn.write_headers(start, headers, body)
        self._complete()

    # The attempts' side, called by the effects.

    def start_attempt(self, effect):
        """Start sending to a target."""
        if self.ended:
            return
        att = AttemptRunner(self, effect)
        self.attempts[effect.attempt_id] = att
        att.start()

    def cancel_attempt(self, attempt_id):
        """Drop an attempt whose answer is not wanted."""
        att = self.attempts.pop(attempt_id, None)
        if att is not None:
            att.discard()
            self.wake()

    def forward(self, attempt_id, record):
        """Pass the answer of an attempt on to the caller.

        Parameters
        ----------
        attempt_id : int
        record : bool
            Whether the beginning of the body is kept for the claim row.
        """
        att = self.attempts.get(attempt_id)
        if att is None or self.answered:
            return
        self.answered = True
        att.forwarding = True
        if record:
            self.recorded_body = bytearray()
        headers = answer_headers(att.response_headers)
        if att.response_start.code == 204:
            headers.pop("Content-Length", None)
        self.proxy.mark_answer(headers)
        self.pending_head = (att.response_start, headers)
        # A head whose body is slow to come is written without it.
        asyncio.get_running_loop().call_soon(self._write_pending_head)
        self.wake()

    def _write_pending_head(self, chunk=None):
        if self.pending_head is not None and not self.ended:
            (start, headers), self.pending_head = self.pending_head, None
            self.caller_conn.write_headers(start, headers, chunk)

    def write_answer(self, chunk):
        """Write a piece of the answer; the head goes with the first one.

        Returns
        -------
        IOStream or None
            The caller's stream, if it has to be waited for.
        """
        if self.ended:
            return None
        if self.recorded_body is not None:
            room = RECORDED_BODY_BYTES - len(self.recorded_body)
            self.recorded_body += chunk[:room]
            self.recorded_cut = self.recorded_cut or len(chunk) > room
        if self.pending_head is not None:
            self._write_pending_head(chunk)
        else:
            self.caller_conn.write(chunk)
        stream = self.caller_conn.stream
        if stream.closed() or not stream.writing():
            return None
        return stream

    def answer_done(self, attempt_id, whole):
        """End the call; a cut answer resets the caller's connection."""
        att = self.attempts.pop(attempt_id, None)
        if self.ended or att is None:
            return
        recorded = self._recorded(att) if whole else None
        proxy = self.proxy
        proxy.dispatch(ev.CallEnded(proxy.clock(), self.call_id, whole, recorded))
        if whole:
            self._write_pending_head()
            self._complete()
        elif self.pending_head is not None:
            self.pending_head = None
            self.answered = False
            detail = "the target's answer was cut"
            self.reject(502, "answer-cut", Verdict.RAN, detail)
        else:
            abort(self.caller_conn.stream)
            self._end()

    def _recorded(self, att):
        if self.recorded_body is None:
            return None
        return RecordedResponse(
            att.response_start.code,
            att.response_headers.get("Content-Type", ""),
            bytes(self.recorded_body),
            self.recorded_cut,
        )

    # The end of the call.

    def _must_close(self):
        """Return whether the caller's connection ends with an answer of the node.

        The rest of a request whose framing is not understood cannot be told from the
        next request, and a caller that waits for 100 Continue may never send it.
        """
        return self.call_id is None and (self._unframed or "Expect" in self.headers)

    def _complete(self):
        """Finish the answer, after the request has been read if there is more.

        tornado closes the connection of an answer that is finished within the
        request; a request without a body ends as soon as its head is handled.
        """
        if self.body_complete or self._must_close():
            self._finish_answer()
        else:
            self._finish_pending = True
            if self.has_body:
                loop = asyncio.get_running_loop()
                loop.call_later(LINGER_S, self._finish_answer)
        self._end()

    def _finish_answer(self):
        if self._finish_pending is not None:
            self._finish_pending = None
            if not self.caller_conn.stream.closed():
                self.caller_conn.finish()

    def _end(self):
        self.ended = True
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self.body.clear()
        self.wake()
        for att in list(self.attempts.values()):
            att.discard()
        self.attempts.clear()
        if self.call_id is not None:
            self.proxy.remove(self.call_id)
