"""pimentoline.attempt: sends a call to one target and reads the response.

The reducer is the function that decides about calls. It receives events through
`proxy.dispatch`. An event may carry a random integer from `proxy.draw`, on which the
reducer's random choices depend. A verdict says whether the target may have run the
call.
"""

import asyncio

from tornado.httputil import HTTPInputError, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from . import events as ev
from .headers import forwarded_request_headers, parse_load
from .streams import wait_flushed
from .verdict import Verdict

__all__ = ["AttemptRunner"]

# The rest of a response that is not needed is read for at most this long, so that the
# connection can be reused if the response ends in time.
DISCARD_TIMEOUT_S = 0.5


class AttemptRunner(HTTPMessageDelegate):
    """Runs one attempt of a call on a connection to a target.

    Parameters
    ----------
    handler : CallHandler
        Reads the request of the call, starts its attempts and writes its response.
    effect : StartAttempt
        Instruction of the reducer: address of the target, timeout and ids. If the call
        is not `idempotent`, only a very recently used connection is reused.

    Attributes
    ----------
    chunks_sent : int
        Number of chunks of the request body that were written.
    request_sent : bool
        Whether the whole request was written.
    cancelled : bool
        Whether the attempt has ended early; its connection is closed.
    discarding : bool
        Whether the response is read only to reuse the connection.
    forwarding : bool
        Whether the response is forwarded to the caller.
    complete : bool
        Whether the whole response was received.
    """

    def __init__(self, handler, effect):
        self.handler = handler
        self.effect = effect
        self.conn = None
        self._http = None
        self.chunks_sent = 0
        self.request_sent = False
        self.head_sent = False
        self.cancelled = False
        self.discarding = False
        self.forwarding = False
        self.response_start = None
        self.response_headers = None
        self.complete = False
        self._timer = None
        self._task = None

    def start(self):
        """Send the request on an idle connection, or on a new one once it is open."""
        if not self.handler.replayable:
            # The beginning of the body is no longer buffered and cannot be sent again.
            self._end(ev.AttemptOutcome.BROKEN, Verdict.NOT_RUN)
            return
        proxy = self.handler.proxy
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self.effect.timeout_s, self._on_timeout)
        conn = proxy.pool.take_idle(self.effect.addr, self.effect.idempotent)
        if conn is not None:
            self._send_on(conn)
        else:
            self._task = loop.create_task(self._connect())

    async def _connect(self):
        pool = self.handler.proxy.pool
        try:
            conn = await pool.acquire(self.effect.addr, self.effect.idempotent)
        except (OSError, StreamClosedError, asyncio.TimeoutError):
            self._end(ev.AttemptOutcome.REFUSED, Verdict.NOT_RUN)
            return
        if self.cancelled:
            pool.release(conn)
            return
        self._send_on(conn)

    def _send_on(self, conn):
        self.conn = conn
        self._http = conn.http_client()
        self.send_pending()
        if not self.cancelled:
            self._task = asyncio.get_running_loop().create_task(self._read())

    def send_pending(self):
        """Send the part of the request that has been received and not sent yet.

        `on_attempt_progress` makes the handler check whether an attempt has sent all
        chunks of the body, so that it can drop them from its buffer.
        """
        if self._http is None or self.cancelled or self.request_sent:
            return
        handler = self.handler
        if handler.proxy.clock() >= handler.req.deadline:
            # The process may have been paused since the attempt was scheduled.
            self._on_timeout()
            return
        chunks = handler.chunks_from(self.chunks_sent)
        if not self.head_sent:
            if handler.has_body and not chunks and not handler.body_complete:
                return
            self.head_sent = True
            self._write_head(chunks)
        else:
            for chunk in chunks:
                self._http.write(chunk)
        self.chunks_sent += len(chunks)
        if handler.body_complete or not handler.has_body:
            self.request_sent = True
            self._http.finish()
        elif self.conn.stream.writing():
            # The future of an empty write is done once all earlier writes are flushed.
            fut = self.conn.stream.write(b"")
            fut.add_done_callback(handler.on_attempt_progress)
        else:
            handler.on_attempt_progress()

    def _write_head(self, chunks):
        handler = self.handler
        method, path, _ = handler.start_line
        headers = forwarded_request_headers(
            handler.headers,
            handler.req,
            handler.has_body,
            self.effect.retry,
            handler.proxy.clock(),
        )
        start = RequestStartLine(method, path, "HTTP/1.1")
        self._http.write_headers(start, headers, b"".join(chunks) or None)

    def is_flushed(self, total):
        """Return whether `total` chunks of the body have been written to the socket."""
        return self.chunks_sent == total and self.head_sent and not self._is_writing()

    def _is_writing(self):
        stream = self.conn.stream
        return not stream.closed() and stream.writing()

    async def _read(self):
        try:
            await self._http.read_response(self)
        except (StreamClosedError, UnsatisfiableReadError, HTTPInputError):
            pass
        if self.cancelled:
            return
        if self.complete:
            self._release_connection()
        elif self.discarding:
            self.cancel()
        elif self.forwarding:
            self.cancel()
            # False: the response is truncated.
            self.handler.end_response(self.effect.attempt_id, False)
        else:
            ran = self.response_start is not None
            self._end(
                ev.AttemptOutcome.BROKEN, Verdict.RAN if ran else Verdict.MAY_HAVE_RUN
            )

    def _release_connection(self):
        self._stop_timer()
        start, headers = self.response_start, self.response_headers
        reusable = (
            self.request_sent
            and start.version == "HTTP/1.1"
            and "close" not in headers.get("Connection", "").lower()
        )
        if reusable:
            self.handler.proxy.pool.release(self.conn)
        else:
            self.conn.close()

    # Called by tornado while it reads the response.

    def headers_received(self, start_line, headers):
        """Pass the response head to the reducer, which decides what to do with it."""
        code = start_line.code
        if code < 200:
            return
        self._stop_timer()
        handler = self.handler
        framed = (
            "Content-Length" in headers
            or "Transfer-Encoding" in headers
            or code in (204, 304)
            or handler.start_line.method == "HEAD"
        )
        if not framed:
            # The response would end with the connection, so a truncated response
            # could not be told from a complete one.
            self._end(ev.AttemptOutcome.BROKEN, Verdict.RAN)
            return
        self.response_start = start_line
        self.response_headers = headers
        proxy = handler.proxy
        proxy.dispatch(
            ev.ResponseHeadReceived(
                proxy.clock(),
                proxy.draw(),
                handler.call_id,
                self.effect.attempt_id,
                code,
                code == 503 and headers.get("X-Not-Run") == "1",
                parse_load(headers.get("X-Target-Load")),
                handler.replayable,
            )
        )

    def data_received(self, chunk):
        """Forward a chunk of the response; the awaitable applies back-pressure."""
        if not self.forwarding:
            return None
        stream = self.handler.write_response(chunk)
        return wait_flushed(stream) if stream is not None else None

    def finish(self):
        """Handle the end of the response; end the call if it was forwarded."""
        if self.cancelled:
            return
        self.complete = True
        if not self.request_sent:
            # The target responded before it had read the whole request.
            self.conn.close()
        if self.forwarding:
            self.handler.end_response(self.effect.attempt_id, True)

    def on_connection_close(self):
        """Do nothing: `_read` handles a truncated response."""

    # End of the attempt.

    def cancel(self):
        """Drop the attempt and its connection."""
        self.cancelled = True
        self._stop_timer()
        if self.conn is not None:
            self.conn.close()
        elif self._task is not None:
            self._task.cancel()

    def discard(self):
        """Drop the attempt, but keep its connection if the response ends soon."""
        if self.response_start is None or not self.request_sent or self.cancelled:
            self.cancel()
            return
        self.discarding = True
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(DISCARD_TIMEOUT_S, self.cancel)

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self):
        outcome = ev.AttemptOutcome.TIMEOUT
        if self.conn is not None and self.conn.reused and self.head_sent:
            # Other idle connections may have been lost silently at the same time.
            self.handler.proxy.pool.close_idle(self.effect.addr)
            outcome = ev.AttemptOutcome.REUSED_CONNECTION_TIMEOUT
        sent = self.head_sent
        self._end(outcome, Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN)

    def _end(self, outcome, verdict):
        if self.cancelled:
            return
        self.cancel()
        handler = self.handler
        proxy = handler.proxy
        handler.attempts.pop(self.effect.attempt_id, None)
        proxy.dispatch(
            ev.AttemptEnded(
                proxy.clock(),
                proxy.draw(),
                handler.call_id,
                self.effect.attempt_id,
                outcome,
                verdict,
                handler.replayable,
            )
        )
        # Without attempts, the handler may no longer need the rest of the body.
        handler.on_attempt_progress()
