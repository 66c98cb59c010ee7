"""pimentoline.commands.drain: stop new calls to a target."""

from urllib.parse import quote

from .base import ADMIN_FLAGS, AdminConfig, Command
from .exit_status import ExitStatus

__all__ = ["DrainCommand"]


class DrainCommand(Command):
    """Drains a target on the host of the node."""

    arguments = ("TARGET",)
    description = """
Stops new calls to TARGET at every node within 3 s; calls in flight are completed.
--admin_addr must be the node on the target's host: only this node may change the state
of the target. Works while the store is down. The target receives calls again after it
has been withdrawn and announced again.
"""
    flags = ADMIN_FLAGS
    model = AdminConfig
    exit_statuses = (ExitStatus.NODE_UNAVAILABLE, ExitStatus.NOT_FOUND)

    def run(self, cfg, args, out):
        """Drain the target."""
        path = f"/v1/targets/{quote(args[0], safe='')}/drain"
        status, response = self.client(cfg).send_request(path, "POST")
        if status != 200:
            out.write_error(
                response.get("error", "internal"), [response.get("detail", "")]
            )
            return (
                ExitStatus.NOT_FOUND if status == 404 else ExitStatus.NODE_UNAVAILABLE
            )
        out.write_result(response, [f"{args[0]} is draining"])
        return ExitStatus.OK
