"""pimentoline.proxy: the data port, its calls and their effects."""

import asyncio

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate

from . import effects as ef
from .arrivals import ArrivalClock
from .call_handler import CallHandler
from .headers import MAX_HEAD_BYTES
from .pool import MAX_BODY_BYTES

__all__ = ["DataServer", "Proxy"]

# tornado closes the connection without an answer at its own limit of a head.
SERVER_HEAD_BYTES = 4 * MAX_HEAD_BYTES
# Callers with idle connections get this long to make another call and learn from
# its answer that the node leaves.
IDLE_GRACE_S = 1.0


class DataServer(HTTPServer):
    """Server of the data port.

    `HTTPServer` does not tell its delegate when a connection is closed.

    Parameters
    ----------
    proxy : Proxy
    """

    def initialize(self, proxy):
        """Serve the calls of a proxy."""
        self._proxy = proxy
        super().initialize(
            proxy,
            chunk_size=64 * 1024,
            max_header_size=SERVER_HEAD_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )

    def on_close(self, server_conn):
        """Forget a caller's connection."""
        super().on_close(server_conn)
        self._proxy.on_close(server_conn)


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
        self.arrivals = ArrivalClock(clock)
        self.calls = {}
        self.stopping = False
        self._next_call = 1
        self._open = {}
        self._changed = asyncio.Event()

    def start_request(self, server_conn, request_conn):
        """Return the delegate of a new request."""
        handler = CallHandler(self, request_conn)
        self._open[server_conn] = handler
        return handler

    def on_close(self, server_conn):
        """Forget a caller's connection."""
        self._open.pop(server_conn, None)
        self._changed.set()

    def add(self, handler):
        """Register a call and return its number."""
        call_id = self._next_call
        self._next_call += 1
        self.calls[call_id] = handler
        return call_id

    def remove(self, call_id):
        """Forget a call that has ended."""
        self.calls.pop(call_id, None)

    def mark_answer(self, headers):
        """Tell the caller to use another connection if the node is stopping."""
        if self.stopping:
            headers["Connection"] = "close"

    def execute(self, effect):
        """Carry out an effect on a call; one whose call has ended is ignored."""
        handler = self.calls.get(effect.call_id)
        if handler is None:
            return
        match effect:
            case ef.StartAttempt():
                handler.start_attempt(effect)
            case ef.ForwardResponse():
                handler.forward(effect.attempt_id, effect.record)
            case ef.CancelAttempt():
                handler.cancel_attempt(effect.attempt_id)
            case ef.RejectCall():
                handler.reject(
                    effect.status, effect.code, effect.verdict, effect.detail
                )
            case ef.ReplayResponse():
                handler.replay(effect.recorded)

    def _is_idle(self, handler):
        return handler.call_id is None and not handler.answered

    async def stop(self, server):
        """Stop accepting, finish the calls in flight and close every connection.

        Parameters
        ----------
        server : HTTPServer
        """
        self.stopping = True
        # Requests read from now on are answered with `Connection: close`.
        server.conn_params.no_keep_alive = True
        # Connections that the kernel has completed but not handed over would be
        # reset with the listening socket; one turn of the loop accepts them.
        await asyncio.sleep(0)
        server.stop()
        loop = asyncio.get_running_loop()
        grace_until = loop.time() + IDLE_GRACE_S
        while self._open:
            self._changed.clear()
            graceful = loop.time() < grace_until
            for server_conn, handler in list(self._open.items()):
                if not graceful and self._is_idle(handler):
                    server_conn.stream.close()
            try:
                async with asyncio.timeout(0.05):
                    await self._changed.wait()
            except TimeoutError:
                pass
        self.arrivals.stop()
