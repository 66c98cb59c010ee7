"""pimentoline.commands.history: show who changed the rules, and how."""

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
Shows the accepted versions of the rules, the latest first. For each version, it shows
who applied it and when, the changed rules and who requested them, and which nodes have
the version in force now. Querying the nodes takes up to 5 s in total.
--show=VERSION prints the whole text of a version, to save it or to apply it again.
"""
    flags = {
        "limit": ("10", "Number of versions to show, at most 100."),
        "before": ("", "Show only versions before this one."),
        "show": ("", "Print the text of this version instead."),
        **ADMIN_FLAGS,
    }
    model = HistoryConfig
    exit_statuses = (
        ExitStatus.NODE_UNAVAILABLE,
        ExitStatus.STORE_UNAVAILABLE,
        ExitStatus.NOT_FOUND,
    )

    def run(self, cfg, args, out):
        """Show the audit trail, or the text of one version."""
        if cfg.show is not None:
            status, response = self.client(cfg).send_request(
                f"/v1/config?version={cfg.show}"
            )
            if status != 200:
                return _report_error(response, out)
            out.write_result(response, [response["text"].removesuffix("\n")])
            return ExitStatus.OK
        path = f"/v1/history?limit={cfg.limit}"
        if cfg.before is not None:
            path += f"&before={cfg.before}"
        status, response = self.client(cfg).send_request(path)
        if status != 200:
            return _report_error(response, out)
        out.write_result(response, _lines(response))
        return ExitStatus.OK


def _report_error(response, out):
    """Write the error of a response and return the exit status.

    Every error except `not-found` is reported as a failure of the store, from which the
    node reads the versions.
    """
    code = response.get("error", "internal")
    out.write_error(code, [response.get("detail", "")])
    return ExitStatus.NOT_FOUND if code == "not-found" else ExitStatus.STORE_UNAVAILABLE


def _lines(response):
    """Yield the lines of the result as text.

    `base` is the version that the text of a version is based on, and `attempt` the id
    of the request that applied it.
    """
    rows, silent = response["history"], response["silent"]
    if silent:
        yield f"{len(silent)} nodes did not respond: {' '.join(silent)}"
    if not rows:
        yield "no version has been accepted yet"
    for row in rows:
        nodes = row["nodes"]
        yield f"version {row['version']}  {row['time']}  by {row['author']}"
        yield f"  base {row['base']}  attempt {row['attempt']}"
        if row["requesters"]:
            yield f"  requested by: {'; '.join(row['requesters'])}"
        summary = f"  in force at {len(nodes)} of {response['members']} nodes"
        yield summary + (f": {' '.join(nodes)}" if nodes else "")
        for line in row["diff"]:
            yield f"    {line}"
