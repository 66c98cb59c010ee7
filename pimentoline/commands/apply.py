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

EXIT_OF_RESULT = {
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
    """Applies a rules text with compare-and-set."""

    arguments = ("FILE",)
    description = """
Puts FILE in force at every node, if version --base is still the one in force. FILE
may be - for standard input. `pimentoline diff FILE` says which version is in force and
what would change.

The answer is one of
  accepted  the text has a version number and will be in force everywhere within 5 s
  conflict  somebody else was faster; the answer says who, and what differs
  unknown   the store did not say whether it wrote the text; repeat the command that
            is printed, with the same --attempt, to learn the outcome. Repeating is
            safe: one attempt is accepted at most once.
"""
    flags = {
        "author": ("", "Your name, for the audit trail."),
        "base": ("", "Version that the file is a change of; 0 if there is none yet."),
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
        """Apply the file through the node."""
        text, result = read_rules(args[0])
        if result.diagnostics:
            out.write_error("rules-invalid", result.diagnostics)
            return ExitStatus.RULES_INVALID
        attempt = cfg.attempt or uuid.uuid4().hex
        body = {
            "base": cfg.base,
            "text": text,
            "author": cfg.author,
            "attempt": attempt,
        }
        try:
            status, answer = self.client(cfg).send_request("/v1/config", "POST", body)
        except NodeUnavailableError as exc:
            if not exc.sent:
                raise
            # The node may have handed the text to the store before it fell silent.
            status, answer = 504, {"result": "unknown", "detail": exc.detail}
        answer["attempt"] = attempt
        result = answer.get("result")
        if status == 400:
            code = answer.get("error", "bad-request")
            out.write_error(code, as_list(answer.get("detail")))
            return (
                ExitStatus.RULES_INVALID
                if code == "rules-invalid"
                else ExitStatus.USAGE
            )
        if result == "unavailable" and cfg.attempt:
            # This request wrote nothing, but the one before may have.
            answer["result"] = result = "unknown"
        if result not in EXIT_OF_RESULT:
            detail = answer.get("detail", f"status {status}")
            answer |= {"result": "unknown", "detail": f"node answered {detail}"}
            result = "unknown"
        out.write_result(answer, _lines(answer, cfg, args[0]))
        return EXIT_OF_RESULT[result]


def _lines(answer, cfg, filename):
    detail = answer.get("detail", "")
    match answer["result"]:
        case "accepted":
            yield f"accepted as version {answer['version']}"
            if "superseded_by" in answer:
                yield f"since then version {answer['superseded_by']} was accepted"
            if detail:
                yield detail
        case "conflict":
            yield f"conflict: version {cfg.base} is no longer in force"
            for row in answer.get("won", ()):
                yield f"version {row['version']} by {row['author']} at {row['time']}"
            differs = answer.get("differs", [])
            if differs:
                yield "difference between the version in force and your file:"
            yield from differs
        case "unavailable":
            yield f"store unavailable, nothing was changed: {detail}"
        case _:
            addr = "{}:{}".format(*cfg.admin_addr)
            args = ["pimentoline", "apply", filename, f"--base={cfg.base}"]
            args += [f"--author={cfg.author}", f"--attempt={answer['attempt']}"]
            args.append(f"--admin_addr={addr}")
            yield f"unknown: {detail}"
            yield f"attempt {answer['attempt']}"
            yield f"to learn the outcome, repeat: {shlex.join(args)}"
