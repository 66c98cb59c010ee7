"""pimentoline.twohop.store_versions: versions of the store and of its rows.

The store may come back from an older copy. It then loses later changes and gives their
versions to other ones, so versions are comparable only within one era.
"""

from dataclasses import dataclass

__all__ = ["ABSENT", "StoreVersion"]


@dataclass(frozen=True, slots=True)
class StoreVersion:
    """A version of the store or of a row.

    Attributes
    ----------
    era : int or None
        Era of the store that gave the version; None if the store does not name its era.
    number : int
        Increases with each change within an era.
    """

    era: int | None
    number: int


# Version of a row that does not exist, in every era.
ABSENT = StoreVersion(None, 0)
