"""Reads and validates the experiment file of the emulator.

The emulator runs the decision code of the load balancer's nodes in simulated time, with
models of the targets, the network and the callers.
"""

import tomllib
from typing import Literal

from pydantic import Field

from ..config import StrictModel
from .targets import CallKind, TargetTraits

__all__ = ["Condition", "Experiment", "Fault", "Site", "load_experiment"]


class Fault(StrictModel):
    """A fault that starts at `at_s`, counted from the start of the load.

    Attributes
    ----------
    kind : str
        `burst`: the load is `factor` times as high. `slow`: work takes `factor` times
        as long. `grey`: targets fail requests with the probability `factor`. `lost`:
        nodes take no calls. `power_off`: all nodes and targets go down and restart.
    at_s, for_s : float
        Start and duration, seconds.
    share : float
        Share of the nodes that `lost` affects, or of the targets that `slow` and `grey`
        affect. All are of the service of the first kind of call in `Site.kinds`.
    """

    kind: Literal["burst", "slow", "grey", "lost", "power_off"]
    at_s: float = Field(ge=0)
    for_s: float = Field(gt=0)
    factor: float = 1.0
    share: float = Field(1.0, gt=0, le=1)


class Condition(StrictModel):
    """What a run is exposed to: a load and faults.

    `load` is a multiple of the call rates `CallKind.per_s`.
    """

    name: str
    load: float = Field(1.0, gt=0)
    faults: tuple[Fault, ...] = ()


class Site(StrictModel):
    """A deployment, which may have several data centres.

    Attributes
    ----------
    dcs : dict of str to str
        Region of each data centre.
    dc_s, region_s : float
        One-way network delay to another data centre of the region and to another
        region, seconds.
    services : dict of str to tuple of int
        For each service, the number of targets in each data centre, in the order of
        `dcs`. Each target has a node of its own.
    traits : TargetTraits
        Capacity and slowdowns that all targets have in common.
    kinds : tuple of CallKind
        Kinds of calls, each to one service. The faults `slow`, `grey` and `lost` affect
        only the service of the first kind; `burst` and `power_off` affect all services.
    """

    name: str
    dcs: dict[str, str] = Field(min_length=1)
    dc_s: float
    region_s: float
    services: dict[str, tuple[int, ...]]
    traits: TargetTraits
    kinds: tuple[CallKind, ...]


class Experiment(StrictModel):
    """The whole file.

    There is one run for each combination of site, condition, policy and seed. Its load
    lasts `length_s` seconds.
    """

    seeds: tuple[int, ...] = Field(min_length=1)
    length_s: float = Field(gt=0)
    policies: tuple[str, ...] = Field(min_length=1)
    sites: tuple[Site, ...]
    conditions: tuple[Condition, ...]


def load_experiment(path):
    """Return the `Experiment` of a file.

    Raises
    ------
    OSError
        If the file cannot be read.
    tomllib.TOMLDecodeError
        If it is not TOML.
    pydantic.ValidationError
        If values are invalid.
    """
    with open(path, "rb") as file:
        return Experiment.model_validate(tomllib.load(file))
