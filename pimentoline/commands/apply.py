"""pimentoline.commands.apply: put a rules file in force."""

import shlex
import uuid

from pydantic import Field

from ..errors import NodeUnavailableError
from ..rules import read_rules
from .base import ADMIN_FLAGS, AdminConfig, Command
from .exit_status import ExitStatus
from .output import as_list

__all__ = ["ApplyCommand"]

EXIT_STATUS_BY_RESULT = {
    "accepted": ExitStatus.OK,
    "conflict": ExitStatus.CONFLICT,
    "unknown": ExitStatus.UNKNOWN,
    "unavailable": ExitStatus.STORE_UNAVAILABLE,
}


class ApplyConfig(AdminConfig):
    """Flags of `apply`."""

    author: str = Field(min_length=1, max_length=200)
    base: int = Field(ge=0)
    attempt: str = Field("", pattern=r"^[A-Za-z0-9._-]{8,64}$")


class ApplyCommand(Command):
    """Replaces the rules by compare-and-set on the version in force."""

    arguments = ("FILE",)
    description = """
Puts FILE in force at every node if version --base is still in force. FILE may be - for
standard input. `pimentoline diff FILE` shows the version in force and the changes.

The result is one of
  accepted     the text got a version number and will be in force everywhere within 5 s
  conflict     --base is not in force; the versions accepted after it, their authors
               and a diff from the version in force to FILE are printed
  unavailable  the store is unavailable; nothing was changed
  unknown      the store may or may not have written the text; to learn the outcome,
               run the printed command, which has the same --attempt. This is safe: an
               attempt is accepted at most once.
"""
    flags = {
        "author": ("", "Your name, for the audit trail."),
        "base": ("", "Version that the file is based on; 0 if there is none yet."),
        "attempt": ("", "Id of an earlier attempt whose outcome is unknown."),
        **ADMIN_FLAGS,
    }
    model = ApplyConfig
    exit_statuses = (
        ExitStatus.RULES_INVALID,
        ExitStatus.CONFLICT,
        ExitStatus.UNKNOWN,
        ExitStatus.NODE_UNAVAILABLE,
        ExitStatus.STORE_UNAVAILABLE,
    )

    def run(self, cfg, args, out):
        """Send the file to the node, which writes it to the store."""
        text, parsed = read_rules(args[0])
        if parsed.diagnostics:
            out.write_error("rules-invalid", parsed.diagnostics)
            return ExitStatus.RULES_INVALID
        attempt = cfg.attempt or uuid.uuid4().hex
        body = {
            "base": cfg.base,
            "text": text,
            "author": cfg.author,
            "attempt": attempt,
        }
        try:
            status, response = self.client(cfg).send_request("/v1/config", "POST", body)
        except NodeUnavailableError as exc:
            if not exc.sent:
                raise
            # The node may have sent the text to the store before the request failed.
            status, response = 504, {"result": "unknown", "detail": exc.detail}
        response["attempt"] = attempt
        result = response.get("result")
        if status == 400:
            code = response.get("error", "bad-request")
            out.write_error(code, as_list(response.get("detail")))
            return (
                ExitStatus.RULES_INVALID
                if code == "rules-invalid"
                else ExitStatus.USAGE
            )
        if result == "unavailable" and cfg.attempt:
            # This request wrote nothing, but the earlier one may have.
            response["result"] = result = "unknown"
        if result not in EXIT_STATUS_BY_RESULT:
            detail = response.get("detail", f"status {status}")
            response |= {
                "result": "unknown",
                "detail": f"unexpected response from the node: {detail}",
            }
            result = "unknown"
        out.write_result(response, _lines(response, cfg, args[0]))
        return EXIT_STATUS_BY_RESULT[result]


def _lines(response, cfg, filename):
    """Yield the lines of the result as text."""
    detail = response.get("detail", "")
    match response["result"]:
        case "accepted":
            yield f"accepted as version {response['version']}"
            if "superseded_by" in response:
                yield f"since then version {response['superseded_by']} was accepted"
            if detail:
                yield detail
        case "conflict":
            yield f"conflict: version {cfg.base} is not in force"
            # Versions accepted after --base: the one that replaced it and the latest.
            for row in response.get("won", ()):
                yield f"version {row['version']} by {row['author']} at {row['time']}"
            diff = response.get("differs", [])
            if diff:
                yield "difference between the version in force and your file:"
            yield from diff
        case "unavailable":
            yield f"store unavailable, nothing was changed: {detail}"
        case _:
            addr = "{}:{}".format(*cfg.admin_addr)
            args = ["pimentoline", "apply", filename, f"--base={cfg.base}"]
            args += [f"--author={cfg.author}", f"--attempt={response['attempt']}"]
            args.append(f"--admin_addr={addr}")
            yield f"unknown: {detail}"
            yield f"attempt {response['attempt']}"
            yield f"to learn the outcome, repeat: {shlex.join(args)}"
