"""pimentoline.codec: authenticated Cap'n Proto encoding of node messages."""

import hashlib
import hmac
import socket
import zlib
from pathlib import Path

import capnp

from .errors import CodecError, NewerMessageError
from .messages import (
    Ack,
    Gossip,
    Message,
    Ping,
    PingReq,
    RulesAck,
    RulesPush,
    RulesReply,
    RulesRequest,
    SyncReply,
    SyncRequest,
)
from .model import Member, MemberStatus, Target, TargetState

capnp.remove_import_hook()

__all__ = ["MAX_DATAGRAM_BYTES", "MAX_FRAME_BYTES", "Codec"]

SCHEMA = capnp.load(str(Path(__file__).with_name("mesh.capnp")))
PROTOCOL_VERSION = 1
MAGIC = b"PM"
MAC_BYTES = 16
HEADER_BYTES = len(MAGIC) + 1 + MAC_BYTES
# An Ethernet frame holds 1,472 bytes of UDP data, of which tunnels take some.
MAX_DATAGRAM_BYTES = 1400
# A frame is a message sent over TCP, for example a record too large for a datagram. The
# limit also applies to the decompressed message.
MAX_FRAME_BYTES = 4 * 1024 * 1024
# Limit of the rules text, the content of the rules file, which nodes exchange.
MAX_RULES_BYTES = 1024 * 1024
MAX_TEXT_CHARS = 512
# A node that refutes a suspicion sends a record of itself whose incarnation or sequence
# number is one above that of the record received. So received counters have to leave
# room below the limit of 64 bits.
MAX_COUNTER = 2**62
# Level 1 takes a fifth of the time of level 6 and saves nearly as many bytes, since
# records repeat the names of regions and services.
ZLIB_LEVEL = 1


class Codec:
    """Encodes and decodes messages.

    Parameters
    ----------
    keys : sequence of bytes
        The first key signs messages; a signature by any of them is accepted.
    """

    def __init__(self, keys):
        self._keys = tuple(keys)

    @classmethod
    def from_config(cls, cfg):
        """Return a codec with the keys from the settings."""
        return cls([key.encode() for key in cfg.mesh_keys])

    def encode(self, message):
        """Return the bytes of a message.

        Raises
        ------
        CodecError
            If a value does not fit the schema or the message is too large.
        """
        try:
            envelope = SCHEMA.Envelope.new_message(
                protocol=PROTOCOL_VERSION,
                sender=message.sender,
                incarnation=message.incarnation,
                rulesVersion=message.rules_version,
                rulesHeard=message.known_rules_version,
                rulesConfirmed=message.rules_confirmed,
            )
            _write_body(envelope, message.body)
        except (capnp.KjException, ValueError, OverflowError, TypeError) as exc:
            raise CodecError(f"message cannot be encoded: {exc}") from exc
        data = zlib.compress(envelope.to_bytes(), ZLIB_LEVEL)
        if HEADER_BYTES + len(data) > MAX_FRAME_BYTES:
            raise CodecError(f"message of {len(data)} bytes is too large")
        key = self._keys[0]
        return MAGIC + _key_id(key) + _mac(key, data) + data

    def decode(self, data):
        """Return the message in `data`.

        Raises
        ------
        NewerMessageError
            If the message is authentic, but its format is of a newer release.
        CodecError
            If the bytes are not an authentic, well-formed message of at most 4 MiB.
        """
        if len(data) <= HEADER_BYTES or data[: len(MAGIC)] != MAGIC:
            raise CodecError("data has no header of a mesh message")
        if len(data) > MAX_FRAME_BYTES:
            raise CodecError(f"message of {len(data)} bytes is too large")
        self._check_mac(data)
        try:
            with SCHEMA.Envelope.from_bytes(
                _decompress(data[HEADER_BYTES:])
            ) as envelope:
                return _read_envelope(envelope)
        except (capnp.KjException, ValueError, OverflowError, zlib.error) as exc:
            raise CodecError(f"malformed message: {exc}") from exc

    def _check_mac(self, data):
        key_id = data[len(MAGIC) : len(MAGIC) + 1]
        mac, payload = data[len(MAGIC) + 1 : HEADER_BYTES], data[HEADER_BYTES:]
        # Two keys can have the same one-byte id, so each key with this id is tried.
        for key in self._keys:
            if _key_id(key) == key_id and hmac.compare_digest(mac, _mac(key, payload)):
                return
        raise CodecError("message is not signed by a known key")


def _key_id(key):
    return hashlib.sha256(key).digest()[:1]


def _mac(key, data):
    return hmac.digest(key, data, "sha256")[:MAC_BYTES]


def _decompress(data):
    decompressor = zlib.decompressobj()
    payload = decompressor.decompress(data, MAX_FRAME_BYTES)
    if decompressor.unconsumed_tail:
        raise CodecError("message is too large when decompressed")
    if not decompressor.eof:
        raise CodecError("compressed message is truncated")
    return payload


def _read_envelope(envelope):
    if envelope.protocol > PROTOCOL_VERSION:
        raise NewerMessageError(
            f"protocol version {envelope.protocol} is not supported"
        )
    try:
        kind = envelope.which()
    except capnp.KjException as exc:
        raise NewerMessageError("unknown message type") from exc
    body, skipped = _read_body(envelope, str(kind))
    return Message(
        _check_text(envelope.sender),
        _check_counter(envelope.incarnation),
        _check_counter(envelope.rulesVersion),
        body,
        _check_counter(envelope.rulesHeard),
        envelope.rulesConfirmed,
        skipped,
    )


def _write_body(envelope, body):
    match body:
        case Gossip(records):
            _write_records(envelope.init("rumours", len(records)), records)
        case SyncRequest(digests):
            envelope.syncRequest = list(digests)
        case SyncReply(buckets, records):
            reply = envelope.init("syncReply")
            reply.buckets = list(buckets)
            _write_records(reply.init("records", len(records)), records)
        case Ping(ping_id, addr):
            _write_ping(envelope.init("ping"), ping_id, addr)
        case PingReq(ping_id, addr):
            _write_ping(envelope.init("pingReq"), ping_id, addr)
        case Ack(ping_id, addr):
            _write_ping(envelope.init("ack"), ping_id, addr)
        case RulesRequest(version):
            envelope.rulesRequest = version
        case RulesAck(version):
            envelope.rulesAck = version
        case RulesReply(version, text):
            _write_rules(envelope.init("rulesReply"), version, text)
        case RulesPush(version, text):
            _write_rules(envelope.init("rulesPush"), version, text)
        case _:
            raise TypeError(f"{type(body).__name__} is not a message body")


def _read_body(envelope, kind):
    match kind:
        case "rumours":
            records, skipped = _read_records(envelope.rumours)
            return Gossip(records), skipped
        case "syncRequest":
            return SyncRequest(tuple(envelope.syncRequest)), 0
        case "syncReply":
            records, skipped = _read_records(envelope.syncReply.records)
            return SyncReply(tuple(envelope.syncReply.buckets), records), skipped
        case "ping":
            return Ping(envelope.ping.id, _read_optional_addr(envelope.ping.addr)), 0
        case "pingReq":
            return PingReq(envelope.pingReq.id, _read_addr(envelope.pingReq.addr)), 0
        case "ack":
            return Ack(envelope.ack.id, _read_optional_addr(envelope.ack.addr)), 0
        case "rulesRequest":
            return RulesRequest(_check_counter(envelope.rulesRequest)), 0
        case "rulesAck":
            return RulesAck(_check_counter(envelope.rulesAck)), 0
        case "rulesReply":
            return RulesReply(*_read_rules(envelope.rulesReply)), 0
        case "rulesPush":
            return RulesPush(*_read_rules(envelope.rulesPush)), 0
    raise NewerMessageError(f"unknown message type {kind!r}")


def _write_ping(builder, ping_id, addr):
    builder.id = ping_id
    if addr is not None:
        builder.addr.ip, builder.addr.port = addr


def _write_rules(builder, version, text):
    builder.version = version
    builder.body = text.encode()


def _read_rules(reader):
    if len(reader.body) > MAX_RULES_BYTES:
        raise CodecError(f"rules text of {len(reader.body)} bytes is too large")
    return _check_counter(reader.version), reader.body.decode()


def _check_text(value):
    if len(value) > MAX_TEXT_CHARS:
        raise ValueError(f"text of {len(value)} characters is too long")
    return value


def _check_counter(value):
    if value > MAX_COUNTER:
        raise ValueError(f"counter {value} is out of range")
    return value


def _read_addr(reader):
    try:
        # Host names are rejected: `sendto` would resolve them and block the event loop.
        socket.inet_pton(socket.AF_INET, reader.ip)
    except OSError as exc:
        raise ValueError(f"{reader.ip!r:.60} is not an IPv4 address") from exc
    return reader.ip, reader.port


def _read_optional_addr(reader):
    return _read_addr(reader) if reader.ip else None


def _write_records(builders, records):
    for builder, record in zip(builders, records):
        _write_member(builder, record)


def _read_records(readers):
    """Return (records, number of records left out).

    Only records that cannot be read are left out, for example one with a status that
    a newer release has added; the others in the message are kept.
    """
    records = []
    for reader in readers:
        try:
            records.append(_read_member(reader))
        except ValueError:
            continue
    return tuple(records), len(readers) - len(records)


def _write_member(builder, record):
    builder.nodeId = record.node_id
    builder.host = record.host
    builder.addr.ip, builder.addr.port = record.addr
    builder.region = record.region
    builder.dc = record.dc
    builder.incarnation = record.incarnation
    builder.seq = record.seq
    builder.status = record.status.value
    builder.rulesVersion = record.rules_version
    builder.ageMs = int(record.age_s * 1000)
    targets = builder.init("targets", len(record.targets))
    for entry, target in zip(targets, record.targets):
        entry.targetId = target.target_id
        entry.service = target.service
        entry.addr.ip, entry.addr.port = target.addr
        entry.slots = target.slots
        entry.connections = target.connections
        entry.state = target.state.value
        entry.loadPath = target.load_path
        entry.version = target.version


def _read_member(reader):
    if not reader.nodeId:
        raise ValueError("member record has no node id")
    region, dc = _check_text(reader.region), _check_text(reader.dc)
    targets = tuple(
        Target(
            _check_text(entry.targetId),
            _check_text(entry.service),
            _read_addr(entry.addr),
            region,
            dc,
            entry.slots,
            entry.connections,
            TargetState(entry.state),
            _check_text(entry.loadPath),
            _check_text(entry.version),
        )
        for entry in reader.targets
    )
    return Member(
        _check_text(reader.nodeId),
        _check_text(reader.host),
        _read_addr(reader.addr),
        region,
        dc,
        _check_counter(reader.incarnation),
        _check_counter(reader.seq),
        MemberStatus(reader.status),
        targets,
        _check_counter(reader.rulesVersion),
        _check_counter(reader.ageMs) / 1000,
    )
