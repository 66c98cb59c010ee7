"""pimentoline.twohop.chunked: chunked request bodies that may end with trailers.

tornado rejects a body whose last chunk is followed by trailers, although HTTP allows
them. The reader here discards the trailers; the body is forwarded with a
`Content-Length`.
"""

import asyncio
import re

from tornado.httputil import HTTPInputError

__all__ = ["BodyTooLarge", "ChunkedReader"]

MAX_LINE_BYTES = 4096
MAX_TRAILER_LINES = 64
# Largest part of a body that is passed to `on_data` at once.
MAX_READ_BYTES = 64 * 1024
# Chunks up to this size are read together with the line end that follows them.
SMALL_CHUNK_BYTES = 4096
# After this much data, a body waits for its turn: in an iteration of the event loop,
# only one body goes on. Reads of received bytes would not let other tasks run.
BYTES_PER_TURN = 128 * 1024
# A chunk takes as much time as this much data.
CHUNK_COST_BYTES = 2048
# At most 15 hexadecimal digits (60 bits).
CHUNK_SIZE_PATTERN = re.compile(rb"[0-9A-Fa-f]{1,15}")


class BodyTooLarge(HTTPInputError):
    """The body is larger than the limit for request bodies."""


class ChunkedReader:
    """Reads a chunked body.

    Parameters
    ----------
    stream : IOStream
    on_data : callable
        Called with the bytes of each part of the body, without the framing.
    max_bytes : int
        Largest size of the body, bytes.
    turn : asyncio.Lock
        Shared by all bodies that take turns.
    """

    def __init__(self, stream, on_data, max_bytes, turn):
        self._stream = stream
        self._on_data = on_data
        self._max_bytes = max_bytes
        self._turn = turn
        self._work_bytes = 0

    async def read(self):
        """Read the body to its end.

        Raises
        ------
        BodyTooLarge
            If the body is larger than `max_bytes`.
        HTTPInputError
            If the framing is invalid.
        StreamClosedError
            If the connection closes before the end. tornado closes it if a line is
            longer than `MAX_LINE_BYTES`.
        """
        total = 0
        while True:
            line = await self._read_line()
            size_text = line.partition(b";")[0].rstrip(b" \t")
            if CHUNK_SIZE_PATTERN.fullmatch(size_text) is None:
                raise HTTPInputError(f"invalid chunk size {size_text[:20]!r}")
            size = int(size_text, 16)
            if size == 0:
                break
            total += size
            if total > self._max_bytes:
                raise BodyTooLarge(
                    f"request body is larger than {self._max_bytes} bytes"
                )
            await self._read_chunk(size)
        for _ in range(MAX_TRAILER_LINES):
            if not await self._read_line():
                return
        raise HTTPInputError(f"more than {MAX_TRAILER_LINES} trailer lines")

    async def _read_line(self):
        line = await self._stream.read_until(b"\r\n", max_bytes=MAX_LINE_BYTES)
        return line[:-2]

    async def _read_chunk(self, size):
        """Read the data of a chunk and the line end after it."""
        while size > SMALL_CHUNK_BYTES:
            data = await self._stream.read_bytes(
                min(size, MAX_READ_BYTES), partial=True
            )
            size -= len(data)
            self._on_data(data)
            await self._note_work(len(data))
        data = await self._stream.read_bytes(size + 2)
        if not data.endswith(b"\r\n"):
            raise HTTPInputError("chunk data is not followed by a line end")
        if size:
            self._on_data(data[:-2])
        await self._note_work(size + CHUNK_COST_BYTES)

    async def _note_work(self, size):
        self._work_bytes += size
        if self._work_bytes >= BYTES_PER_TURN:
            self._work_bytes = 0
            async with self._turn:
                await asyncio.sleep(0)
