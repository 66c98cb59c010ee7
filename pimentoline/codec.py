"""pimentoline.codec: Cap'n Proto messages between nodes, authenticated."""

import hashlib
import hmac
import zlib
from dataclasses import dataclass
from pathlib import Path

import capnp

from .errors import CodecError
from .model import Member, MemberStatus, Target, TargetState

capnp.remove_import_hook()

__all__ = ["Codec", "Message", "RulesReply", "RulesRequest", "Rumours"]

SCHEMA = capnp.load(str(Path(__file__).with_name("mesh.capnp")))
PROTOCOL = 1
MAGIC = b"PM"
MAC_BYTES = 16
HEAD_BYTES = len(MAGIC) + 1 + MAC_BYTES
MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_RULES_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Rumours:
    """Member records."""

    records: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class RulesRequest:
    """Asks for the rules text if its version is at least `version`."""

    version: int


@dataclass(frozen=True, slots=True)
class RulesReply:
    """A rules text and its version."""

    version: int
    text: str


@dataclass(frozen=True, slots=True)
class Message:
    """A message with what every message tells of its sender."""

    sender: str
    incarnation: int
    rules_version: int
    body: object


class Codec:
    """Encodes and decodes messages.

    Parameters
    ----------
    keys : sequence of bytes
        The first key signs; each of them is accepted.
    """

    def __init__(self, keys):
        self._keys = tuple(keys)
        self._ids = {hashlib.sha256(key).digest()[0]: key for key in self._keys}

    @classmethod
    def from_config(cls, cfg):
        """Make a codec with the keys of the settings."""
        return cls([key.encode() for key in cfg.mesh_keys])

    def encode(self, message):
        """Return the bytes of a message."""
        env = SCHEMA.Envelope.new_message(
            protocol=PROTOCOL,
            sender=message.sender,
            incarnation=message.incarnation,
            rulesVersion=message.rules_version,
        )
        match message.body:
            case Rumours(records):
                items = env.init("rumours", len(records))
                for item, record in zip(items, records):
                    _write_member(item, record)
            case RulesRequest(version):
                env.rulesRequest = version
            case RulesReply(version, text):
                reply = env.init("rulesReply")
                reply.version = version
                reply.body = zlib.compress(text.encode())
        data = env.to_bytes_packed()
        key = self._keys[0]
        return MAGIC + hashlib.sha256(key).digest()[:1] + _mac(key, data) + data

    def decode(self, data):
        """Return the message in `data`.

        Raises
        ------
        CodecError
            If the bytes are not an authentic message of at most 4 MiB.
        """
        if len(data) <= HEAD_BYTES or data[: len(MAGIC)] != MAGIC:
            raise CodecError("not a message of the mesh")
        key = self._ids.get(data[len(MAGIC)])
        mac, payload = data[len(MAGIC) + 1 : HEAD_BYTES], data[HEAD_BYTES:]
        if key is None or not hmac.compare_digest(mac, _mac(key, payload)):
            raise CodecError("message is not signed by a known key")
        if len(data) > MAX_FRAME_BYTES:
            raise CodecError(f"message of {len(data)} bytes is too large")
        try:
            env = SCHEMA.Envelope.from_bytes_packed(payload)
            return Message(
                env.sender, env.incarnation, env.rulesVersion, _read_body(env)
            )
        except (capnp.KjException, ValueError, zlib.error) as exc:
            raise CodecError(f"malformed message: {exc}") from exc


def _mac(key, data):
    return hmac.digest(key, data, "sha256")[:MAC_BYTES]


def _read_body(env):
    match env.which():
        case "rumours":
            return Rumours(tuple(_read_member(item) for item in env.rumours))
        case "rulesRequest":
            return RulesRequest(env.rulesRequest)
        case "rulesReply":
            body = zlib.decompressobj().decompress(env.rulesReply.body, MAX_RULES_BYTES)
            return RulesReply(env.rulesReply.version, body.decode())
    return None


def _write_member(item, record):
    item.nodeId = record.node_id
    item.host = record.host
    item.addr.ip, item.addr.port = record.addr
    item.region = record.region
    item.dc = record.dc
    item.incarnation = record.incarnation
    item.seq = record.seq
    item.status = record.status.value
    item.rulesVersion = record.rules_version
    targets = item.init("targets", len(record.targets))
    for slot, target in zip(targets, record.targets):
        slot.targetId = target.target_id
        slot.service = target.service
        slot.addr.ip, slot.addr.port = target.addr
        slot.slots = target.slots
        slot.connections = target.connections
        slot.state = target.state.value
        slot.loadPath = target.load_path
        slot.version = target.version


def _read_member(item):
    targets = tuple(
        Target(
            slot.targetId,
            slot.service,
            (slot.addr.ip, slot.addr.port),
            item.region,
            item.dc,
            slot.slots,
            slot.connections,
            TargetState(slot.state),
            slot.loadPath,
            slot.version,
        )
        for slot in item.targets
    )
    return Member(
        item.nodeId,
        item.host,
        (item.addr.ip, item.addr.port),
        item.region,
        item.dc,
        item.incarnation,
        item.seq,
        MemberStatus(item.status),
        targets,
        item.rulesVersion,
    )
