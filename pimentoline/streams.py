"""pimentoline.streams: back-pressure and the end of connections."""

import socket
import struct

from tornado.iostream import IOStream, StreamClosedError

__all__ = ["TargetStream", "abort", "flushed"]

LINGER_RESET = struct.pack("ii", 1, 0)


async def flushed(stream):
    """Wait until everything written so far has left the stream, or it is closed.

    The futures of `HTTP1Connection` are not used for this: one that is pending
    when the connection clears its callbacks never resolves.
    """
    try:
        await stream.write(b"")
    except StreamClosedError:
        pass


def abort(stream):
    """Close a stream with a reset, so that the peer sees that its message was cut.

    An answer that ends with the connection (to an HTTP/1.0 caller) would look
    whole after an ordinary close.
    """
    if not stream.closed():
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        stream.close()


class TargetStream(IOStream):
    """A connection to a target that can tell whether it is fit for reuse."""

    def is_quiet(self):
        """Return whether the stream is open and holds nothing that was not read.

        Bytes that arrive between two exchanges belong to no request; a request
        sent after them would receive them as its answer.
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
