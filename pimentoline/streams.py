"""pimentoline.streams: flushing, resetting and reusing tornado streams."""

import fcntl
import re
import socket
import struct
import termios

from tornado.httputil import HTTPInputError
from tornado.iostream import IOStream, StreamClosedError

from .logs import log_entry

__all__ = ["TargetStream", "abort", "wait_flushed"]

# Value of SO_LINGER with which `close` sends a reset.
LINGER_RESET = struct.pack("ii", 1, 0)
INT = struct.Struct("i")
LF_WITHOUT_CR = re.compile(rb"(?<!\r)\n")
# Statuses are 100 to 599 (RFC 9110, section 15). Tornado takes any three digits.
VALID_STATUS = re.compile(rb"[\r\n]*HTTP/[0-9]\.[0-9] [1-5][0-9]{2} ")


async def wait_flushed(stream):
    """Wait until everything written so far has been sent, or the stream is closed.

    The futures of `HTTP1Connection` are not used for this: one that is pending
    when the connection clears its callbacks never resolves.
    """
    try:
        await stream.write(b"")
    except StreamClosedError:
        pass


def abort(stream):
    """Close a stream with a reset, so that the peer sees that a message is truncated.

    A response that ends with the connection (to an HTTP/1.0 caller) would look
    complete after an ordinary close.
    """
    if not stream.closed():
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        stream.close()


def unacknowledged_bytes(sock):
    """Return how many bytes written to a socket its peer has not acknowledged.

    Raises
    ------
    OSError
        If the system does not tell.
    """
    data = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(INT.size))
    return INT.unpack(data)[0]


def _has_unacknowledged_bytes(sock):
    """Return whether the peer has not acknowledged all bytes; true if unknown."""
    try:
        return unacknowledged_bytes(sock) > 0
    except OSError as exc:
        log_entry("target:socket-unreadable", detail=repr(exc)[:80])
        return True


class TargetStream(IOStream):
    """A stream to a target, for HTTP/1.1 responses with strictly checked heads.

    It can also tell whether it may be reused.

    Attributes
    ----------
    undelivered : bool
        Whether the stream closed before the target's host had acknowledged all that
        was written.
    """

    undelivered = False

    def close_fd(self):
        """Close the socket, and set `undelivered`."""
        self.undelivered = self.writing() or _has_unacknowledged_bytes(self.socket)
        super().close_fd()

    async def read_until_regex(self, regex, max_bytes=None):
        """Return the head of a response, which `regex` ends.

        Tornado also accepts line ends without CR. The target may have ended within its
        head after such a line end, and an empty body would then pass for the whole one.

        Raises
        ------
        HTTPInputError
            If a line ends without CR, or the status is not 100 to 599.
        """
        head = await super().read_until_regex(regex, max_bytes)
        if LF_WITHOUT_CR.search(head):
            raise HTTPInputError("a line of the response's head ends without CR")
        if VALID_STATUS.match(head) is None:
            raise HTTPInputError(f"invalid status line {head[:40]!r}")
        return head

    def is_reusable(self):
        """Return whether the stream is open, flushed and without unread bytes.

        Bytes that arrive between two requests belong to neither; the next request
        would receive them as its response.
        """
        if self.closed() or self._read_buffer_size or self.writing():
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False
