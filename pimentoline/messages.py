"""pimentoline.messages: data classes of the messages between nodes."""

from dataclasses import dataclass

from .model import Member

__all__ = [
    "Ack",
    "Gossip",
    "Message",
    "Ping",
    "PingReq",
    "RulesAck",
    "RulesPush",
    "RulesReply",
    "RulesRequest",
    "SyncReply",
    "SyncRequest",
]


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for an `Ack`.

    `requester` is set for an indirect ping: the address of the node that asked for it.
    """

    ping_id: int
    requester: tuple[str, int] | None = None


@dataclass(frozen=True, slots=True)
class PingReq:
    """Asks a peer to ping `addr` on behalf of the sender (indirect ping of SWIM)."""

    ping_id: int
    addr: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Ack:
    """Reply to a `Ping`; its receiver forwards it to `requester`, if that is set."""

    ping_id: int
    requester: tuple[str, int] | None = None


@dataclass(frozen=True, slots=True)
class Gossip:
    """Changed member records; empty if only the sender's rules version has changed."""

    records: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Digests of the sender's member records, one for each hash bucket of node ids."""

    digests: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Reply to a `SyncRequest`: the buckets that differ and all records in them."""

    buckets: tuple[int, ...]
    records: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class RulesRequest:
    """Asks for the rules text if its version is at least `version`."""

    version: int


@dataclass(frozen=True, slots=True)
class RulesReply:
    """Reply to a `RulesRequest`: the rules text in force and its version."""

    version: int
    text: str


@dataclass(frozen=True, slots=True)
class RulesPush:
    """Asks a peer to load a rules text that has just been accepted.

    It is sent before the author of the text gets the response.
    """

    version: int
    text: str


@dataclass(frozen=True, slots=True)
class RulesAck:
    """Reply to a `RulesPush`: the rules version in force at the peer that got it."""

    version: int


@dataclass(frozen=True, slots=True)
class Message:
    """A message body, and what every message says about its sender.

    Parameters
    ----------
    sender : str
        Node id.
    incarnation : int
    rules_version : int
        Version in force at the sender.
    body : data class of this module
    known_rules_version : int
        Highest version that the sender knows of.
    rules_confirmed : bool
        Whether the sender has verified its version with the store or a confirmed peer
        since it booted.
    skipped_records : int
        Number of records that the decoder could not read and left out.
    """

    sender: str
    incarnation: int
    rules_version: int
    body: object
    known_rules_version: int = 0
    rules_confirmed: bool = False
    skipped_records: int = 0
