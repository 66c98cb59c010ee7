"""pimentoline.commands.explain: say where a call would go and why."""

from typing import Literal

from pydantic import Field

from ..rules.field_parsers import CALL_CLASSES
from .base import ADMIN_FLAGS, AdminConfig, Command
from .exit_status import ExitStatus
from .output import as_list

__all__ = ["ExplainCommand"]


class ExplainConfig(AdminConfig):
    """Flags of `explain`."""

    call_class: Literal[CALL_CLASSES] = "normal"
    deadline_ms: int | None = Field(None, ge=1, le=600_000)
    key: str = Field("", max_length=200)


class ExplainCommand(Command):
    """Runs the node's decisions without sending a call."""

    arguments = ("SERVICE", "METHOD", "PATH")
    description = """
Says what the node would do with a call now, without sending it: the rules that decide,
the policy that follows from them, each target with the reason why it is or is not used,
and the shares of the targets over 200 trial decisions.

example: pimentoline explain hive-ledger POST /sales
"""
    flags = {
        "call_class": ("normal", "Class that the caller gives in X-Call-Class."),
        "deadline_ms": ("", "Time that the caller gives in X-Deadline-Ms."),
        "key": ("", "Idempotency key of the call."),
        **ADMIN_FLAGS,
    }
    model = ExplainConfig
    exit_statuses = (ExitStatus.NODE_UNAVAILABLE,)

    def run(self, cfg, args, out):
        """Ask the node for its decision."""
        service, method, path = args
        body = {"service": service, "method": method, "path": path}
        body |= {"call_class": cfg.call_class, "key": cfg.key}
        if cfg.deadline_ms is not None:
            body["deadline_ms"] = cfg.deadline_ms
        status, answer = self.client(cfg).send_request("/v1/explain", "POST", body)
        if status != 200:
            out.write_error(
                answer.get("error", "internal"), as_list(answer.get("detail"))
            )
            return ExitStatus.USAGE
        out.write_result(answer, _lines(answer))
        return ExitStatus.OK


def _lines(answer):
    policy = answer["policy"]
    yield f"rules version {answer['rules_version']} at node {answer['node']}"
    for kind, line in sorted(answer["rules"].items()):
        yield f"rule    {line}"
    yield "policy  " + ", ".join(f"{name}={value}" for name, value in policy.items())
    if answer["claims_key"]:
        yield "first   the key is claimed in the store; below, the claim is granted"
    for outcome, share in answer["outcomes"].items():
        yield f"result  {share:7.1%}  {outcome}"
    for target in answer["targets"]:
        yield (
            f"target  {target['target_id']}  {target['region']}/{target['dc']}  "
            f"{target['reason']}"
        )
