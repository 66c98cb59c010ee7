"""pimentoline.twohop.links: long-lived TCP connections between nodes.

A call is a caller's request, which a node sends over a link to the node on the target's
host.
"""

import asyncio
import socket
from collections import deque

from ..errors import CodecError
from ..keepalive import Keepalive
from ..logs import log_entry
from ..streams import unacknowledged_bytes
from .bodies import CHUNK_BYTES, body_chunks
from .frames import BodyFrame, FrameReader, Ping, Pong, encode

__all__ = ["Link", "connect", "listen"]

# If a link with pending responses receives nothing for this long, a ping is sent.
PING_AFTER_S = 0.2
# If nothing arrives for this long after the ping, and the peer's host acknowledges no
# further bytes, the link is suspect: the peer gets no new calls, and its open calls may
# be retried elsewhere. The time is far more than a round trip between regions, but less
# than the retransmission of a lost packet takes.
SUSPECT_AFTER_S = 0.15
# After this time in the same state, the connection is closed. TCP retransmits lost
# packets after 0.2 to 0.6 s.
DEAD_AFTER_S = 1.2
# Interval between two calls of `Link.check`, seconds.
CHECK_INTERVAL_S = 0.05
# Finds dead connections without calls.
KEEPALIVE = Keepalive(idle_s=3, interval_s=1, count=3, user_timeout_ms=3000)
CONNECT_TIMEOUT_S = 1.0
# A connection with more unsent bytes than this is closed, since its peer does not read.
MAX_BACKLOG_BYTES = 8 * 1024 * 1024
# Chunks of large bodies are sent while fewer unsent bytes than this are buffered.
HIGH_WATER_BYTES = CHUNK_BYTES
LOW_WATER_BYTES = CHUNK_BYTES // 4


class Link(asyncio.Protocol):
    """A connection to another node that carries frames.

    Parameters
    ----------
    handler : object
        Its methods are called with the events of the link: `link_up(link)`,
        `frame_received(link, frame, body)`, `link_suspect(link, suspect)` and
        `link_lost(link, reason)`.
    clock : callable
        Monotonic clock, seconds.

    Attributes
    ----------
    pending_responses : int
        Calls sent on this link that have no response yet; updated by the sender of the
        calls.
    last_received_at : float
        When data were received last, monotonic time in seconds.
    peer : str
        Name of the other node, set by the handler; empty until it is known.
    """

    def __init__(self, handler, clock):
        self._handler = handler
        self._clock = clock
        self._reader = FrameReader()
        self._transport = None
        self._pinged_at = None
        # Time of the ping, or of the last progress after it.
        self._progress_at = 0.0
        self._written_bytes = 0
        self._acknowledged_bytes = 0
        # Whether it was logged that the system does not tell what is acknowledged.
        self._socket_unreadable = False
        self.last_received_at = 0.0
        self.pending_responses = 0
        self.peer = ""
        self.closed = False
        self._suspect = False
        # Large bodies that are being sent: (stream, iterator of the other chunks).
        self._outgoing_bodies = deque()
        self._writable = True

    def connection_made(self, transport):
        """Set the socket options and notify the handler."""
        self._transport = transport
        transport.set_write_buffer_limits(HIGH_WATER_BYTES, LOW_WATER_BYTES)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        KEEPALIVE.apply(sock)
        self.last_received_at = self._clock()
        self._handler.link_up(self)

    def data_received(self, data):
        """Pass complete frames to the handler, and reply to pings."""
        self.last_received_at = self._clock()
        self._pinged_at = None
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
        """Notify the handler."""
        self._mark_lost(str(exc) if exc else "closed by peer")

    def pause_writing(self):
        """Send no chunks of large bodies while the connection takes no more bytes."""
        self._writable = False

    def resume_writing(self):
        """Send further chunks of large bodies."""
        self._writable = True
        self._send_chunks()

    def send(self, frame, body=b""):
        """Send a frame; the large body of a call or response is split into several.

        The frames of one call have the same `stream`, its id on this link. A frame that
        belongs to no call has no `stream` and is not split. Chunks of a large body are
        sent as fast as the peer reads, in turn with those of other bodies.

        Parameters
        ----------
        frame : object
            A frame of `frames`.
        body : bytes or Body
        """
        if self.closed:
            return
        if len(body) <= CHUNK_BYTES or not hasattr(frame, "stream"):
            self._write(encode(frame, bytes(body)))
            return
        chunks = body_chunks(body)
        self._write(encode(frame, next(chunks)))
        self._outgoing_bodies.append((frame.stream, chunks))
        self._send_chunks()

    def stop_sending(self, stream):
        """Do not send the rest of the body of a stream."""
        for item in self._outgoing_bodies:
            if item[0] == stream:
                self._outgoing_bodies.remove(item)
                return

    def _send_chunks(self):
        while self._writable and self._outgoing_bodies and not self.closed:
            stream, chunks = self._outgoing_bodies.popleft()
            chunk = next(chunks, None)
            if chunk is not None:
                self._outgoing_bodies.append((stream, chunks))
                self._write(encode(BodyFrame(stream), chunk))

    def _write(self, data):
        self._written_bytes += len(data)
        self._transport.write(data)
        if self._transport.get_write_buffer_size() > MAX_BACKLOG_BYTES:
            self.close("peer does not read")

    def check(self, now):
        """Ping a silent peer; if it does not reply, mark it as suspect, then close.

        While large bodies are on their way to the peer, its reply may be late on a slow
        link. Therefore the time counts from the last acknowledgement by its host.

        A suspect link is also closed if all its calls have been cancelled meanwhile.
        Otherwise, the peer would get no calls until TCP finds the connection dead.
        """
        if self.closed or not (self.pending_responses or self._suspect):
            self._pinged_at = None
            return
        if self._pinged_at is None:
            if now - self.last_received_at > PING_AFTER_S:
                self._pinged_at = now
                self.send(Ping())
                self._note_progress(now)
                self._progress_at = now
            return
        self._note_progress(now)
        if now - self._progress_at > DEAD_AFTER_S:
            self.close("silent")
        elif now - self._progress_at > SUSPECT_AFTER_S:
            self._set_suspect(True)

    def _note_progress(self, now):
        unsent_bytes = self.unsent_bytes
        if unsent_bytes is None:
            return
        acknowledged_bytes = self._written_bytes - unsent_bytes
        if acknowledged_bytes > self._acknowledged_bytes:
            self._acknowledged_bytes = acknowledged_bytes
            self._progress_at = now

    @property
    def unsent_bytes(self):
        """Bytes sent that the peer's host has not acknowledged; None if unknown."""
        try:
            in_flight = unacknowledged_bytes(self._transport.get_extra_info("socket"))
        except (OSError, ValueError) as exc:
            if not self._socket_unreadable:
                self._socket_unreadable = True
                log_entry(
                    "peer:socket-unreadable", node=self.peer, detail=f"{exc!r:.80}"
                )
            return None
        return self._transport.get_write_buffer_size() + in_flight

    def _set_suspect(self, suspect):
        if suspect != self._suspect:
            self._suspect = suspect
            self._handler.link_suspect(self, suspect)

    def close(self, reason):
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()
        self._mark_lost(reason)

    def _mark_lost(self, reason):
        if not self.closed:
            self.closed = True
            self._outgoing_bodies.clear()
            self._handler.link_lost(self, reason)


async def connect(addr, handler, clock):
    """Return a new link to the node at `addr`, a tuple of host and port.

    Raises
    ------
    OSError, TimeoutError
        If the connection fails or takes longer than `CONNECT_TIMEOUT_S`.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        _, link = await loop.create_connection(lambda: Link(handler, clock), *addr)
    return link


async def listen(addr, handler, clock):
    """Return a server that accepts links at `addr`, a tuple of host and port."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Link(handler, clock), *addr, reuse_address=True, backlog=512
    )
