"""pimentoline.settings: flags and environment variables of a process, validated."""

import os
import socket

from absl import flags
from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from .errors import SettingsError
from .policies import policy_names

__all__ = ["NodeConfig", "define_flags", "load_config"]

ENV_PREFIX = "PIMENTOLINE_"

# name: (default, help)
FLAGS = {
    "node_id": ("", "Unique name of this node; the host's name and port by default."),
    "host": ("", "Name of the host; the system's host name by default."),
    "region": ("", "Region of the host."),
    "dc": ("", "Data centre of the host."),
    "data_addr": ("127.0.0.1:0", "IP number and port for callers."),
    "mesh_addr": ("127.0.0.1:0", "IP number and port for other nodes, UDP and TCP."),
    "admin_addr": ("127.0.0.1:0", "IP number and port for operators and the target."),
    "store_url": ("", "Base URL of the platform's table service."),
    "seeds": ("", "Comma-separated mesh addresses of some nodes."),
    "mesh_keys": ("", "Comma-separated keys; the first signs, each is accepted."),
    "policy": ("hot-cold", "Routing policy."),
    "statsd_addr": ("", "IP number and port of a statsd server; none if empty."),
}


def parse_addr(text):
    """Return (IP number, port) of `IP:PORT`.

    Raises
    ------
    ValueError
    """
    ip, _, port = text.rpartition(":")
    socket.inet_aton(ip)
    if not 0 <= int(port) <= 65535:
        raise ValueError(f"port {port} is not within 0 to 65535")
    return ip, int(port)


class NodeConfig(BaseModel):
    """Settings of a node."""

    model_config = ConfigDict(frozen=True)

    node_id: str = ""
    host: str = Field(default_factory=socket.gethostname)
    region: str = Field(min_length=1)
    dc: str = Field(min_length=1)
    data_addr: tuple[str, int]
    mesh_addr: tuple[str, int]
    admin_addr: tuple[str, int]
    store_url: str = Field(pattern=r"^(https?://.+)?$")
    seeds: tuple[tuple[str, int], ...] = ()
    mesh_keys: tuple[str, ...] = Field(min_length=1)
    policy: str = "hot-cold"
    statsd_addr: tuple[str, int] | None = None

    @field_validator("data_addr", "mesh_addr", "admin_addr", mode="before")
    @classmethod
    def _split_addr(cls, value):
        return parse_addr(value) if isinstance(value, str) else value

    @field_validator("statsd_addr", mode="before")
    @classmethod
    def _split_optional_addr(cls, value):
        return parse_addr(value) if value else None

    @field_validator("seeds", mode="before")
    @classmethod
    def _split_seeds(cls, value):
        if isinstance(value, str):
            return tuple(parse_addr(part) for part in value.split(",") if part)
        return value

    @field_validator("mesh_keys", mode="before")
    @classmethod
    def _split_keys(cls, value):
        if isinstance(value, str):
            return tuple(part for part in value.split(",") if part)
        return value

    @field_validator("policy")
    @classmethod
    def _known_policy(cls, value):
        if value not in policy_names():
            raise ValueError(f"not one of {', '.join(policy_names())}")
        return value


def define_flags():
    """Define the flags; the default of each is its environment variable."""
    for name, (default, text) in FLAGS.items():
        variable = ENV_PREFIX + name.upper()
        value = os.environ.get(variable, default)
        flags.DEFINE_string(name, value, f"{text} Environment: {variable}.")


def load_config(values):
    """Return the settings from flag values.

    Parameters
    ----------
    values : dict of str to str

    Raises
    ------
    SettingsError
        Naming each setting that is not allowed.
    """
    given = {name: value for name, value in values.items() if value != ""}
    given.setdefault("store_url", "")
    try:
        return NodeConfig(**given)
    except ValidationError as exc:
        problems = "; ".join(
            f"--{'.'.join(map(str, err['loc']))}: {err['msg']}" for err in exc.errors()
        )
        raise SettingsError(problems) from exc
