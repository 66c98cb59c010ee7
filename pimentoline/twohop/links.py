"""pimentoline.twohop.links: long-lived connections between nodes."""

import asyncio
import socket

from ..errors import CodecError
from .frames import PIECE_BYTES, BodyFrame, FrameReader, Ping, Pong, encode

__all__ = ["Link", "connect", "listen"]

# A peer that is silent this long while answers are due is asked for a sign of life.
QUIET_S = 0.2
# Without an answer to that for this long, the peer gets no new calls: far more than a
# round trip between regions, and less than a lost packet takes.
SUSPECT_S = 0.15
# Without any byte for this long after being asked, the connection counts as dead.
# Lost packets are sent again after 0.2 to 0.6 s.
DEAD_S = 1.2
CHECK_S = 0.05
# Keep-alive of the operating system for links without calls, seconds.
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 3
USER_TIMEOUT_MS = 3000
CONNECT_TIMEOUT_S = 1.0
# Bytes that wait for a peer that does not read, before it counts as stuck.
MAX_BACKLOG_BYTES = 32 * 1024 * 1024


class Link(asyncio.Protocol):
    """One connection to another node.

    Parameters
    ----------
    handler : object
        `link_up(link)`, `frame_received(link, frame, body)`, `link_suspect(link,
        suspect)` and `link_lost(link, reason)`.
    clock : callable
        Monotonic clock, seconds.
    """

    def __init__(self, handler, clock):
        self._handler = handler
        self._clock = clock
        self._reader = FrameReader()
        self._transport = None
        self._asked_at = None
        self.heard_at = 0.0
        self.due = 0
        self.peer = ""
        self.closed = False
        self._suspect = False

    def connection_made(self, transport):
        """Set the options of the socket."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self.heard_at = self._clock()
        self._handler.link_up(self)

    def data_received(self, data):
        """Hand on the frames that are complete."""
        self.heard_at = self._clock()
        self._asked_at = None
        self._set_suspect(False)
        try:
            frames = self._reader.feed(data)
        except CodecError as exc:
            self.close(exc.detail)
            return
        for frame, body in frames:
            match frame:
                case Ping():
                    self.send(Pong())
                case Pong():
                    pass
                case _:
                    self._handler.frame_received(self, frame, body)

    def connection_lost(self, exc):
        """Tell the handler."""
        self._end(str(exc) if exc else "closed by peer")

    def send(self, frame, body=b""):
        """Send a frame; a large body follows in pieces."""
        if self.closed:
            return
        if len(body) <= PIECE_BYTES or not hasattr(frame, "stream"):
            self._transport.write(encode(frame, body))
            return
        self._transport.write(encode(frame, body[:PIECE_BYTES]))
        for start in range(PIECE_BYTES, len(body), PIECE_BYTES):
            piece = body[start : start + PIECE_BYTES]
            self._transport.write(encode(BodyFrame(frame.stream), piece))
        # Small frames alone cannot fill the buffer within the time of `check`.
        if self._transport.get_write_buffer_size() > MAX_BACKLOG_BYTES:
            self.close("peer does not read")

    def check(self, now):
        """Ask a silent peer for a sign of life, or give it up."""
        if self.closed or not self.due:
            self._asked_at = None
            return
        if self._asked_at is None:
            if now - self.heard_at > QUIET_S:
                self._asked_at = now
                self.send(Ping())
        elif now - self._asked_at > DEAD_S:
            self.close("silent")
        elif now - self._asked_at > SUSPECT_S:
            self._set_suspect(True)

    def _set_suspect(self, suspect):
        if suspect != self._suspect:
            self._suspect = suspect
            self._handler.link_suspect(self, suspect)

    def close(self, reason):
        """Drop the connection."""
        if self._transport is not None:
            self._transport.abort()
        self._end(reason)

    def _end(self, reason):
        if not self.closed:
            self.closed = True
            self._handler.link_lost(self, reason)


async def connect(addr, handler, clock):
    """Return a new link to a node.

    Raises
    ------
    OSError, TimeoutError
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        _, link = await loop.create_connection(lambda: Link(handler, clock), *addr)
    return link


async def listen(addr, handler, clock):
    """Return a server that accepts links."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Link(handler, clock), *addr, reuse_address=True, backlog=512
    )
