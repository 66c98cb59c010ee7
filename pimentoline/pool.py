"""pimentoline.pool: pooled HTTP/1.1 connections to targets."""

import asyncio
import socket
from collections import deque
from dataclasses import dataclass

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import IOStream, StreamClosedError

__all__ = ["Pool", "PooledConnection"]

CONNECT_TIMEOUT_S = 1.0
# A connection that went silent is rarely reused if idle ones are dropped early.
MAX_IDLE_S = 5.0
MAX_AGE_S = 60.0
# A connection that the target may be about to close must not carry a request
# that cannot be repeated.
MAX_IDLE_NON_IDEMPOTENT_S = 1.0
CHUNK_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024**3


@dataclass(slots=True)
class PooledConnection:
    """A connection to a target; `reused` is True after its first exchange."""

    stream: IOStream
    addr: tuple[str, int]
    created: float
    last_used: float
    reused: bool = False

    def exchange(self):
        """Return the HTTP/1.1 client for one request on this connection."""
        return HTTP1Connection(self.stream, True, PARAMS)

    def close(self):
        """Close the connection; it is not used again."""
        self.stream.close()


PARAMS = HTTP1ConnectionParameters(chunk_size=CHUNK_BYTES, max_body_size=MAX_BODY_BYTES)


class Pool:
    """Idle connections by target address, the latest used first."""

    def __init__(self, clock):
        self._clock = clock
        self._idle = {}

    def take_idle(self, addr, idempotent):
        """Return an idle connection that is fit for use, or None."""
        conns = self._idle.get(addr)
        now = self._clock()
        max_idle_s = MAX_IDLE_S if idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        while conns:
            conn = conns.pop()
            fresh = now - conn.last_used < max_idle_s
            if fresh and now - conn.created < MAX_AGE_S and not conn.stream.closed():
                conn.reused = True
                return conn
            conn.close()
        return None

    async def connect(self, addr, timeout_s):
        """Open a connection.

        Raises
        ------
        OSError, StreamClosedError, asyncio.TimeoutError
            No connection was made, so nothing was sent.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        stream = IOStream(sock, max_buffer_size=4 * CHUNK_BYTES)
        try:
            async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
                await stream.connect(addr)
        except (OSError, StreamClosedError, asyncio.TimeoutError):
            stream.close()
            raise
        now = self._clock()
        return PooledConnection(stream, addr, now, now)

    def give_back(self, conn):
        """Keep a connection whose last exchange ended cleanly."""
        conn.last_used = self._clock()
        self._idle.setdefault(conn.addr, deque()).append(conn)

    def close_idle(self, addr):
        """Close the idle connections to a target, as siblings of a silent one."""
        for conn in self._idle.pop(addr, ()):
            conn.close()

    def trim(self):
        """Close the connections that have been idle too long."""
        now = self._clock()
        for conns in self._idle.values():
            while conns and now - conns[0].last_used >= MAX_IDLE_S:
                conns.popleft().close()
