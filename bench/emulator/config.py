"""The experiment file of the emulator, validated."""

import tomllib
from typing import Literal

from pydantic import Field

from ..config import StrictModel
from .targets import Kind, TargetTraits

__all__ = ["Condition", "Experiment", "Fault", "Site", "load_experiment"]


class Fault(StrictModel):
    """What happens `at_s` for `for_s` seconds, to a `share` of the first service.

    `factor` is that of the load, of the work, or the share of failed calls.
    """

    kind: Literal["burst", "slow", "grey", "lost", "power_off"]
    at_s: float = Field(ge=0)
    for_s: float = Field(gt=0)
    factor: float = 1.0
    share: float = Field(1.0, gt=0, le=1)


class Condition(StrictModel):
    """A load, as a part of the usual one, and faults."""

    name: str
    load: float = Field(1.0, gt=0)
    faults: tuple[Fault, ...] = ()


class Site(StrictModel):
    """A deployment: data centres with their regions, and instances in each of them."""

    name: str
    dcs: dict[str, str] = Field(min_length=1)
    dc_s: float
    region_s: float
    services: dict[str, tuple[int, ...]]
    traits: TargetTraits
    kinds: tuple[Kind, ...]


class Experiment(StrictModel):
    """The whole file."""

    seeds: tuple[int, ...] = Field(min_length=1)
    length_s: float = Field(gt=0)
    policies: tuple[str, ...] = Field(min_length=1)
    sites: tuple[Site, ...]
    conditions: tuple[Condition, ...]


def load_experiment(path):
    """Return the `Experiment` of a file.

    Raises
    ------
    OSError, tomllib.TOMLDecodeError, pydantic.ValidationError
    """
    with open(path, "rb") as file:
        return Experiment.model_validate(tomllib.load(file))
