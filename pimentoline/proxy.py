"""pimentoline.proxy: accepts calls and executes the reducer's effects on them.

The reducer is the function that decides about calls: it applies an event to the state
of the node and returns the effects to execute. The verdict in some effects says whether
a target may have run the call.
"""

import asyncio

from tornado.httputil import HTTPServerConnectionDelegate

from . import effects as ef
from .arrivals import ArrivalClock
from .call_handler import CallHandler
from .headers import MAX_HEAD_BYTES
from .http_server import ConnectionServer
from .pool import MAX_BODY_BYTES

__all__ = ["DataServer", "Proxy"]

# tornado closes the connection without a response if a request head is larger than
# this. Heads between MAX_HEAD_BYTES and this limit are answered with status 431.
TORNADO_MAX_HEAD_BYTES = 4 * MAX_HEAD_BYTES
# A stopping node keeps callers' idle connections open for this long, so that the
# response to a further call can announce the close with `Connection: close`.
IDLE_GRACE_S = 1.0


class DataServer(ConnectionServer):
    """HTTP server of the data port.

    Parameters
    ----------
    proxy : Proxy
    """

    def initialize(self, proxy):
        """Configure the server to pass its requests to a proxy."""
        super().initialize(
            proxy,
            chunk_size=64 * 1024,
            max_header_size=TORNADO_MAX_HEAD_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )


class Proxy(HTTPServerConnectionDelegate):
    """Accepts callers' requests and executes the effects on their calls.

    Parameters
    ----------
    dispatch : callable
        Passes an event to the reducer.
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
        # Determines the earliest arrival time of a request that may have waited in the
        # kernel while this process was paused.
        self.arrival_clock = ArrivalClock(clock)
        self.calls = {}
        self.stopping = False
        self._next_call_id = 1
        # By open connection of a caller: the handler of the current request or, while
        # the connection is idle, of the next one.
        self._handlers = {}
        self._connection_closed = asyncio.Event()

    def start_request(self, server_conn, request_conn):
        """Return the delegate for the next request, before its head has been read."""
        handler = CallHandler(self, request_conn)
        self._handlers[server_conn] = handler
        return handler

    def on_close(self, server_conn):
        """Remove a caller's connection."""
        self._handlers.pop(server_conn, None)
        self._connection_closed.set()

    def add_call(self, handler):
        """Register a call and return its id."""
        call_id = self._next_call_id
        self._next_call_id += 1
        self.calls[call_id] = handler
        return call_id

    def remove_call(self, call_id):
        """Remove a call that has ended."""
        self.calls.pop(call_id, None)

    def announce_close_if_stopping(self, headers):
        """Add `Connection: close` to response headers if the node is stopping."""
        if self.stopping:
            headers["Connection"] = "close"

    def execute(self, effect):
        """Execute an effect on a call; do nothing if the call has ended."""
        handler = self.calls.get(effect.call_id)
        if handler is None:
            return
        match effect:
            case ef.StartAttempt():
                handler.start_attempt(effect)
            case ef.ForwardResponse():
                # `record` tells whether to record the response for `ReplayResponse`.
                handler.forward_response(effect.attempt_id, effect.record)
            case ef.CancelAttempt():
                handler.cancel_attempt(effect.attempt_id)
            case ef.RejectCall():
                handler.reject(
                    effect.status, effect.code, effect.verdict, effect.detail
                )
            case ef.ReplayResponse():
                handler.replay(effect.recorded)

    def _is_idle(self, handler):
        """Return whether a handler is still waiting for its request head.

        A call that is rejected right after its head was read gets no id either, but its
        handler has responded.
        """
        return handler.call_id is None and not handler.responded

    async def stop(self, server):
        """Stop accepting, finish the calls in flight and close every connection.

        Parameters
        ----------
        server : HTTPServer
        """
        self.stopping = True
        # Responses to requests read from now on carry `Connection: close`.
        server.conn_params.no_keep_alive = True
        # Closing the listening socket would reset connections that the kernel has
        # completed and that are not accepted yet; one iteration of the event loop
        # accepts them.
        await asyncio.sleep(0)
        server.stop()
        loop = asyncio.get_running_loop()
        grace_end = loop.time() + IDLE_GRACE_S
        while self._handlers:
            self._connection_closed.clear()
            in_grace = loop.time() < grace_end
            for server_conn, handler in list(self._handlers.items()):
                if not in_grace and self._is_idle(handler):
                    server_conn.stream.close()
            try:
                async with asyncio.timeout(0.05):
                    await self._connection_closed.wait()
            except TimeoutError:
                pass
        self.arrival_clock.stop()
