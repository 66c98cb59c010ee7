"""pimentoline.pool: pooled HTTP/1.1 connections to targets."""

import asyncio
import socket
from collections import Counter, deque
from dataclasses import dataclass

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters

from .streams import TargetStream

__all__ = ["Pool", "PooledConnection"]

CONNECT_TIMEOUT_S = 1.0
# A connection may be lost without notice while it is idle. Closing idle connections
# early makes it rare that a lost one is reused.
MAX_IDLE_S = 5.0
MAX_AGE_S = 60.0
# A request that cannot be retried must not use a connection that the target may be
# about to close.
MAX_IDLE_NON_IDEMPOTENT_S = 1.0
CHUNK_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024**3
# Limit of connections, idle and in use, to a target whose own limit is not known. Calls
# beyond the limit wait for a connection until their deadline.
MAX_CONNECTIONS_PER_TARGET = 32
PARAMS = HTTP1ConnectionParameters(chunk_size=CHUNK_BYTES, max_body_size=MAX_BODY_BYTES)


@dataclass(slots=True, eq=False)
class PooledConnection:
    """A connection to a target.

    Attributes
    ----------
    created, last_used : float
        Monotonic times, seconds.
    reused : bool
        Whether the connection has been taken from the idle connections.
    counted : bool
        Whether the pool counts the connection towards the limit.
    """

    pool: "Pool"
    stream: TargetStream
    addr: tuple[str, int]
    created: float
    last_used: float
    reused: bool = False
    counted: bool = True

    def http_client(self):
        """Return an HTTP/1.1 client for one request on this connection."""
        return HTTP1Connection(self.stream, True, PARAMS)

    def close(self):
        """Close the connection; it is not used again."""
        self.stream.close()
        if self.counted:
            self.counted = False
            self.pool.on_connection_closed(self.addr)


class Pool:
    """Pools connections by target address; reuses the most recently used one first.

    Parameters
    ----------
    clock : callable
        Monotonic clock, seconds.
    get_limit : callable, optional
        Returns the maximum number of connections to a target address.
    keepalive : Keepalive, optional
        TCP options of the connections; the system's own if it is left out.
    """

    def __init__(
        self,
        clock,
        get_limit=lambda addr: MAX_CONNECTIONS_PER_TARGET,
        keepalive=None,
    ):
        self._clock = clock
        self._get_limit = get_limit
        self._keepalive = keepalive
        self._idle = {}
        self._open = Counter()
        self._waiters = {}

    def take_idle(self, addr, idempotent):
        """Return an idle connection that may be reused, or None.

        A call that is not `idempotent` gets only a connection used very recently.
        """
        conns = self._idle.get(addr)
        if not conns:
            return None
        now = self._clock()
        max_idle_s = MAX_IDLE_S if idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        while conns:
            conn = conns.pop()
            fresh = now - conn.last_used < max_idle_s
            if fresh and now - conn.created < MAX_AGE_S and conn.stream.is_reusable():
                conn.reused = True
                return conn
            conn.close()
        return None

    async def acquire(self, addr, idempotent):
        """Return an idle connection or a new one; wait while the limit is reached.

        Raises
        ------
        OSError, StreamClosedError, asyncio.TimeoutError
            No connection was made, so nothing was sent.
        """
        is_first_wait = True
        while True:
            conn = self.take_idle(addr, idempotent)
            if conn is not None:
                return conn
            if self._open[addr] < self._get_limit(addr):
                return await self._connect(addr)
            await self._wait(addr, is_first_wait)
            is_first_wait = False

    async def _wait(self, addr, is_first_wait):
        waiters = self._waiters.setdefault(addr, deque())
        fut = asyncio.get_running_loop().create_future()
        if is_first_wait:
            waiters.append(fut)
        else:
            # A woken call that found the connection taken goes back to the front.
            waiters.appendleft(fut)
        try:
            await fut
        except asyncio.CancelledError:
            # A call cancelled after it was woken leaves its turn to the next one.
            if fut.done() and not fut.cancelled():
                self._wake(addr)
            raise
        finally:
            if fut in waiters:
                waiters.remove(fut)

    def _wake(self, addr):
        waiters = self._waiters.get(addr)
        while waiters:
            fut = waiters.popleft()
            if not fut.done():
                fut.set_result(None)
                return

    async def _connect(self, addr):
        self._open[addr] += 1
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if self._keepalive is not None:
            self._keepalive.apply(sock)
        stream = TargetStream(sock, max_buffer_size=4 * CHUNK_BYTES)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.connect(addr)
        except BaseException:
            stream.close()
            self.on_connection_closed(addr)
            raise
        now = self._clock()
        return PooledConnection(self, stream, addr, now, now)

    def on_connection_closed(self, addr):
        """Decrement the count of connections and wake a call that waits for one."""
        self._open[addr] -= 1
        if self._open[addr] <= 0:
            del self._open[addr]
        self._wake(addr)

    def release(self, conn):
        """Return a connection to the pool; close it if it cannot be reused."""
        if not conn.stream.is_reusable():
            conn.close()
            return
        conn.last_used = self._clock()
        self._idle.setdefault(conn.addr, deque()).append(conn)
        self._wake(conn.addr)

    def close_idle(self, addr):
        """Close the idle connections to a target.

        If one connection to a target was lost silently, the others may be lost too.
        """
        for conn in self._idle.pop(addr, ()):
            conn.close()

    def close_expired(self):
        """Close the connections that have been idle for `MAX_IDLE_S`."""
        now = self._clock()
        for addr, conns in list(self._idle.items()):
            while conns and now - conns[0].last_used >= MAX_IDLE_S:
                conns.popleft().close()
            if not conns:
                del self._idle[addr]
