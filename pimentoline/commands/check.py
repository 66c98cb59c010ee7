"""pimentoline.commands.check: report every problem of rules files."""

from ..rules import read_rules
from .base import Command
from .exit_status import ExitStatus

__all__ = ["CheckCommand"]


class CheckCommand(Command):
    """Checks rules files offline."""

    arguments = ("FILE...",)
    description = """
Checks rules files and prints every problem as
    file:line:column: found ...; allowed: ...
No node is contacted and nothing is changed. FILE may be - for standard input. The
grammar is in docs/rules.md.
"""
    exit_statuses = (ExitStatus.RULES_INVALID,)

    def run(self, cfg, args, out):
        """Check each file."""
        problems, rule_count = [], 0
        for filename in args:
            _text, result = read_rules(filename)
            problems += result.diagnostics
            rule_count += len(result.ruleset.rules) if result.ruleset else 0
        lines = [str(item) for item in problems] or [f"{rule_count} rules, no problems"]
        data = {"rules": rule_count, "problems": [item.as_dict() for item in problems]}
        out.write_result(data, lines)
        return ExitStatus.RULES_INVALID if problems else ExitStatus.OK
