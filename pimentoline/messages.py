"""pimentoline.messages: bodies of the messages between nodes, as data."""

from dataclasses import dataclass

from .model import Member

__all__ = [
    "Ack",
    "Message",
    "Ping",
    "PingReq",
    "RulesAck",
    "RulesPush",
    "RulesReply",
    "RulesRequest",
    "Gossip",
    "SyncReply",
    "SyncRequest",
]


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for an `Ack`; `relay` is the node on whose behalf it is sent, if any."""

    ping_id: int
    relay: tuple[str, int] | None = None


@dataclass(frozen=True, slots=True)
class PingReq:
    """Asks a peer to ping `addr` on behalf of the sender."""

    ping_id: int
    addr: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Ack:
    """Answers a `Ping`; whoever receives it passes it on to `relay`, if set."""

    ping_id: int
    relay: tuple[str, int] | None = None


@dataclass(frozen=True, slots=True)
class Gossip:
    """Member records that are new; empty if only the rules version is."""

    records: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Digests of the sender's member records, one for each bucket of node ids."""

    digests: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SyncReply:
    """The buckets that differ, and all records that the sender holds in them."""

    buckets: tuple[int, ...]
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
class RulesPush:
    """A rules text to hold before it is reported as accepted."""

    version: int
    text: str


@dataclass(frozen=True, slots=True)
class RulesAck:
    """The version in force at the receiver of a `RulesPush`."""

    version: int


@dataclass(frozen=True, slots=True)
class Message:
    """A body with what every message tells of its sender.

    Parameters
    ----------
    sender : str
        Node id.
    incarnation : int
    rules_version : int
        Version in force at the sender.
    body : data class of this module
    known_rules_version : int
        Highest version that the sender was told of.
    rules_confirmed : bool
        Whether the sender has checked its version since it booted.
    skipped_records : int
        Records that the decoder left out because it does not understand them.
    """

    sender: str
    incarnation: int
    rules_version: int
    body: object
    known_rules_version: int = 0
    rules_confirmed: bool = False
    skipped_records: int = 0
