"""pimentoline.commands.status: show the state of a node."""

from .base import ADMIN_FLAGS, AdminConfig, Command
from .exit_status import ExitStatus

__all__ = ["StatusCommand"]


class StatusCommand(Command):
    """Shows the state of one node."""

    description = """
Shows the location of the node, the rules version in force and its source, the highest
version that any peer or the store has reported, the number of calls in flight, the
number of members of the mesh, and all counters and timings.
"""
    flags = ADMIN_FLAGS
    model = AdminConfig
    exit_statuses = (ExitStatus.NODE_UNAVAILABLE,)

    def run(self, cfg, args, out):
        """Show the status."""
        _, response = self.client(cfg).send_request("/v1/status")
        out.write_result(response, _lines(response))
        return ExitStatus.OK


def _lines(response):
    """Yield the lines of the result as text."""
    # `heard` is the highest version that any peer or the store reported to the node.
    rules = response["rules"]
    yield f"node      {response['node']}"
    yield f"location  region {response['region']}, data centre {response['dc']}"
    yield (
        f"rules     version {rules['version']} from {rules['source']}, "
        f"highest known {rules['heard']}"
    )
    yield f"calls     {response['calls']} in flight"
    yield f"members   {response['members']}"
    for name, value in sorted(response["counters"].items()):
        yield f"counter   {name} {value}"
    for name, item in sorted(response.get("timings", {}).items()):
        yield f"timing    {name} {item['count']} times, latest {item['last_ms']:.3f} ms"
