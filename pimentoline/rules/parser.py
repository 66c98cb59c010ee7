"""pimentoline.rules.parser: read a rules text, reporting every problem at once."""

from dataclasses import dataclass

from .ruleset import RuleSet

__all__ = ["Diagnostic", "ParseResult", "parse"]


@dataclass(frozen=True, slots=True)
class IdempotentRule:
    """`idempotent SERVICE METHOD PATH`: calls that may be repeated safely."""

    service: str
    method: str
    path: str
    asked_by: str
    kind: str = "idempotent"


@dataclass(frozen=True, slots=True)
class PauseRule:
    """`pause TARGET`: the target receives no calls."""

    target: str
    asked_by: str
    kind: str = "pause"


@dataclass(frozen=True, slots=True)
class Diagnostic:
    """One problem in a rules text; `line` and `column` count from 1."""

    filename: str
    line: int
    column: int
    found: str
    allowed: str

    def __str__(self):
        """Return the problem as one line, file and place first."""
        place = f"{self.filename}:{self.line}:{self.column}"
        return f"{place}: found {self.found}; allowed: {self.allowed}"


@dataclass(frozen=True, slots=True)
class ParseResult:
    """Rules, or the problems that prevent them; `ruleset` is None with problems."""

    ruleset: RuleSet | None
    diagnostics: tuple[Diagnostic, ...] = ()


RULE_KINDS = {"idempotent": (IdempotentRule, 3), "pause": (PauseRule, 1)}


def parse(text, filename="rules"):
    """Parse a rules text.

    Parameters
    ----------
    text : str
        One rule a line, each with a `#` comment that names who asked for it.
    filename : str
        Name used in diagnostics.

    Returns
    -------
    ParseResult
    """
    rules, problems = [], []
    for number, line in enumerate(text.splitlines(), start=1):
        body, mark, comment = line.partition("#")
        words = body.split()
        if not words:
            continue
        kind, fields = RULE_KINDS.get(words[0], (None, 0))
        if kind is None:
            allowed = "one of " + ", ".join(RULE_KINDS)
            problems.append(Diagnostic(filename, number, 1, repr(words[0]), allowed))
        elif not comment.strip():
            column = len(line) + 1
            allowed = "a comment naming who asked for the rule"
            problems.append(Diagnostic(filename, number, column, "no comment", allowed))
        elif len(words) != fields + 1:
            found = f"{len(words) - 1} fields"
            problems.append(Diagnostic(filename, number, 1, found, f"{fields} fields"))
        else:
            rules.append(kind(*words[1:], comment.strip()))
    if problems:
        return ParseResult(None, tuple(problems))
    return ParseResult(RuleSet(tuple(rules)))
