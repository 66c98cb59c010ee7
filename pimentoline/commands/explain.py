"""pimentoline.commands.explain: show where a call would be sent and why."""

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
    """Shows how the node would route a call, without sending it."""

    arguments = ("SERVICE", "METHOD", "PATH")
    description = """
Shows what the node would do with a call now, without sending it: the rules that apply,
the resulting policy, each target with the reason why it is or is not used, and the
shares of the targets in 200 simulated decisions.

example: pimentoline explain hive-ledger POST /sales
"""
    flags = {
        "call_class": (
            "normal",
            "Call class in the X-Call-Class header of the caller.",
        ),
        "deadline_ms": ("", "Deadline in the X-Deadline-Ms header of the caller."),
        "key": ("", "Idempotency key of the call."),
        **ADMIN_FLAGS,
    }
    model = ExplainConfig
    exit_statuses = (ExitStatus.NODE_UNAVAILABLE,)

    def run(self, cfg, args, out):
        """Request the routing decision from the node."""
        service, method, path = args
        body = {"service": service, "method": method, "path": path}
        body |= {"call_class": cfg.call_class, "key": cfg.key}
        if cfg.deadline_ms is not None:
            body["deadline_ms"] = cfg.deadline_ms
        status, response = self.client(cfg).send_request("/v1/explain", "POST", body)
        if status != 200:
            out.write_error(
                response.get("error", "internal"), as_list(response.get("detail"))
            )
            return ExitStatus.USAGE
        out.write_result(response, _lines(response))
        return ExitStatus.OK


def _lines(response):
    """Yield the lines of the result as text."""
    policy = response["policy"]
    yield f"rules version {response['rules_version']} at node {response['node']}"
    for kind, line in sorted(response["rules"].items()):
        yield f"rule    {line}"
    yield "policy  " + ", ".join(f"{name}={value}" for name, value in policy.items())
    if response["claims_key"]:
        yield "first   the key is claimed in the store; the results assume success"
    for outcome, share in response["outcomes"].items():
        yield f"result  {share:7.1%}  {outcome}"
    for target in response["targets"]:
        yield (
            f"target  {target['target_id']}  {target['region']}/{target['dc']}  "
            f"{target['reason']}"
        )
