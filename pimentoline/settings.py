"""pimentoline.settings: validated flags and environment variables of a node."""

import ipaddress
import socket
from typing import Annotated, Literal

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    field_validator,
    model_validator,
)

from .flag_parsing import validate_flags
from .policies import policy_names
from .rules.field_parsers import NAME_PATTERN

__all__ = ["FLAGS", "NodeConfig", "load_config", "parse_addr"]

MAX_PORT = 65535
ADDR_ERROR = "allowed: IP:PORT with an IPv4 address and a port of 0 to 65535"
Name = Annotated[str, StringConstraints(pattern=NAME_PATTERN, max_length=200)]

# name: (default, help).
FLAGS = {
    "node_id": ("", "Unique name of this node; HOST:DATA_PORT by default."),
    "host": ("", "Name of the host; the system's host name by default."),
    "region": ("", "Region of the host."),
    "dc": ("", "Data centre of the host."),
    "data_addr": ("127.0.0.1:0", "IP address and port for callers."),
    "mesh_addr": ("127.0.0.1:0", "IP address and port for other nodes, UDP and TCP."),
    "admin_addr": (
        "127.0.0.1:0",
        "IP address and port for operators and for the target on this host.",
    ),
    "admin_remote": (
        False,
        "Let the admin interface listen on an address that is not loopback. The "
        "interface has no authentication.",
    ),
    "store_url": ("", "Base URL of the platform's table service."),
    "seeds": (
        "",
        "Comma-separated mesh addresses of nodes to join through.",
    ),
    "mesh_keys": (
        "",
        "Comma-separated keys. The first signs messages; messages signed with any of "
        "them are accepted.",
    ),
    "policy": ("hot-cold", "Routing policy."),
    "statsd_addr": ("", "IP address and port of a statsd server; none if empty."),
}


def parse_addr(text):
    """Return (IP address, port) from `IP:PORT`.

    Raises
    ------
    ValueError
        If the text has another form.
    """
    ip, _, port = text.rpartition(":")
    try:
        ip = str(ipaddress.IPv4Address(ip))
    except ValueError:
        raise ValueError(ADDR_ERROR) from None
    # Only the first 6 digits are compared with `MAX_PORT`, because `int` rejects very
    # long text. Any number of 6 digits without leading zeros exceeds it.
    if not (port.isascii() and port.isdigit()) or int(port[:6]) > MAX_PORT:
        raise ValueError(ADDR_ERROR)
    return ip, int(port)


class NodeConfig(BaseModel):
    """Settings of a node."""

    model_config = ConfigDict(frozen=True)

    node_id: Name | Literal[""] = ""
    host: str = Field(default_factory=socket.gethostname)
    region: Name
    dc: Name
    data_addr: tuple[str, int]
    mesh_addr: tuple[str, int]
    admin_addr: tuple[str, int]
    admin_remote: bool = False
    store_url: str = Field("", pattern=r"^(https?://[^/\s]+/?)?$")
    seeds: tuple[tuple[str, int], ...] = ()
    mesh_keys: tuple[str, ...] = Field(min_length=1)
    policy: str = "hot-cold"
    statsd_addr: tuple[str, int] | None = None

    @field_validator("data_addr", "mesh_addr", "admin_addr", mode="before")
    @classmethod
    def _parse_addr(cls, value):
        return parse_addr(value) if isinstance(value, str) else value

    @field_validator("statsd_addr", mode="before")
    @classmethod
    def _parse_optional_addr(cls, value):
        return parse_addr(value) if value else None

    @field_validator("seeds", mode="before")
    @classmethod
    def _parse_seeds(cls, value):
        if isinstance(value, str):
            return tuple(parse_addr(part) for part in value.split(",") if part)
        return value

    @field_validator("mesh_keys", mode="before")
    @classmethod
    def _parse_keys(cls, value):
        if isinstance(value, str):
            return tuple(part for part in value.split(",") if part)
        return value

    @field_validator("policy")
    @classmethod
    def _check_policy(cls, value):
        if value not in policy_names():
            raise ValueError(f"allowed: one of {', '.join(policy_names())}")
        return value

    @model_validator(mode="after")
    def _check_admin_addr(self):
        ip = self.admin_addr[0]
        if not self.admin_remote and not ipaddress.ip_address(ip).is_loopback:
            # Without authentication, anyone who reaches the interface can drain
            # targets and apply rules.
            raise ValueError(
                f"--admin_addr: found {ip}; allowed: a loopback address, or any "
                "address with --admin_remote"
            )
        return self


def load_config(values):
    """Return the settings from flag values.

    Parameters
    ----------
    values : dict of str to (str or bool)

    Raises
    ------
    SettingsError
        With one problem for each invalid setting.
    """
    return validate_flags(NodeConfig, values)
