"""pimentoline.twohop.frames: messages between nodes, as Cap'n Proto.

On the wire a frame is its head's length and its body's length (32 bits each,
little-endian), the packed head and the body's bytes.
"""

import struct
from dataclasses import dataclass
from pathlib import Path

import capnp

from ..errors import CodecError
from ..verdict import Verdict
from .model import LoadReport

__all__ = [
    "ResponseFrame",
    "BodyFrame",
    "FailedFrame",
    "CallFrame",
    "CancelFrame",
    "ConfigFrame",
    "ConfigWanted",
    "FrameReader",
    "Hello",
    "LoadFrame",
    "MembersFrame",
    "Ping",
    "Pong",
    "RefusedFrame",
    "encode",
]

capnp.remove_import_hook()
SCHEMA = capnp.load(str(Path(__file__).with_name("frames.capnp")))
PREFIX = struct.Struct("<II")
# Bodies travel in pieces, so that a large one does not hold up other calls.
PIECE_BYTES = 64 * 1024
MAX_HEAD_BYTES = 256 * 1024
# Largest body that is carried, the same as the default limit for callers.
MAX_BODY_BYTES = 64 * 1024 * 1024
# Steps of a rate in one byte.
RATE_STEPS = 255.0
VERDICTS = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame in each direction; names the sender and its configuration."""

    node: str
    version: int
    load: LoadReport


@dataclass(frozen=True, slots=True)
class CallFrame:
    """A call for the target; `goal_ms` and `remaining_ms` count from its sending.

    `body_bytes` of body follow, in this frame and in `BodyFrame`s.
    """

    stream: int
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    caller_service: str
    goal_ms: int
    remaining_ms: int
    priority: int
    retryable: bool
    last_resort: bool
    body_bytes: int


@dataclass(frozen=True, slots=True)
class BodyFrame:
    """The next piece of a call's or an answer's body."""

    stream: int


@dataclass(frozen=True, slots=True)
class ResponseFrame:
    """An answer that the target gave in full."""

    stream: int
    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body_bytes: int
    load: LoadReport


@dataclass(frozen=True, slots=True)
class RefusedFrame:
    """The call has not run and will not; `at_target` if the target said so."""

    stream: int
    reason: str
    retry_after_ms: int
    at_target: bool
    load: LoadReport


@dataclass(frozen=True, slots=True)
class FailedFrame:
    """The call ended at the target without a usable answer."""

    stream: int
    reason: str
    verdict: Verdict
    load: LoadReport


@dataclass(frozen=True, slots=True)
class CancelFrame:
    """The caller no longer wants the answer."""

    stream: int


@dataclass(frozen=True, slots=True)
class LoadFrame:
    """A change that other nodes should know at once."""

    load: LoadReport
    version: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for a sign of life."""


@dataclass(frozen=True, slots=True)
class Pong:
    """Answers a `Ping`."""


@dataclass(frozen=True, slots=True)
class ConfigWanted:
    """Asks for the configuration of the receiver."""


@dataclass(frozen=True, slots=True)
class ConfigFrame:
    """A configuration; its text is the body."""

    version: int


@dataclass(frozen=True, slots=True)
class MembersFrame:
    """The members that the sender knows, as JSON in the body."""


KINDS = (
    Hello,
    CallFrame,
    BodyFrame,
    ResponseFrame,
    RefusedFrame,
    FailedFrame,
    CancelFrame,
    LoadFrame,
    Ping,
    Pong,
    ConfigWanted,
    ConfigFrame,
    MembersFrame,
)
NUMBER_OF = {kind: number for number, kind in enumerate(KINDS)}


def _pack_headers(headers):
    return "\n".join(f"{name}:{value}" for name, value in headers).encode("latin1")


def _unpack_headers(data):
    if not data:
        return ()
    lines = bytes(data).decode("latin1").split("\n")
    return tuple(tuple(line.split(":", 1)) for line in lines)


def _fields(frame):
    """Return the fields of the head, other than kind and load."""
    match frame:
        case Hello():
            return {"node": frame.node, "version": frame.version}
        case CallFrame():
            return {
                "stream": frame.stream,
                "service": frame.service,
                "method": frame.method,
                "path": frame.path,
                "headers": _pack_headers(frame.headers),
                "callerService": frame.caller_service,
                "goalMs": frame.goal_ms,
                "leftMs": frame.remaining_ms,
                "priority": min(max(frame.priority, 0), 255),
                "repeatable": frame.retryable,
                "lastResort": frame.last_resort,
                "bodyBytes": frame.body_bytes,
            }
        case ResponseFrame():
            return {
                "stream": frame.stream,
                "status": frame.status,
                "reason": frame.reason,
                "headers": _pack_headers(frame.headers),
                "bodyBytes": frame.body_bytes,
            }
        case RefusedFrame():
            return {
                "stream": frame.stream,
                "reason": frame.reason,
                "retryAfterMs": frame.retry_after_ms,
                "repeatable": frame.at_target,
            }
        case FailedFrame():
            return {
                "stream": frame.stream,
                "reason": frame.reason,
                "verdict": VERDICTS.index(frame.verdict),
            }
        case BodyFrame() | CancelFrame():
            return {"stream": frame.stream}
        case LoadFrame() | ConfigFrame():
            return {"version": frame.version}
        case Ping() | Pong() | ConfigWanted() | MembersFrame():
            return {}
    raise TypeError(f"unknown frame {frame!r:.80}")


def encode(frame, body=b""):
    """Return the bytes of a frame and the first piece of its body."""
    fields = _fields(frame)
    load = getattr(frame, "load", None)
    if load is not None:
        fields |= {
            "hasLoad": True,
            "accepting": load.accepting,
            "running": load.running,
            "queued": load.queued,
            "limit": load.limit,
            "delayMs": load.delay_ms,
            "restMs": load.rest_ms,
            "badRate": round((1.0 - load.good_rate) * RATE_STEPS),
            "coldMs": load.cold_ms,
        }
    head = SCHEMA.Frame.new_message(kind=NUMBER_OF[type(frame)], **fields)
    packed = head.to_bytes_packed()
    return PREFIX.pack(len(packed), len(body)) + packed + body


def _load(head):
    return LoadReport(
        head.accepting,
        head.running,
        head.queued,
        max(head.limit, 1),
        head.delayMs,
        head.restMs,
        1.0 - head.badRate / RATE_STEPS,
        head.coldMs,
    )


def _decode(packed):
    """Return the frame of a packed head.

    Raises
    ------
    CodecError
    """
    try:
        head = SCHEMA.Frame.from_bytes_packed(packed)
        return _frame(head, KINDS[head.kind])
    except (capnp.KjException, IndexError, ValueError, TypeError) as exc:
        raise CodecError(f"malformed frame: {exc}") from exc


def _frame(head, kind):
    if kind is ResponseFrame:
        return ResponseFrame(
            head.stream,
            head.status,
            head.reason,
            _unpack_headers(head.headers),
            head.bodyBytes,
            _load(head),
        )
    if kind is CallFrame:
        return CallFrame(
            head.stream,
            head.service,
            head.method,
            head.path,
            _unpack_headers(head.headers),
            head.callerService,
            head.goalMs,
            head.leftMs,
            head.priority,
            head.repeatable,
            head.lastResort,
            head.bodyBytes,
        )
    if kind is RefusedFrame:
        return RefusedFrame(
            head.stream, head.reason, head.retryAfterMs, head.repeatable, _load(head)
        )
    if kind is FailedFrame:
        return FailedFrame(
            head.stream, head.reason, VERDICTS[head.verdict], _load(head)
        )
    if kind is Hello:
        return Hello(head.node, head.version, _load(head))
    if kind is LoadFrame:
        return LoadFrame(_load(head), head.version)
    if kind is ConfigFrame:
        return ConfigFrame(head.version)
    if kind in (BodyFrame, CancelFrame):
        return kind(head.stream)
    return kind()


class FrameReader:
    """Cuts a stream of bytes into frames."""

    def __init__(self):
        self._data = bytearray()

    def feed(self, data):
        """Return the (frame, body) pairs that are complete now.

        Raises
        ------
        CodecError
            The bytes are no frames; the connection cannot be used any more.
        """
        self._data += data
        found = []
        start = 0
        while len(self._data) - start >= PREFIX.size:
            head_bytes, body_bytes = PREFIX.unpack_from(self._data, start)
            if head_bytes > MAX_HEAD_BYTES or body_bytes > MAX_BODY_BYTES:
                raise CodecError(f"frame of {head_bytes} + {body_bytes} bytes")
            body_at = start + PREFIX.size + head_bytes
            end = body_at + body_bytes
            if len(self._data) < end:
                break
            head = bytes(self._data[start + PREFIX.size : body_at])
            found.append((_decode(head), bytes(self._data[body_at:end])))
            start = end
        if start:
            del self._data[:start]
        return found
