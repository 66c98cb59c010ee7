"""pimentoline.twohop.frames: messages between nodes, encoded with Cap'n Proto.

On the wire, a frame consists of the lengths of its header and of its body (32 bits
each, little-endian), the header in packed Cap'n Proto encoding, and the body's bytes.
"""

import struct
from dataclasses import dataclass
from pathlib import Path

import capnp

from ..errors import CodecError
from ..verdict import Verdict
from .model import LoadReport

__all__ = [
    "BodyFrame",
    "CallFrame",
    "CancelFrame",
    "ConfigFrame",
    "ConfigRequest",
    "FailedFrame",
    "FrameReader",
    "Hello",
    "LoadFrame",
    "MembersFrame",
    "Ping",
    "Pong",
    "RefusedFrame",
    "ResponseFrame",
    "StatusFrame",
    "StatusHeldFrame",
    "encode",
]

capnp.remove_import_hook()
SCHEMA = capnp.load(str(Path(__file__).with_name("frames.capnp")))
LENGTHS = struct.Struct("<II")
MAX_HEADER_BYTES = 256 * 1024
# Largest body of a frame and of a target's response. Bodies of calls and responses are
# sent in chunks, but a configuration or a list of members is sent in a single frame.
# The limit is equal to the default limit for the request bodies of callers.
MAX_BODY_BYTES = 64 * 1024 * 1024
# The share of failed calls, 0 to 1, is sent as one byte, 0 to `RATE_STEPS`.
RATE_STEPS = 255.0
# Largest values of the fields of a frame's header, by size in bits.
MAX_UINT16 = 2**16 - 1
MAX_INT32 = 2**31 - 1
MAX_UINT32 = 2**32 - 1
# The position in `VERDICTS` is the number that a frame's header carries.
VERDICTS = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)


@dataclass(frozen=True, slots=True)
class Hello:
    """The first frame in each direction: the sender's name and state.

    `version` is the version of the sender's configuration, 0 if it has none.
    """

    node: str
    version: int
    load: LoadReport


@dataclass(frozen=True, slots=True)
class CallFrame:
    """A call for the target on the receiver's host.

    The first chunk of the body is sent with this frame, the others in `BodyFrame`s.

    Attributes
    ----------
    stream : int
        Identifies the call on its connection, in all frames that belong to the call.
    path : str
        Path and query string.
    caller_service : str
        Service that the call comes from.
    objective_ms, remaining_ms : int
        Time from sending to the latency objective and to the deadline, milliseconds.
    retryable : bool
        Whether the call may run more than once.
    priority : int
        0 is the most urgent.
    last_resort : bool
        Whether to accept the call even if its response will miss the objective. It may
        still be refused for another reason.
    body_bytes : int
        Size of the whole body.
    """

    stream: int
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    caller_service: str
    objective_ms: int
    remaining_ms: int
    priority: int
    retryable: bool
    last_resort: bool
    body_bytes: int


@dataclass(frozen=True, slots=True)
class BodyFrame:
    """The next chunk of the body of a call or a response."""

    stream: int


@dataclass(frozen=True, slots=True)
class ResponseFrame:
    """A complete response of the target; its body is sent like that of a call.

    `reason` is the reason phrase of the HTTP status line.
    """

    stream: int
    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body_bytes: int
    load: LoadReport


@dataclass(frozen=True, slots=True)
class RefusedFrame:
    """The call has not run and will not.

    `by_target` is true if the target refused the call, and false if its node did.
    """

    stream: int
    reason: str
    retry_after_ms: int
    by_target: bool
    load: LoadReport


@dataclass(frozen=True, slots=True)
class FailedFrame:
    """The call ended at the target without a usable response."""

    stream: int
    reason: str
    verdict: Verdict
    load: LoadReport


@dataclass(frozen=True, slots=True)
class CancelFrame:
    """The sender no longer needs the response to a call."""

    stream: int


@dataclass(frozen=True, slots=True)
class LoadFrame:
    """The sender's load and the version of its configuration.

    It is sent when one of them has changed, and with `config_read` when the sender has
    just read the configuration's table from the store. Nodes of earlier versions do not
    send that field and ignore it.
    """

    load: LoadReport
    version: int
    config_read: bool = False


@dataclass(frozen=True, slots=True)
class Ping:
    """Requests a `Pong`, to check that the peer is alive."""


@dataclass(frozen=True, slots=True)
class Pong:
    """The response to a `Ping`."""


@dataclass(frozen=True, slots=True)
class ConfigRequest:
    """Requests the receiver's configuration."""


@dataclass(frozen=True, slots=True)
class ConfigFrame:
    """The sender's configuration, as text in the body."""

    version: int


@dataclass(frozen=True, slots=True)
class MembersFrame:
    """The members that the sender knows, as JSON in the body."""


@dataclass(frozen=True, slots=True)
class StatusFrame:
    """The status of a target that drains or has left, as JSON in the body.

    Attributes
    ----------
    node : str
        Node on the host of the target: the sender, which asks the receiver to hold the
        status, or the receiver, for which the sender has held it.
    number : int
        Identifies the frame in the `StatusHeldFrame` that confirms it.
    """

    node: str
    number: int


@dataclass(frozen=True, slots=True)
class StatusHeldFrame:
    """The sender holds the status of the `StatusFrame` with this number."""

    number: int


FRAME_TYPES = (
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
    ConfigRequest,
    ConfigFrame,
    MembersFrame,
    StatusFrame,
    StatusHeldFrame,
)
# The position in `FRAME_TYPES` is the number that a frame's header carries.
KIND_NUMBERS = {frame_type: kind for kind, frame_type in enumerate(FRAME_TYPES)}


def _pack_headers(headers):
    return "\n".join(f"{name}:{value}" for name, value in headers).encode("latin1")


def _unpack_headers(data):
    if not data:
        return ()
    lines = bytes(data).decode("latin1").split("\n")
    return tuple(tuple(line.split(":", 1)) for line in lines)


def _clamp(value, high, low=0):
    """Return the nearest value that fits into a field of a header."""
    return min(max(value, low), high)


def _header_fields(frame):
    """Return the schema fields of a frame by name, except its kind and load report.

    The schema has other names for some attributes, such as `leftMs` for `remaining_ms`.
    """
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
                "goalMs": _clamp(frame.objective_ms, MAX_INT32, -MAX_INT32),
                "leftMs": _clamp(frame.remaining_ms, MAX_INT32, -MAX_INT32),
                "priority": _clamp(frame.priority, 255),
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
                "retryAfterMs": _clamp(frame.retry_after_ms, MAX_UINT32),
                # The schema has no separate field for `by_target`.
                "repeatable": frame.by_target,
            }
        case FailedFrame():
            return {
                "stream": frame.stream,
                "reason": frame.reason,
                "verdict": VERDICTS.index(frame.verdict),
            }
        case BodyFrame() | CancelFrame():
            return {"stream": frame.stream}
        case LoadFrame():
            return {"version": frame.version, "configRead": frame.config_read}
        case ConfigFrame():
            return {"version": frame.version}
        case StatusFrame():
            return {"node": frame.node, "stream": frame.number}
        case StatusHeldFrame():
            return {"stream": frame.number}
        case Ping() | Pong() | ConfigRequest() | MembersFrame():
            return {}
    raise TypeError(f"unknown frame {frame!r:.80}")


def encode(frame, body=b""):
    """Return the encoded frame, followed by its body or a chunk of the body."""
    fields = _header_fields(frame)
    load = getattr(frame, "load", None)
    if load is not None:
        # `restMs` is the expected time until noisy neighbours of the target stop, and
        # `coldMs` the time until the target is no longer slow after its start.
        fields |= {
            "hasLoad": True,
            "accepting": load.accepting,
            "running": _clamp(load.running, MAX_UINT16),
            "queued": _clamp(load.queued, MAX_UINT16),
            "limit": _clamp(load.limit, MAX_UINT16),
            "delayMs": _clamp(load.delay_ms, MAX_UINT32),
            "restMs": _clamp(load.noise_remaining_ms, MAX_UINT16),
            "badRate": round((1.0 - load.success_rate) * RATE_STEPS),
            "coldMs": _clamp(load.cold_remaining_ms, MAX_UINT32),
        }
    header = SCHEMA.Frame.new_message(kind=KIND_NUMBERS[type(frame)], **fields)
    packed_header = header.to_bytes_packed()
    return LENGTHS.pack(len(packed_header), len(body)) + packed_header + body


def _load_report(header):
    return LoadReport(
        header.accepting,
        header.running,
        header.queued,
        # The limit is 0 in a header without a load report, but is used as a divisor.
        max(header.limit, 1),
        header.delayMs,
        header.restMs,
        1.0 - header.badRate / RATE_STEPS,
        header.coldMs,
    )


def _decode_header(packed_header):
    """Return the frame that a packed header describes, without its body.

    Raises
    ------
    CodecError
    """
    try:
        header = SCHEMA.Frame.from_bytes_packed(packed_header)
        return _frame_from_header(header, FRAME_TYPES[header.kind])
    except (capnp.KjException, IndexError, ValueError, TypeError) as exc:
        raise CodecError(f"malformed frame: {exc}") from exc


def _frame_from_header(header, frame_type):
    if frame_type is ResponseFrame:
        return ResponseFrame(
            header.stream,
            header.status,
            header.reason,
            _unpack_headers(header.headers),
            header.bodyBytes,
            _load_report(header),
        )
    if frame_type is CallFrame:
        return CallFrame(
            header.stream,
            header.service,
            header.method,
            header.path,
            _unpack_headers(header.headers),
            header.callerService,
            header.goalMs,
            header.leftMs,
            header.priority,
            header.repeatable,
            header.lastResort,
            header.bodyBytes,
        )
    if frame_type is RefusedFrame:
        return RefusedFrame(
            header.stream,
            header.reason,
            header.retryAfterMs,
            header.repeatable,
            _load_report(header),
        )
    if frame_type is FailedFrame:
        return FailedFrame(
            header.stream, header.reason, VERDICTS[header.verdict], _load_report(header)
        )
    if frame_type is Hello:
        return Hello(header.node, header.version, _load_report(header))
    if frame_type is LoadFrame:
        return LoadFrame(_load_report(header), header.version, header.configRead)
    if frame_type is ConfigFrame:
        return ConfigFrame(header.version)
    if frame_type is StatusFrame:
        return StatusFrame(header.node, header.stream)
    if frame_type in (BodyFrame, CancelFrame, StatusHeldFrame):
        return frame_type(header.stream)
    return frame_type()


class FrameReader:
    """Splits a byte stream into frames."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Add received bytes and return the (frame, body) pairs that are now complete.

        Raises
        ------
        CodecError
            The bytes are not valid frames; the connection must be closed.
        """
        self._buffer += data
        frames = []
        start = 0
        while len(self._buffer) - start >= LENGTHS.size:
            header_bytes, body_bytes = LENGTHS.unpack_from(self._buffer, start)
            if header_bytes > MAX_HEADER_BYTES or body_bytes > MAX_BODY_BYTES:
                raise CodecError(
                    f"frame too large: header {header_bytes}, body {body_bytes} bytes"
                )
            body_start = start + LENGTHS.size + header_bytes
            end = body_start + body_bytes
            if len(self._buffer) < end:
                break
            header = bytes(self._buffer[start + LENGTHS.size : body_start])
            frames.append((_decode_header(header), bytes(self._buffer[body_start:end])))
            start = end
        if start:
            del self._buffer[:start]
        return frames
