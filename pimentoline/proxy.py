"""pimentoline.proxy: the path of a call from caller to target and back."""

import asyncio
import json

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from . import events as ev
from .model import Call, Request
from .verdict import Verdict

__all__ = ["CallHandler", "Proxy"]

# Bodies up to this size are kept so that an attempt can be repeated.
REPLAY_LIMIT_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
HOP_BY_HOP = frozenset(
    {
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    }
)
CALL_CLASSES = ("critical", "normal", "sheddable")


def end_to_end(headers):
    """Return the headers without those that belong to one connection."""
    dropped = HOP_BY_HOP
    if "Connection" in headers:
        named = headers["Connection"].split(",")
        dropped = dropped | {name.strip().title() for name in named}
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        if name not in dropped:
            kept.add(name, value)
    return kept


def parse_request(start, headers, now, ruleset):
    """Return the core's `Request` for a request head.

    Raises
    ------
    ValueError
        If a header of ours has a value that is not allowed.
    """
    service = headers.get("Host", "").split(":")[0].split(".")[0]
    path = start.path.split("?")[0]
    policy = ruleset.call_policy(service, start.method, path)
    budget_s = policy.deadline_s
    if "X-Deadline-Ms" in headers:
        budget_s = min(budget_s, int(headers["X-Deadline-Ms"]) / 1000.0)
    call_class = policy.call_class or headers.get("X-Call-Class", "normal")
    if call_class not in CALL_CLASSES:
        raise ValueError(f"X-Call-Class {call_class!r}")
    return Request(
        service,
        start.method,
        path,
        now + budget_s,
        call_class,
        int(headers.get("X-Call-Depth", "0")),
        int(headers.get("X-Retry-Attempt", "0")),
        headers.get("Idempotency-Key", ""),
    )


class Proxy(HTTPServerConnectionDelegate):
    """Accepts callers' requests and carries out the call effects.

    Parameters
    ----------
    dispatch : callable
        Hands an event to the reducer.
    pool : Pool
    clock : callable
        Monotonic clock, seconds.
    draw : callable
        Source of random 64-bit integers.
    ruleset : callable
        Returns the rules in force.
    """

    def __init__(self, dispatch, pool, clock, draw, ruleset):
        self.dispatch = dispatch
        self.pool = pool
        self.clock = clock
        self.draw = draw
        self.ruleset = ruleset
        self.calls = {}
        self._next_call = 1
        self._idle = asyncio.Event()
        self._idle.set()

    def start_request(self, server_conn, request_conn):
        """Return the delegate of a new request."""
        return CallHandler(self, request_conn)

    def on_close(self, server_conn):
        """Nothing is kept for a caller's connection."""

    def add(self, handler):
        """Register a call and return its number."""
        call_id = self._next_call
        self._next_call += 1
        self.calls[call_id] = handler
        self._idle.clear()
        return call_id

    def remove(self, call_id):
        """Forget a call that has ended."""
        self.calls.pop(call_id, None)
        if not self.calls:
            self._idle.set()

    async def wait_idle(self):
        """Wait until no call is in flight."""
        await self._idle.wait()


class CallHandler(HTTPMessageDelegate):
    """One call: the caller's side, and its attempts by number."""

    def __init__(self, proxy, caller_conn):
        self.proxy = proxy
        self.caller_conn = caller_conn
        self.call_id = None
        self.attempts = {}
        self.body = []
        self.body_bytes = 0
        self.body_complete = False
        self.body_dropped = False
        self.answered = False
        self.head_written = False
        self.pending_head = None
        self._attempt_ready = None

    # The caller's side.

    def headers_received(self, start_line, headers):
        """Read the request head and start the call."""
        self.start_line = start_line
        self.headers = headers
        self.has_body = "Content-Length" in headers or "Transfer-Encoding" in headers
        self.call_id = self.proxy.add(self)
        # tornado reports a close through the delegate only while it reads the
        # request; afterwards it uses this callback.
        self.caller_conn.set_close_callback(self.on_connection_close)
        now = self.proxy.clock()
        try:
            req = parse_request(start_line, headers, now, self.proxy.ruleset())
        except ValueError as exc:
            self.reject(400, "bad-request", Verdict.NOT_RUN, str(exc))
            return
        self.req = req
        call = Call(self.call_id, req, now)
        self.proxy.dispatch(ev.CallArrived(now, self.proxy.draw(), call))

    def data_received(self, chunk):
        """Pass a piece of the body on; the future gives back-pressure."""
        if self.answered and not self.attempts:
            return None
        self.body.append(chunk)
        self.body_bytes += len(chunk)
        writes = [att.pump() for att in self.attempts.values()]
        if self.body_bytes <= REPLAY_LIMIT_BYTES:
            return None
        return self._wait_sent(writes)

    async def _wait_sent(self, writes):
        for fut in writes:
            try:
                if fut is not None:
                    await fut
            except StreamClosedError:
                pass
        while not self.answered and not any(
            att.sent == len(self.body) for att in self.attempts.values()
        ):
            self._attempt_ready = asyncio.get_running_loop().create_future()
            await self._attempt_ready
        # Every piece has gone out on an attempt: a repeat is no longer possible.
        self.body_dropped = True
        self.body.clear()
        for att in self.attempts.values():
            att.sent = 0

    def finish(self):
        """Mark the request as complete and send what is left of it."""
        self.body_complete = True
        for att in list(self.attempts.values()):
            att.pump()

    def on_connection_close(self):
        """Cancel the call, because the caller has gone."""
        if self.call_id in self.proxy.calls:
            self.answered = True
            self._wake()
            self.proxy.dispatch(ev.CallerLeft(self.proxy.clock(), self.call_id))
            self._end()

    def _wake(self):
        if self._attempt_ready is not None and not self._attempt_ready.done():
            self._attempt_ready.set_result(None)

    @property
    def replayable(self):
        """Whether the whole body so far can be sent again."""
        return not self.body_dropped

    def reject(self, status, code, verdict, detail):
        """Answer the caller with an error of our own."""
        if self.answered:
            return
        self.answered = True
        self._wake()
        body = json.dumps({"error": code, "verdict": verdict.value, "detail": detail})
        headers = HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
                "X-Verdict": verdict.value,
                "X-Error-Code": code,
            }
        )
        start = ResponseStartLine("HTTP/1.1", status, "Error")
        try:
            self.caller_conn.write_headers(start, headers, body.encode())
            self.caller_conn.finish()
        except StreamClosedError:
            pass
        self._end()

    def _end(self):
        self.proxy.remove(self.call_id)

    # The attempts' side, called by the effects.

    def start_attempt(self, effect):
        """Start sending to a target."""
        att = AttemptRunner(self, effect)
        self.attempts[effect.attempt_id] = att
        att.start()

    def cancel_attempt(self, attempt_id):
        """Close an attempt whose answer is no longer wanted."""
        att = self.attempts.pop(attempt_id, None)
        if att is not None:
            att.cancel()

    def forward(self, attempt_id):
        """Pass the answer of an attempt on to the caller."""
        self.answered = True
        self._wake()
        att = self.attempts[attempt_id]
        att.forwarding = True
        headers = end_to_end(att.response_headers)
        self.pending_head = (att.response_start, headers)

    def write_answer(self, chunk=None):
        """Write a piece of the answer; the head goes with the first one."""
        if self.pending_head is not None:
            (start, headers), self.pending_head = self.pending_head, None
            return self.caller_conn.write_headers(start, headers, chunk)
        return self.caller_conn.write(chunk) if chunk else None

    def answer_done(self, attempt_id, whole):
        """End the call; a cut answer closes the caller's connection."""
        self.attempts.pop(attempt_id, None)
        if self.call_id not in self.proxy.calls:
            return
        if whole:
            self.write_answer()
            self.caller_conn.finish()
        else:
            self.caller_conn.close()
        self.proxy.dispatch(ev.CallEnded(self.proxy.clock(), self.call_id, whole))
        self._end()


class AttemptRunner(HTTPMessageDelegate):
    """One attempt: a connection to a target and the answer read from it."""

    def __init__(self, handler, effect):
        self.handler = handler
        self.effect = effect
        self.conn = None
        self.exchange = None
        self.sent = 0
        self.finished = False
        self.head_sent = False
        self.cancelled = False
        self.forwarding = False
        self.response_start = None
        self.response_headers = None
        self.complete = False
        self._timer = None

    def start(self):
        """Send at once on an idle connection, or connect first."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self.effect.timeout_s, self._on_timeout)
        proxy = self.handler.proxy
        conn = proxy.pool.take_idle(self.effect.addr, self.effect.idempotent)
        if conn is not None:
            self._use(conn)
        else:
            loop.create_task(self._connect())

    async def _connect(self):
        pool = self.handler.proxy.pool
        try:
            conn = await pool.connect(self.effect.addr, self.effect.timeout_s)
        except (OSError, StreamClosedError, asyncio.TimeoutError):
            self._ended(ev.Outcome.REFUSED, Verdict.NOT_RUN)
            return
        if self.cancelled:
            pool.give_back(conn)
            return
        self._use(conn)

    def _use(self, conn):
        self.conn = conn
        self.exchange = conn.exchange()
        self.pump()
        asyncio.get_running_loop().create_task(self._read())

    def _request_headers(self):
        handler = self.handler
        headers = end_to_end(handler.headers)
        left_ms = int((handler.req.deadline - handler.proxy.clock()) * 1000)
        headers["X-Deadline-Ms"] = str(max(left_ms, 1))
        headers["X-Call-Class"] = handler.req.call_class
        headers["X-Call-Depth"] = str(handler.req.depth + 1)
        if self.effect.retry or handler.req.retry_attempt:
            headers["X-Retry-Attempt"] = str(handler.req.retry_attempt + 1)
        return headers

    def pump(self):
        """Write what the caller has sent so far; return the last write's future."""
        if self.exchange is None or self.cancelled or self.finished:
            return None
        handler = self.handler
        chunks = handler.body[self.sent :]
        self.sent = len(handler.body)
        if not self.head_sent and handler.has_body and not chunks:
            if not handler.body_complete:
                return None
        fut = None
        if not self.head_sent:
            self.head_sent = True
            start = RequestStartLine(
                handler.start_line.method, handler.start_line.path, "HTTP/1.1"
            )
            first = b"".join(chunks) or None
            fut = self.exchange.write_headers(start, self._request_headers(), first)
        else:
            for chunk in chunks:
                fut = self.exchange.write(chunk)
        if handler.body_complete or not handler.has_body:
            self.finished = True
            self.exchange.finish()
        handler._wake()
        return fut

    async def _read(self):
        try:
            await self.exchange.read_response(self)
        except (StreamClosedError, HTTPInputError):
            pass
        if self.cancelled:
            return
        if self.complete:
            self._give_back()
        elif self.response_start is None or not self.forwarding:
            verdict = Verdict.MAY_HAVE_RUN if self.head_sent else Verdict.NOT_RUN
            self._ended(ev.Outcome.BROKEN, verdict)
        else:
            self.conn.close()
            self.handler.answer_done(self.effect.attempt_id, False)

    def _give_back(self):
        keep = self.response_headers.get("Connection", "").lower() != "close"
        if keep and self.finished and not self.conn.stream.closed():
            self.handler.proxy.pool.give_back(self.conn)
        else:
            self.conn.close()

    def headers_received(self, start_line, headers):
        """Read the response head and let the core decide on it."""
        if start_line.code < 200:
            return
        self._stop_timer()
        self.response_start = start_line
        self.response_headers = headers
        handler = self.handler
        event = ev.HeadReceived(
            handler.proxy.clock(),
            handler.proxy.draw(),
            handler.call_id,
            self.effect.attempt_id,
            start_line.code,
            start_line.code == 503 and headers.get("X-Not-Run") == "1",
            parse_load(headers.get("X-Target-Load")),
        )
        handler.proxy.dispatch(event)

    def data_received(self, chunk):
        """Pass a piece of the answer on; the future gives back-pressure."""
        if self.forwarding:
            return self.handler.write_answer(chunk)
        return None

    def finish(self):
        """End the call, because the answer is complete."""
        self.complete = True
        if self.forwarding:
            self.handler.answer_done(self.effect.attempt_id, True)

    def on_connection_close(self):
        """Ignore a cut answer here; `_read` handles it."""

    def cancel(self):
        """Drop the attempt and its connection."""
        self.cancelled = True
        self._stop_timer()
        if self.conn is not None:
            self.conn.close()

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()

    def _on_timeout(self):
        if self.conn is not None and self.conn.reused:
            self.handler.proxy.pool.close_idle(self.effect.addr)
        verdict = Verdict.MAY_HAVE_RUN if self.head_sent else Verdict.NOT_RUN
        self._ended(ev.Outcome.TIMEOUT, verdict)

    def _ended(self, outcome, verdict):
        if self.cancelled:
            return
        self.cancel()
        handler = self.handler
        handler.attempts.pop(self.effect.attempt_id, None)
        handler.proxy.dispatch(
            ev.AttemptEnded(
                handler.proxy.clock(),
                handler.proxy.draw(),
                handler.call_id,
                self.effect.attempt_id,
                outcome,
                verdict,
                handler.replayable,
            )
        )


def parse_load(text):
    """Return the requests in flight of an `X-Target-Load` header, or None."""
    try:
        return float(text.split("/")[0]) if text else None
    except ValueError:
        return None


PARAMS = HTTP1ConnectionParameters(
    chunk_size=64 * 1024, max_header_size=MAX_HEAD_BYTES, max_body_size=16 * 1024**3
)
