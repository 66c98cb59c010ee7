"""pimentoline.rules: grammar of the rules file."""

from .parser import parse
from .ruleset import CallPolicy, ProbeBudget, RuleSet, SpillRule

__all__ = ["CallPolicy", "ProbeBudget", "RuleSet", "SpillRule", "parse"]
