"""pimentoline.rules: parser and queries of the rules file."""

from .diagnostics import Diagnostic
from .file_reader import read_rules
from .parser import MAX_RULES_BYTES, ParseResult, parse
from .policy import CallPolicy, ProbeBudget, SpillPolicy
from .ruleset import RuleSet

__all__ = [
    "MAX_RULES_BYTES",
    "CallPolicy",
    "Diagnostic",
    "ParseResult",
    "ProbeBudget",
    "RuleSet",
    "SpillPolicy",
    "parse",
    "read_rules",
]
