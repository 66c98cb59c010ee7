"""pimentoline.commands.history: show who changed the rules and how."""

from pydantic import Field

from .base import ADMIN_FLAGS, AdminConfig, Command
from .exit_status import ExitStatus

__all__ = ["HistoryCommand"]


class HistoryConfig(AdminConfig):
    """Flags of `history`."""

    limit: int = Field(ge=1, le=100)
    before: int | None = Field(None, ge=1)
    show: int | None = Field(None, ge=1)


class HistoryCommand(Command):
    """Reads the audit trail."""

    description = """
Shows the accepted versions of the rules, the latest first: who applied each one, when,
what it changed, who had asked for the changed rules, and which nodes have it in force
now; each node is asked, which takes up to 5 s.
--show=VERSION writes the whole text of a version, to save it or to apply it again.
"""
    flags = {
        "limit": ("10", "Number of versions to show, at most 100."),
        "before": ("", "Show versions below this one."),
        "show": ("", "Write the text of this version instead."),
        **ADMIN_FLAGS,
    }
    model = HistoryConfig
    exit_statuses = (
        ExitStatus.NODE_UNAVAILABLE,
        ExitStatus.STORE_UNAVAILABLE,
        ExitStatus.NOT_FOUND,
    )

    def run(self, cfg, args, out):
        """Show the audit trail or one text."""
        if cfg.show is not None:
            status, answer = self.client(cfg).send_request(
                f"/v1/config?version={cfg.show}"
            )
            if status != 200:
                return _failed(answer, out)
            out.write_result(answer, [answer["text"].removesuffix("\n")])
            return ExitStatus.OK
        path = f"/v1/history?limit={cfg.limit}"
        if cfg.before is not None:
            path += f"&before={cfg.before}"
        status, answer = self.client(cfg).send_request(path)
        if status != 200:
            return _failed(answer, out)
        out.write_result(answer, _lines(answer))
        return ExitStatus.OK


def _failed(answer, out):
    code = answer.get("error", "internal")
    out.write_error(code, [answer.get("detail", "")])
    return ExitStatus.NOT_FOUND if code == "not-found" else ExitStatus.STORE_UNAVAILABLE


def _lines(answer):
    rows, silent = answer["history"], answer["silent"]
    if silent:
        yield f"{len(silent)} nodes did not answer: {' '.join(silent)}"
    if not rows:
        yield "no version was accepted yet"
    for row in rows:
        nodes = row["nodes"]
        yield f"version {row['version']}  {row['time']}  by {row['author']}"
        yield f"  base {row['base']}  attempt {row['attempt']}"
        if row["requesters"]:
            yield f"  asked for by: {'; '.join(row['requesters'])}"
        held = f"  in force at {len(nodes)} of {answer['members']} nodes"
        yield held + (f": {' '.join(nodes)}" if nodes else "")
        for line in row["diff"]:
            yield f"    {line}"
