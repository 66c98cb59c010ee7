"""pimentoline.admin_models: validated request bodies of the admin interface."""

import ipaddress
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, field_validator

from .model import TargetState
from .rules import MAX_RULES_BYTES
from .rules.field_parsers import CALL_CLASSES, NAME_PATTERN

__all__ = ["Announcement", "ApplyRequest", "ExplainRequest"]

# Upper bound of the slots and of the connections of one target.
MAX_CONCURRENCY = 100_000
MAX_PORT = 65535
# Callers put the service name into the first label of the Host header. Therefore a
# service name contains no dots.
ServiceName = Annotated[
    str, StringConstraints(pattern=r"^[a-z0-9]([a-z0-9-]*[a-z0-9])?$", max_length=63)
]


class Announcement(BaseModel):
    """Description of a target, which the target sends to the node on its host.

    The target serves up to `slots` requests concurrently, and accepts up to
    `connections` connections in total from all nodes. `load_path` is the path of its
    load endpoint, and `version` the release that it runs. `load` is the target's number
    of requests in flight. The node ignores this value, because the load reports in the
    target's responses are newer.
    """

    model_config = ConfigDict(extra="forbid")

    service: ServiceName
    addr: tuple[str, int]
    slots: int = Field(12, ge=1, le=MAX_CONCURRENCY)
    connections: int = Field(260, ge=1, le=MAX_CONCURRENCY)
    load: float | None = Field(None, ge=0)
    state: TargetState = TargetState.UP
    load_path: str = Field("/load", pattern=r"^/[!-~]*$", max_length=200)
    version: str = Field("", pattern=f"^$|{NAME_PATTERN}", max_length=100)

    @field_validator("state")
    @classmethod
    def _not_gone(cls, value):
        if value is TargetState.GONE:
            raise ValueError("a stopped target must be withdrawn with DELETE")
        return value

    @field_validator("addr")
    @classmethod
    def _valid_addr(cls, value):
        ip, port = value
        addr = ipaddress.IPv4Address(ip)
        if addr.is_unspecified or addr.is_multicast or not 1 <= port <= MAX_PORT:
            raise ValueError(
                f"found {ip}:{port}; allowed: an IPv4 address except 0.0.0.0 and "
                "multicast, and a port from 1 to 65535"
            )
        return str(addr), port


class ApplyRequest(BaseModel):
    """A rules text to put in force.

    `base` is the version that the text replaces. `attempt` is a unique id of the
    request. If it is retried with the same id, the text is accepted at most once.
    """

    model_config = ConfigDict(extra="forbid")

    base: int = Field(ge=0)
    text: str = Field(max_length=MAX_RULES_BYTES)
    author: str = Field(min_length=1, max_length=200)
    attempt: str = Field(pattern=r"^[A-Za-z0-9._-]{8,64}$")


class ExplainRequest(BaseModel):
    """A call whose handling is explained without sending the call.

    `key` is the idempotency key of the call, empty if it has none.
    """

    model_config = ConfigDict(extra="forbid")

    service: str = Field(max_length=200)
    method: str = Field(pattern=r"^[A-Z]{1,20}$")
    path: str = Field(pattern=r"^/", max_length=4000)
    call_class: Literal[CALL_CLASSES] = "normal"
    deadline_ms: int | None = Field(None, ge=1, le=600_000)
    key: str = Field("", max_length=200)
