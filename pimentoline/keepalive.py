"""pimentoline.keepalive: TCP options that detect connections that went silent."""

import socket
from dataclasses import dataclass

__all__ = ["Keepalive"]


@dataclass(frozen=True, slots=True)
class Keepalive:
    """When TCP closes a connection whose peer no longer responds.

    Attributes
    ----------
    idle_s : int
        Time without data until the first keep-alive probe, seconds.
    interval_s : int
        Time between probes, seconds.
    count : int
        Unanswered probes after which the connection is closed.
    user_timeout_ms : int
        Longest time that sent data or a probe stays unacknowledged, milliseconds.
    """

    idle_s: int
    interval_s: int
    count: int
    user_timeout_ms: int

    def apply(self, sock):
        """Set the options of a TCP socket."""
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, self.idle_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, self.interval_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, self.count)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self.user_timeout_ms
        )
