"""pimentoline.commands.diff: compare a rules file with the rules in force."""

from ..audit import diff_lines
from ..rules import read_rules
from .base import ADMIN_FLAGS, AdminConfig, Command
from .exit_status import ExitStatus

__all__ = ["DiffCommand"]


class DiffCommand(Command):
    """Shows what applying a file would change."""

    arguments = ("FILE",)
    description = """
Shows what applying FILE would change in the rules in force, and their version. Give
this version to `apply --base`: `apply` then fails if another version was accepted in
the meantime. FILE may be - for standard input.
"""
    flags = ADMIN_FLAGS
    model = AdminConfig
    exit_statuses = (
        ExitStatus.RULES_INVALID,
        ExitStatus.NODE_UNAVAILABLE,
        ExitStatus.DIFFERENT,
    )

    def run(self, cfg, args, out):
        """Compare the file with the rules in force at the node."""
        text, parsed = read_rules(args[0])
        if parsed.diagnostics:
            out.write_error("rules-invalid", parsed.diagnostics)
            return ExitStatus.RULES_INVALID
        _, response = self.client(cfg).send_request("/v1/config")
        lines = diff_lines(response["text"], text)
        version = response["version"]
        data = {"version": version, "diff": lines}
        relation = "differs from" if lines else "is equal to"
        summary = f"{args[0]} {relation} version {version}, which is in force"
        out.write_result(data, [summary, *lines])
        return ExitStatus.DIFFERENT if lines else ExitStatus.OK
