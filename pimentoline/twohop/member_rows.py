"""pimentoline.twohop.member_rows: validated rows of the members, and member lists.

Other programs may write to the same table, so a row may hold anything.
"""

import json
from dataclasses import asdict, dataclass
from ipaddress import IPv4Address
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from .model import Member
from .target_status import MAX_BORN_MS, MAX_NAME_CHARS, TargetState, TargetStatus

__all__ = [
    "MemberRow",
    "encode_members",
    "encode_row",
    "encode_status",
    "parse_members",
    "parse_row",
    "parse_status",
]

MAX_PORT = 65535
Name = Annotated[str, Field(min_length=1, max_length=MAX_NAME_CHARS)]


@dataclass(frozen=True, slots=True)
class MemberRow:
    """What the row of a node says.

    Attributes
    ----------
    status : TargetStatus or None
        Status of the node's target; None if it is unknown.
    stopped : bool
        Whether the node has stopped after its target had left. Such a row names no
        member. It is kept because the node may start again beside the same target.
    """

    member: Member
    status: TargetStatus | None
    stopped: bool = False


class _TargetFields(BaseModel):
    model_config = ConfigDict(strict=True)

    target_id: Name
    born_ms: int = Field(ge=0, le=MAX_BORN_MS)
    sequence: int = Field(ge=0)
    state: TargetState

    def status(self):
        """Return the `TargetStatus`."""
        return TargetStatus(self.target_id, self.born_ms, self.sequence, self.state)


class _MemberFields(BaseModel):
    model_config = ConfigDict(strict=True)

    addr: tuple[IPv4Address, Annotated[int, Field(ge=1, le=MAX_PORT)]]
    dc: Name
    region: Name
    service: Name

    def member(self, node):
        """Return the `Member` with the name `node`."""
        ip, port = self.addr
        return Member(node, (str(ip), port), self.dc, self.region, self.service)


class _Row(_MemberFields):
    target: _TargetFields | None = None
    stopped: bool = False


class _NamedMember(_MemberFields):
    node: Name


MEMBER_LIST = TypeAdapter(list[_NamedMember])


def _describe(exc):
    error = exc.errors(include_url=False, include_input=False)[0]
    return f"{'.'.join(map(str, error['loc']))}: {error['msg']}"


def parse_row(node, value):
    """Return what the value of a row says.

    Parameters
    ----------
    node : str
        Key of the row, the name of the node.
    value : bytes

    Returns
    -------
    MemberRow

    Raises
    ------
    ValueError
        Naming the first field that is invalid.
    """
    try:
        row = _Row.model_validate_json(value)
    except ValidationError as exc:
        raise ValueError(_describe(exc)) from None
    status = None if row.target is None else row.target.status()
    return MemberRow(row.member(node), status, row.stopped)


def encode_row(row):
    """Return the value of a `MemberRow`."""
    value = asdict(row.member)
    del value["node"]
    if row.status is not None:
        value["target"] = _status_fields(row.status)
    if row.stopped:
        value["stopped"] = True
    return json.dumps(value).encode()


def _status_fields(status):
    return asdict(status) | {"state": status.state.value}


def parse_status(text):
    """Return the `TargetStatus` that `encode_status` encoded.

    Raises
    ------
    ValueError
        If the text is not a status.
    """
    try:
        return _TargetFields.model_validate_json(text).status()
    except ValidationError as exc:
        raise ValueError(_describe(exc)) from None


def encode_status(status):
    """Return a `TargetStatus` as JSON text."""
    return json.dumps(_status_fields(status)).encode()


def parse_members(text):
    """Return the members in a list that `encode_members` encoded.

    Raises
    ------
    ValueError
        If the text is not such a list.
    """
    try:
        return [item.member(item.node) for item in MEMBER_LIST.validate_json(text)]
    except ValidationError as exc:
        raise ValueError(_describe(exc)) from None


def encode_members(members):
    """Return a list of members as JSON text."""
    return json.dumps([asdict(member) for member in members]).encode()
