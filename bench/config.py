"""The experiment file: sizes, conditions, policies and seeds, validated."""

import tomllib

from pydantic import BaseModel, ConfigDict, Field, model_validator

from pimentoline.policies import policy_names

__all__ = ["Burst", "Condition", "Experiment", "Size", "load_experiment"]


class Strict(BaseModel):
    """Base of the tables of the file; unknown names are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Size(Strict):
    """A user's deployment: one service, one node for each data centre."""

    name: str
    service: str
    regions: dict[str, tuple[str, ...]] = Field(min_length=1)
    instances: int = Field(ge=1)
    slots: int = Field(ge=1)
    connections: int = Field(ge=1)

    @property
    def dcs(self):
        """(region, data centre) pairs in the order of the file."""
        return [(region, dc) for region, dcs in self.regions.items() for dc in dcs]


class Burst(Strict):
    """A rate that is `factor` times higher for `length_s` from `at_s` on."""

    at_s: float
    length_s: float
    factor: float


class Condition(Strict):
    """Load and faults of one experiment.

    `utilisation` is the offered load as a share of capacity, `queue` the bound of a
    target's queue. `all_targets` holds faults of every target from the start,
    `before` faults of the first `affected` targets from the start and `faults` those
    from `at_s` on. With `lose_region` all processes of the last region stop at `at_s`.
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


class Experiment(Strict):
    """The whole experiment; `subject` is the policy compared with all others."""

    subject: str
    policies: tuple[str, ...]
    seeds: tuple[int, ...] = Field(min_length=1)
    duration_s: float = Field(gt=0)
    deadline_s: float = Field(gt=0)
    sizes: tuple[Size, ...] = Field(min_length=1)
    conditions: tuple[Condition, ...] = Field(min_length=1)
    quick: dict = {}

    @model_validator(mode="after")
    def _known_policies(self):
        unknown = {self.subject, *self.policies} - set(policy_names())
        if unknown:
            raise ValueError(f"unknown policies: {', '.join(sorted(unknown))}")
        return self


def load_experiment(path, quick=False):
    """Read an experiment file.

    Parameters
    ----------
    path : str or Path
    quick : bool
        Apply the values of the table `quick`, with `conditions` and `sizes` as names.

    Returns
    -------
    Experiment

    Raises
    ------
    pydantic.ValidationError
        Naming each value that is not allowed.
    """
    with open(path, "rb") as file:
        data = tomllib.load(file)
    if quick:
        chosen = data.get("quick", {})
        for name in ("conditions", "sizes"):
            if name in chosen:
                names = chosen.pop(name)
                data[name] = [item for item in data[name] if item["name"] in names]
        data |= chosen
    return Experiment(**data)
