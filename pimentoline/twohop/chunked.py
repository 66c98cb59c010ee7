"""pimentoline.twohop.chunked: chunked request bodies that may end with trailers.

tornado rejects a body whose last chunk is followed by trailers, although HTTP allows
them. The reader here discards the trailers; the body is forwarded with a
`Content-Length`.
"""

import re

from tornado.httputil import HTTPInputError

__all__ = ["BodyTooLarge", "read_chunked"]

MAX_LINE_BYTES = 4096
MAX_TRAILER_LINES = 64
# Largest part of a body that is passed to `on_data` at once.
MAX_READ_BYTES = 64 * 1024
# At most 15 hexadecimal digits (60 bits).
CHUNK_SIZE_PATTERN = re.compile(rb"[0-9A-Fa-f]{1,15}")


class BodyTooLarge(HTTPInputError):
    """The body is larger than the limit for request bodies."""


async def _read_line(stream):
    line = await stream.read_until(b"\r\n", max_bytes=MAX_LINE_BYTES)
    return line[:-2]


async def read_chunked(stream, on_data, max_bytes):
    """Read a chunked body to its end.

    Parameters
    ----------
    stream : IOStream
    on_data : callable
        Called with the bytes of each part of the body, without the framing.
    max_bytes : int
        Largest size of the body, bytes.

    Raises
    ------
    BodyTooLarge
        If the body is larger than `max_bytes`.
    HTTPInputError
        If the framing is invalid.
    StreamClosedError
        If the connection closes before the end. tornado closes it if a line is longer
        than `MAX_LINE_BYTES`.
    """
    total = 0
    while True:
        size_text = (await _read_line(stream)).partition(b";")[0].rstrip(b" \t")
        if CHUNK_SIZE_PATTERN.fullmatch(size_text) is None:
            raise HTTPInputError(f"invalid chunk size {size_text[:20]!r}")
        size = int(size_text, 16)
        if size == 0:
            break
        total += size
        if total > max_bytes:
            raise BodyTooLarge(f"request body is larger than {max_bytes} bytes")
        while size:
            data = await stream.read_bytes(min(size, MAX_READ_BYTES), partial=True)
            size -= len(data)
            on_data(data)
        if await stream.read_bytes(2) != b"\r\n":
            raise HTTPInputError("chunk data is not followed by a line end")
    for _ in range(MAX_TRAILER_LINES):
        if not await _read_line(stream):
            return
    raise HTTPInputError(f"more than {MAX_TRAILER_LINES} trailer lines")
