"""pimentoline.commands.status: show the state of a node."""

from .base import ADMIN_FLAGS, AdminConfig, Command
from .exit_status import ExitStatus

__all__ = ["StatusCommand"]


class StatusCommand(Command):
    """Shows the state of one node."""

    description = """
Shows the node's place, the rules version in force and who it came from, the highest
version heard of, calls in flight, members, and all counters.
"""
    flags = ADMIN_FLAGS
    model = AdminConfig
    exit_statuses = (ExitStatus.NODE_UNAVAILABLE,)

    def run(self, cfg, args, out):
        """Show the status."""
        _, answer = self.client(cfg).send_request("/v1/status")
        out.write_result(answer, _lines(answer))
        return ExitStatus.OK


def _lines(answer):
    rules = answer["rules"]
    yield f"node      {answer['node']}"
    yield f"place     region {answer['region']}, data centre {answer['dc']}"
    yield (
        f"rules     version {rules['version']} from {rules['source']}, "
        f"highest heard of {rules['heard']}"
    )
    yield f"calls     {answer['calls']} in flight"
    yield f"members   {answer['members']}"
    for name, value in sorted(answer["counters"].items()):
        yield f"counter   {name} {value}"
    for name, item in sorted(answer.get("timings", {}).items()):
        yield f"timing    {name} {item['count']} times, latest {item['last_ms']:.3f} ms"
