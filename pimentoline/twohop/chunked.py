"""pimentoline.twohop.chunked: chunked bodies of callers, with trailers.

tornado refuses a body whose last chunk is followed by trailers. A call with them is
proper: they are read over, and the body goes on with its length.
"""

import re

from tornado.httputil import HTTPInputError

__all__ = ["BodyTooLarge", "read_chunked"]

MAX_LINE_BYTES = 4096
MAX_TRAILER_LINES = 64
PIECE_BYTES = 64 * 1024
SIZE = re.compile(rb"[0-9A-Fa-f]{1,15}")


class BodyTooLarge(HTTPInputError):
    """The body is larger than callers may send."""


async def _line(stream):
    line = await stream.read_until(b"\r\n", max_bytes=MAX_LINE_BYTES)
    return line[:-2]


async def read_chunked(stream, take, max_bytes):
    """Read a chunked body to its end.

    Parameters
    ----------
    stream : IOStream
    take : callable
        Called with each piece of the body.
    max_bytes : int

    Raises
    ------
    HTTPInputError
        If the framing is broken; `BodyTooLarge` beyond `max_bytes`.
    """
    total = 0
    while True:
        size_text = (await _line(stream)).partition(b";")[0].rstrip(b" \t")
        if SIZE.fullmatch(size_text) is None:
            raise HTTPInputError(f"chunk size {size_text[:20]!r}")
        size = int(size_text, 16)
        if size == 0:
            break
        total += size
        if total > max_bytes:
            raise BodyTooLarge(f"body of more than {max_bytes} bytes")
        while size:
            piece = await stream.read_bytes(min(size, PIECE_BYTES), partial=True)
            size -= len(piece)
            take(piece)
        if await stream.read_bytes(2) != b"\r\n":
            raise HTTPInputError("chunk does not end where it says")
    for _ in range(MAX_TRAILER_LINES):
        if not await _line(stream):
            return
    raise HTTPInputError(f"more than {MAX_TRAILER_LINES} trailers")
