"""pimentoline.rules.diagnostics: problems found in a rules text."""

from dataclasses import asdict, dataclass

__all__ = ["Diagnostic"]


@dataclass(frozen=True, slots=True, order=True)
class Diagnostic:
    """One problem in a rules text.

    Parameters
    ----------
    filename : str
    line, column : int
        Position of the problem, counted from 1; 0 if it concerns the whole file.
    found : str
        Description of the text at this position.
    allowed : str
        What is allowed there.
    """

    filename: str
    line: int
    column: int
    found: str
    allowed: str

    def __str__(self):
        """Return the problem as one line that begins with file, line and column."""
        position = f"{self.filename}:{self.line}:{self.column}"
        return f"{position}: found {self.found}; allowed: {self.allowed}"

    def as_dict(self):
        """Return the problem as a dictionary that can be written as JSON."""
        return asdict(self)
