"""pimentoline.rules.diagnostics: one problem in a rules text."""

from dataclasses import asdict, dataclass

__all__ = ["Diagnostic"]


@dataclass(frozen=True, slots=True, order=True)
class Diagnostic:
    """One problem in a rules text.

    Parameters
    ----------
    filename : str
    line, column : int
        Place of the problem, counted from 1; 0 if it concerns the whole file.
    found : str
    allowed : str
    """

    filename: str
    line: int
    column: int
    found: str
    allowed: str

    def __str__(self):
        """Return the problem as one line, file and place first."""
        place = f"{self.filename}:{self.line}:{self.column}"
        return f"{place}: found {self.found}; allowed: {self.allowed}"

    def as_dict(self):
        """Return the problem as JSON data."""
        return asdict(self)
