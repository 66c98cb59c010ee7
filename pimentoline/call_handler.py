"""pimentoline.call_handler: reads one call and writes its response.

A call is a request that a caller sends to this node, the load balancer process of a
host. The node sends it to targets in one or more attempts. The handler dispatches
events to the reducer, which decides about the call and returns effects; the proxy
executes these by calling methods of the handler. A verdict says whether a target may
have run the call.
"""

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
    check_framing,
    check_size,
    forwarded_response_headers,
    parse_request,
)
from .model import Call, RecordedResponse
from .streams import abort
from .verdict import Verdict

__all__ = ["CallHandler"]

# Request bodies up to this size are buffered so that the call can be retried.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
# A call may claim its idempotency key in the store, so that at most one call with the
# key runs. The claim records up to this much of the response body, to be replayed to
# retries with the same key.
MAX_RECORDED_BODY_BYTES = 4096
# After an early response, the rest of the request is read for this long. A caller
# that reads its response only after sending the whole request would lose the response
# if the connection were closed earlier.
LINGER_S = 5.0


class CallHandler(HTTPMessageDelegate):
    """Handles one call: its request, its attempts and its response.

    Parameters
    ----------
    proxy : Proxy
    caller_conn : HTTP1Connection

    Attributes
    ----------
    attempts : dict of int to AttemptRunner
        Attempts in progress, by attempt id.
    body_chunks : list of bytes
        Buffered chunks of the request body.
    dropped_chunks : int
        Number of earlier chunks that are no longer buffered.
    pending_head : tuple or None
        Start line and headers of a response whose first byte is not written yet.
    responded : bool
        Whether the response has been chosen, or the caller has disconnected.
    ended : bool
        Whether the call is over; the connection may still be in use.
    """

    def __init__(self, proxy, caller_conn):
        self.proxy = proxy
        self.caller_conn = caller_conn
        self.call_id = None
        self.attempts = {}
        self.has_body = False
        self.body_chunks = []
        self.dropped_chunks = 0
        self.body_bytes = 0
        self.body_complete = False
        self.responded = False
        self.ended = False
        self.pending_head = None
        self.recorded_body = None
        self.recorded_truncated = False
        # True while a response that has been written waits for the end of the request;
        # None once the response is finished.
        self._finish_pending = False
        self._bad_framing = False
        self._deadline_timer = None
        self._body_waiter = None

    # Called by tornado while it reads the request.

    def headers_received(self, start_line, headers):
        """Check the request head and start the call."""
        self.start_line = start_line
        self.headers = headers
        proxy = self.proxy
        now = proxy.clock()
        try:
            self.has_body = check_framing(start_line, headers)
        except RequestError as exc:
            # With these headers, tornado would send a response of its own.
            headers.pop("Transfer-Encoding", None)
            headers.pop("Content-Length", None)
            self._bad_framing = True
            self.reject(exc.status, exc.code, Verdict.NOT_RUN, exc.detail)
            return
        try:
            check_size(start_line, headers)
            # The request may have waited while this process was paused, so its
            # deadline counts from the earliest time at which it may have arrived.
            arrived = proxy.arrival_clock.earliest(now)
            req = parse_request(start_line, headers, arrived, proxy.ruleset())
        except RequestError as exc:
            self.reject(exc.status, exc.code, Verdict.NOT_RUN, exc.detail)
            return
        self.req = req
        if req.deadline <= now:
            detail = "the deadline passed before the call was read"
            self.reject(504, "deadline-exceeded", Verdict.NOT_RUN, detail)
            return
        self.call_id = proxy.add_call(self)
        # tornado reports a close through the delegate only while it reads the
        # request; afterwards it uses this callback.
        self.caller_conn.set_close_callback(self.on_connection_close)
        loop = asyncio.get_running_loop()
        self._deadline_timer = loop.call_later(req.deadline - now, self._on_deadline)
        # `draw` returns a random number, on which the reducer's random choices depend.
        proxy.dispatch(ev.CallArrived(now, proxy.draw(), Call(self.call_id, req, now)))

    def data_received(self, chunk):
        """Forward a chunk of the request body.

        Returns
        -------
        awaitable or None
            If not None, tornado reads no further chunk before it resolves.
        """
        if self._ignores_body():
            return None
        self.body_chunks.append(chunk)
        self.body_bytes += len(chunk)
        for attempt in list(self.attempts.values()):
            attempt.send_pending()
        if self.body_bytes <= MAX_BUFFERED_BODY_BYTES:
            return None
        return self._wait_until_sent()

    def _ignores_body(self):
        """Return whether the rest of the request body is no longer needed."""
        return self.ended or (self.responded and not self.attempts)

    async def _wait_until_sent(self):
        """Wait until an attempt has sent all chunks, then drop them from the buffer."""
        total = self.dropped_chunks + len(self.body_chunks)
        while not self._ignores_body():
            if any(attempt.is_flushed(total) for attempt in self.attempts.values()):
                break
            self._body_waiter = asyncio.get_running_loop().create_future()
            await self._body_waiter
        self.dropped_chunks = total
        self.body_chunks.clear()

    def chunks_from(self, index):
        """Return the chunks of the request body from number `index` on."""
        return self.body_chunks[index - self.dropped_chunks :]

    @property
    def replayable(self):
        """Whether the whole body received so far can be sent again."""
        return self.dropped_chunks == 0

    def finish(self):
        """Handle the end of the request: send the rest of it to the targets."""
        self.body_complete = True
        if self._finish_pending:
            self._finish_response()
            return
        for attempt in list(self.attempts.values()):
            attempt.send_pending()

    def on_connection_close(self):
        """Cancel the call, because the caller has disconnected."""
        if self.ended:
            return
        self.responded = True
        self.proxy.dispatch(ev.CallerDisconnected(self.proxy.clock(), self.call_id))
        self._end()

    def on_attempt_progress(self, fut=None):
        """Wake `_wait_until_sent`, which checks whether all chunks have been sent.

        Takes a future, so that it can be used as a callback.
        """
        if self._body_waiter is not None and not self._body_waiter.done():
            self._body_waiter.set_result(None)

    def _on_deadline(self):
        """Report the passed deadline; if a response is being forwarded, truncate it.

        The connections of the attempts are then closed, not kept for reuse.
        """
        proxy = self.proxy
        if not self.responded:
            proxy.dispatch(ev.DeadlinePassed(proxy.clock(), proxy.draw(), self.call_id))
            return
        for attempt_id in list(self.attempts):
            attempt = self.attempts[attempt_id]
            attempt.cancel()
            if attempt.forwarding:
                self.end_response(attempt_id, False)

    # Responses of the node itself.

    def reject(self, status, code, verdict, detail):
        """Respond to the caller with an error of the node."""
        headers = HTTPHeaders()
        headers["Content-Type"] = "application/json"
        headers["X-Verdict"] = verdict.value
        headers["X-Error-Code"] = code
        body = json.dumps({"error": code, "verdict": verdict.value, "detail": detail})
        self._respond(status, headers, body.encode())

    def replay(self, recorded):
        """Respond to the caller with the recorded response to an earlier call."""
        headers = HTTPHeaders()
        if recorded.content_type:
            headers["Content-Type"] = recorded.content_type
        headers["X-Replayed"] = "1"
        headers["X-Verdict"] = Verdict.RAN.value
        if recorded.truncated:
            headers["X-Replay-Truncated"] = "1"
        self._respond(recorded.status, headers, recorded.body)

    def _respond(self, status, headers, body):
        if self.responded:
            return
        self.responded = True
        if status not in (204, 304):
            headers["Content-Length"] = str(len(body))
        elif body:
            body = b""
        start = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        self.proxy.announce_close_if_stopping(headers)
        if self._must_close():
            headers["Connection"] = "close"
        if self.start_line.method == "HEAD":
            body = b""
        self.caller_conn.write_headers(start, headers, body)
        self._complete()

    # Attempts: called by the proxy, to execute effects, and by `AttemptRunner`.

    def start_attempt(self, effect):
        """Start the attempt at a target that a `StartAttempt` effect describes."""
        if self.ended:
            return
        attempt = AttemptRunner(self, effect)
        self.attempts[effect.attempt_id] = attempt
        attempt.start()

    def cancel_attempt(self, attempt_id):
        """Drop an attempt whose response is not needed.

        Its connection is kept for reuse if the response ends soon.
        """
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is not None:
            attempt.discard()
            self.on_attempt_progress()

    def forward_response(self, attempt_id, record):
        """Forward the response of an attempt to the caller.

        Parameters
        ----------
        attempt_id : int
        record : bool
            Whether the beginning of the body is recorded in the idempotency claim.
        """
        attempt = self.attempts.get(attempt_id)
        if attempt is None or self.responded:
            return
        self.responded = True
        attempt.forwarding = True
        if record:
            self.recorded_body = bytearray()
        headers = forwarded_response_headers(attempt.response_headers)
        if attempt.response_start.code == 204:
            headers.pop("Content-Length", None)
        self.proxy.announce_close_if_stopping(headers)
        self.pending_head = (attempt.response_start, headers)
        # The head is written alone if no chunk of the body arrives before the next
        # iteration of the event loop.
        asyncio.get_running_loop().call_soon(self._write_response_head)
        self.on_attempt_progress()

    def _write_response_head(self, chunk=None):
        if self.pending_head is not None and not self.ended:
            (start, headers), self.pending_head = self.pending_head, None
            self.caller_conn.write_headers(start, headers, chunk)

    def write_response(self, chunk):
        """Write a chunk of the response body; the head goes with the first one.

        Returns
        -------
        IOStream or None
            The caller's stream, if its buffer must be flushed before more is written.
        """
        if self.ended:
            return None
        if self.recorded_body is not None:
            remaining = MAX_RECORDED_BODY_BYTES - len(self.recorded_body)
            self.recorded_body += chunk[:remaining]
            self.recorded_truncated = self.recorded_truncated or len(chunk) > remaining
        if self.pending_head is not None:
            self._write_response_head(chunk)
        else:
            self.caller_conn.write(chunk)
        stream = self.caller_conn.stream
        if stream.closed() or not stream.writing():
            return None
        return stream

    def end_response(self, attempt_id, whole):
        """End the call after the response of an attempt has been forwarded.

        If the response is not `whole`, the caller gets an error of the node or, if a
        part of the response has been written, a reset of the connection.
        """
        attempt = self.attempts.pop(attempt_id, None)
        if self.ended or attempt is None:
            return
        recorded = self._recorded_response(attempt) if whole else None
        proxy = self.proxy
        proxy.dispatch(ev.CallEnded(proxy.clock(), self.call_id, whole, recorded))
        if whole:
            self._write_response_head()
            self._complete()
        elif self.pending_head is not None:
            self.pending_head = None
            self.responded = False
            detail = "the target's response was truncated"
            self.reject(502, "answer-cut", Verdict.RAN, detail)
        else:
            abort(self.caller_conn.stream)
            self._end()

    def _recorded_response(self, attempt):
        if self.recorded_body is None:
            return None
        return RecordedResponse(
            attempt.response_start.code,
            attempt.response_headers.get("Content-Type", ""),
            bytes(self.recorded_body),
            self.recorded_truncated,
        )

    # End of the call.

    def _must_close(self):
        """Return whether to close the caller's connection after an error of the node.

        This is needed only if the call was rejected before it got an id. The end of a
        request with invalid framing headers is unknown, and a caller that waits for
        100 Continue may never send the body.
        """
        return self.call_id is None and (self._bad_framing or "Expect" in self.headers)

    def _complete(self):
        """End the call, and finish the response once the request has been read.

        tornado closes the connection if the response is finished while the request is
        being read; a request without a body ends as soon as its head is handled.
        """
        if self.body_complete or self._must_close():
            self._finish_response()
        else:
            self._finish_pending = True
            if self.has_body:
                loop = asyncio.get_running_loop()
                loop.call_later(LINGER_S, self._finish_response)
        self._end()

    def _finish_response(self):
        if self._finish_pending is not None:
            self._finish_pending = None
            if not self.caller_conn.stream.closed():
                self.caller_conn.finish()

    def _end(self):
        self.ended = True
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self.body_chunks.clear()
        self.on_attempt_progress()
        for attempt in list(self.attempts.values()):
            attempt.discard()
        self.attempts.clear()
        if self.call_id is not None:
            self.proxy.remove_call(self.call_id)
