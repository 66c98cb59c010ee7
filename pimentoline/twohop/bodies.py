"""pimentoline.twohop.bodies: the bodies of requests and responses, and their memory."""

from dataclasses import dataclass

__all__ = [
    "CHUNK_BYTES",
    "Body",
    "BodyMemory",
    "NodeMemory",
    "body_chunks",
    "head_bytes",
]

# Bodies are stored, and sent to other nodes, in chunks of at most this size.
CHUNK_BYTES = 64 * 1024
# Bodies up to this size may use a part of the memory that larger ones may not.
SMALL_BODY_BYTES = CHUNK_BYTES
# Memory of a process without calls. The rest is shared as follows; what is left is for
# fragmentation and for what is not counted.
BASE_MEMORY_BYTES = 64_000_000
REQUEST_SHARE = 0.525
RESPONSE_SHARE = 0.2
CONNECTION_SHARE = 0.2
# Memory of a caller's connection: a head that is not complete, and what was read
# behind it.
CONNECTION_BYTES = 32 * 1024
MAX_RESPONSE_MEMORY_BYTES = 48 * 1024 * 1024
# When a caller may retry after a refusal for lack of memory, seconds.
NO_MEMORY_RETRY_AFTER_S = 0.5
# Memory of a head that is parsed and copied for the call: for each field, and for each
# byte of its text. Heads that take less than `MIN_COUNTED_HEAD_BYTES` are not counted.
FIELD_BYTES = 512
COPIES_OF_HEAD = 4
MIN_COUNTED_HEAD_BYTES = 32 * 1024
# Part of each share that only small bodies may use.
SMALL_BODY_SHARE = 0.05


class BodyMemory:
    """Bounds the memory of all bodies of one kind that this process holds.

    If they exceed it together, the largest body that may be rejected is rejected.

    Parameters
    ----------
    max_bytes : int
    reserved_bytes : int
        Part of `max_bytes` that only bodies up to `SMALL_BODY_BYTES` may use.

    Attributes
    ----------
    used_bytes : int
    """

    def __init__(self, max_bytes, reserved_bytes=0):
        self.max_bytes = max_bytes
        self._reserved_bytes = reserved_bytes
        # The function to call when a body is rejected, by body.
        self._rejectable = {}
        self.used_bytes = 0

    @property
    def max_body_bytes(self):
        """Size of the largest body that can be held."""
        return self.max_bytes - self._reserved_bytes

    def allow_rejection(self, body, on_reject):
        """Let a body be rejected from now on, which calls `on_reject()`."""
        self._rejectable[body] = on_reject

    def forbid_rejection(self, body):
        """Let a body be rejected no longer."""
        self._rejectable.pop(body, None)

    def note_growth(self, size):
        """Count `size` more bytes; reject bodies while there are too many."""
        self.used_bytes += size
        while self.used_bytes > self.max_body_bytes and self._rejectable:
            largest = max(self._rejectable, key=lambda body: body.memory_bytes)
            is_small = largest.memory_bytes <= SMALL_BODY_BYTES
            if is_small and self.used_bytes <= self.max_bytes:
                break
            on_reject = self._rejectable.pop(largest)
            largest.discard()
            on_reject()


@dataclass(frozen=True, slots=True)
class NodeMemory:
    """How a node shares the memory of its machine.

    Attributes
    ----------
    requests, responses : BodyMemory
        For the bodies.
    max_connections : int
        Number of callers' connections for which there is memory.
    """

    requests: BodyMemory
    responses: BodyMemory
    max_connections: int

    @classmethod
    def from_machine(cls, memory_bytes):
        """Share the memory of the machine.

        Parameters
        ----------
        memory_bytes : int
            Memory that the process may use in all.
        """
        free_bytes = max(memory_bytes - BASE_MEMORY_BYTES, 0)
        request_bytes = int(free_bytes * REQUEST_SHARE)
        response_bytes = min(
            int(free_bytes * RESPONSE_SHARE), MAX_RESPONSE_MEMORY_BYTES
        )
        return cls(
            *(
                BodyMemory(size, int(size * SMALL_BODY_SHARE))
                for size in (request_bytes, response_bytes)
            ),
            max_connections=int(free_bytes * CONNECTION_SHARE / CONNECTION_BYTES),
        )


def head_bytes(fields):
    """Return the memory that the head of a request takes, 0 if it is small.

    Parameters
    ----------
    fields : iterable of (str, str)
        Names and values.
    """
    size = sum(
        FIELD_BYTES + COPIES_OF_HEAD * (len(name) + len(value))
        for name, value in fields
    )
    return size if size >= MIN_COUNTED_HEAD_BYTES else 0


class Body:
    """The body of a request or response, in chunks.

    Its bytes count towards a `BodyMemory` until the object is no longer used.

    Parameters
    ----------
    memory : BodyMemory
    on_reject : callable, optional
        Called without arguments if the body is rejected, which `pin` prevents.

    Attributes
    ----------
    chunks : list of bytes-like
        Each has at most `CHUNK_BYTES`.
    size : int
        Size of all chunks, bytes.
    memory_bytes : int
        What counts: the size, and the memory of the message's head.
    rejected : bool
        Whether the body was discarded to free memory.
    """

    __slots__ = ("_memory", "chunks", "memory_bytes", "rejected", "size")

    def __init__(self, memory, on_reject=None):
        self._memory = memory
        self.chunks = []
        self.size = self.memory_bytes = 0
        self.rejected = False
        if on_reject is not None:
            memory.allow_rejection(self, on_reject)

    def __len__(self):
        """Return the size, bytes."""
        return self.size

    def __bytes__(self):
        """Return the whole body."""
        return b"".join(self.chunks)

    def __del__(self):
        """Count the bytes no longer."""
        self._memory.used_bytes -= self.memory_bytes

    def count_head(self, size):
        """Count the memory of the head, which may reject this body."""
        self.memory_bytes += size
        self._memory.note_growth(size)

    def append(self, data):
        """Add bytes at the end; small pieces are joined.

        Nothing is added to a body that was rejected, which this call may cause.
        """
        if self.rejected:
            return
        for start in range(0, len(data), CHUNK_BYTES):
            self._append_chunk(data[start : start + CHUNK_BYTES])
        self.size += len(data)
        self.memory_bytes += len(data)
        self._memory.note_growth(len(data))

    def _append_chunk(self, data):
        chunks = self.chunks
        if not chunks or len(chunks[-1]) + len(data) > CHUNK_BYTES:
            if chunks and isinstance(chunks[-1], bytearray):
                # A bytearray has room to grow, which is not counted.
                chunks[-1] = bytes(chunks[-1])
            chunks.append(data)
            return
        if not isinstance(chunks[-1], bytearray):
            chunks[-1] = bytearray(chunks[-1])
        chunks[-1] += data

    def allow_rejection(self, on_reject):
        """Let the body be rejected from now on, which calls `on_reject()`."""
        self._memory.allow_rejection(self, on_reject)

    def pin(self):
        """Keep the body even if the memory is exceeded."""
        self._memory.forbid_rejection(self)

    def discard(self):
        """Free the memory of the body."""
        self.rejected = True
        self.chunks = []
        self._memory.used_bytes -= self.memory_bytes
        self.size = self.memory_bytes = 0


def body_chunks(body):
    """Yield the bytes of a body, which is bytes or a `Body`, in chunks."""
    if isinstance(body, Body):
        yield from body.chunks
        return
    for start in range(0, len(body), CHUNK_BYTES):
        yield body[start : start + CHUNK_BYTES]
