"""Reads and validates the experiment file: sizes, conditions, policies and seeds."""

import tomllib

from pydantic import BaseModel, ConfigDict, Field, model_validator

from pimentoline.policies import policy_names

__all__ = ["Burst", "Condition", "Experiment", "Size", "load_experiment"]


class StrictModel(BaseModel):
    """Base of the tables of an experiment file; rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Size(StrictModel):
    """A deployment to test, which has one service and one node per data centre.

    Attributes
    ----------
    regions : dict
        Names of the data centres, by region.
    instances : int
        Number of targets, spread over the data centres.
    slots : int
        Maximum number of requests that a target runs at once.
    connections : int
        Maximum number of open connections of a target.
    """

    name: str
    service: str
    regions: dict[str, tuple[str, ...]] = Field(min_length=1)
    instances: int = Field(ge=1)
    slots: int = Field(ge=1)
    connections: int = Field(ge=1)

    @property
    def dcs(self):
        """Pairs (region, data centre), in the order of the file."""
        return [(region, dc) for region, dcs in self.regions.items() for dc in dcs]


class Burst(StrictModel):
    """Multiplies the call rate by `factor` for `length_s` seconds.

    It begins `at_s` seconds after the start of the load.
    """

    at_s: float
    length_s: float
    factor: float


class Condition(StrictModel):
    """Load and faults under which each policy is measured.

    Faults are settings of the simulated target `standins.target`, which accepts them at
    `POST /faults`; an example is `{"fail": True}`.

    Attributes
    ----------
    mean_s, sigma : float
        Mean in seconds and shape of the log-normal service time.
    utilisation : float
        Offered load as a share of the capacity of all targets.
    queue : int
        Maximum number of requests that wait at a target.
    all_targets : dict
        Faults of every target, from the start.
    before : dict
        Faults of the first `affected` targets, from the start.
    faults : dict
        Faults that are set for the first `affected` targets at `at_s`. Faults set
        before under other names stay.
    affected : int
        Number of targets that `before` and `faults` apply to.
    at_s : float
        Time from the start of the load at which `faults` and `lose_region` take effect,
        seconds.
    lose_region : bool
        Pause all processes of the last region at `at_s`.
    """

    name: str
    mean_s: float = Field(0.1, gt=0)
    sigma: float = Field(0.5, gt=0)
    utilisation: float = Field(0.25, gt=0)
    queue: int = 24
    all_targets: dict = {}
    before: dict = {}
    faults: dict = {}
    affected: int = 1
    at_s: float = 0.5
    lose_region: bool = False
    burst: Burst | None = None


class Experiment(StrictModel):
    """The whole file.

    Attributes
    ----------
    subject : str
        The policy that is compared with all others.
    policies : tuple of str
        All policies to measure, including `subject`.
    seeds : tuple of int
        Each policy is measured under each condition once with each seed.
    duration_s, deadline_s : float
        Duration of the load of one run, and deadline of each call, seconds.
    quick : dict
        Values that `load_experiment` puts in place of others for a short experiment.
    """

    subject: str
    policies: tuple[str, ...]
    seeds: tuple[int, ...] = Field(min_length=1)
    duration_s: float = Field(gt=0)
    deadline_s: float = Field(gt=0)
    sizes: tuple[Size, ...] = Field(min_length=1)
    conditions: tuple[Condition, ...] = Field(min_length=1)
    quick: dict = {}

    @model_validator(mode="after")
    def _check_policy_names(self):
        unknown = {self.subject, *self.policies} - set(policy_names())
        if unknown:
            raise ValueError(f"unknown policies: {', '.join(sorted(unknown))}")
        return self


def load_experiment(path, quick=False):
    """Return the `Experiment` of a file.

    Parameters
    ----------
    path : str or Path
    quick : bool
        Replace values by those of the table `quick`. Its keys `conditions` and `sizes`
        list the names of the conditions and sizes to keep.

    Returns
    -------
    Experiment

    Raises
    ------
    OSError
        If the file cannot be read.
    tomllib.TOMLDecodeError
        If it is not TOML.
    pydantic.ValidationError
        If values are invalid; the error names each of them.
    """
    with open(path, "rb") as file:
        data = tomllib.load(file)
    if quick:
        overrides = data.get("quick", {})
        for key in ("conditions", "sizes"):
            if key in overrides:
                names = overrides.pop(key)
                data[key] = [item for item in data[key] if item["name"] in names]
        data |= overrides
    return Experiment(**data)
