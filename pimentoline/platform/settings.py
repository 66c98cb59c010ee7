"""pimentoline.platform.settings: reads the settings file of a node.

The file is written by the deployment platform that the node runs on.
"""

import math
import re
import tomllib

from pydantic import (
    BaseModel,
    ConfigDict,
    PositiveInt,
    ValidationError,
    field_validator,
)

from ..errors import SettingsError
from ..settings import parse_addr
from ..twohop.model import RetryLimits
from ..twohop.node import HostSettings

__all__ = [
    "SettingsFile",
    "load_settings_file",
    "parse_duration",
    "parse_whole_number",
]

DURATION_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
UNIT_S = {"ms": 0.001, "s": 1.0}
BYTES_PER_MB = 1_000_000


def parse_duration(text):
    """Return the seconds of a duration such as `1500ms` or `2.5s`.

    Raises
    ------
    ValueError
        If the text has another form.
    """
    match = DURATION_PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"found {text!r:.40}; allowed: a number with ms or s")
    duration_s = float(match[1]) * UNIT_S[match[2]]
    if not math.isfinite(duration_s):
        raise ValueError(f"found {text!r:.40}; the number is out of range")
    return duration_s


def parse_whole_number(value):
    """Return a decoded JSON value if it is a whole number.

    Raises
    ------
    ValueError
        If it is of another type, or a boolean.
    """
    if type(value) is not int:
        raise ValueError(f"found {value!r:.40}; allowed: a whole number")
    return value


class ListenSettings(BaseModel):
    """The `listen` table of the file: the addresses that this process listens on.

    `outbound` is for callers, `inbound` for other nodes, `control` for heartbeats of
    the target and `ready_addr` for the readiness check.
    """

    inbound: tuple[str, int]
    outbound: tuple[str, int]
    ready_addr: tuple[str, int]
    control: tuple[str, int]

    @field_validator("*", mode="before")
    @classmethod
    def _parse_addr(cls, value):
        return parse_addr(value)


class StoreSettings(BaseModel):
    """The `platform` table of the file: the address of the platform's store."""

    address: tuple[str, int]

    @field_validator("address", mode="before")
    @classmethod
    def _parse_addr(cls, value):
        return parse_addr(value)


class LimitSettings(BaseModel):
    """The `limits` table of the file: what the process may use on its host.

    `memory_mb` is in units of 10^6 bytes, `max_fds` the number of descriptors.
    """

    memory_mb: PositiveInt = 300
    max_fds: PositiveInt = 4100


class SettingsFile(BaseModel):
    """The settings file of the platform; fields that are not listed are ignored."""

    model_config = ConfigDict(frozen=True)

    node_name: str
    zone: str
    region: str
    service: str
    app_addr: tuple[str, int]
    # Retry limits and the grace period of a stop, by name. In the file, they are a list
    # or a comma-separated text of NAME=VALUE items:
    #   retry_ratio   retries allowed for each first attempt
    #   retry_window  sliding window in which the retries are counted, a duration
    #   retry_slack   retries allowed in addition, regardless of traffic
    #   grace         time from SIGTERM until the process is killed, a duration
    bounds: dict[str, str]
    listen: ListenSettings
    limits: LimitSettings = LimitSettings()
    platform: StoreSettings

    @field_validator("app_addr", mode="before")
    @classmethod
    def _parse_addr(cls, value):
        return parse_addr(value)

    @field_validator("bounds", mode="before")
    @classmethod
    def _parse_bounds(cls, value):
        if isinstance(value, str):
            value = value.split(",")
        return dict(item.split("=", 1) for item in value)

    def host_settings(self):
        """Return the settings with the names and units that a node uses.

        Raises
        ------
        SettingsError
            If an item of `bounds` is missing or invalid.
        """
        bounds = self.bounds
        try:
            retry_limits = RetryLimits(
                float(bounds["retry_ratio"]),
                parse_duration(bounds["retry_window"]),
                float(bounds["retry_slack"]),
            )
            grace_s = parse_duration(bounds["grace"])
        except (KeyError, ValueError) as exc:
            raise SettingsError(f"bounds: item is missing or invalid: {exc}") from exc
        return HostSettings(
            node=self.node_name,
            dc=self.zone,
            region=self.region,
            service=self.service,
            callers_addr=self.listen.outbound,
            peers_addr=self.listen.inbound,
            heartbeats_addr=self.listen.control,
            ready_addr=self.listen.ready_addr,
            target_addr=self.app_addr,
            grace_s=grace_s,
            retry_limits=retry_limits,
            memory_bytes=self.limits.memory_mb * BYTES_PER_MB,
            max_descriptors=self.limits.max_fds,
        )


def load_settings_file(path):
    """Return the settings from a file.

    Raises
    ------
    SettingsError
        Naming the file and what is wrong with it.
    """
    try:
        with open(path, "rb") as file:
            return SettingsFile.model_validate(tomllib.load(file))
    except OSError as exc:
        raise SettingsError(f"settings file {path}: {exc.strerror}") from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise SettingsError(f"settings file {path} is not TOML: {exc}") from exc
    except RecursionError:
        raise SettingsError(f"settings file {path} is nested too deeply") from None
    except ValidationError as exc:
        problems = [
            f"{'.'.join(map(str, item['loc']))}: {item['msg']}" for item in exc.errors()
        ]
        raise SettingsError(f"settings file {path}: {'; '.join(problems)}") from exc
