"""pimentoline.commands.mesh: show the nodes and targets that a node knows."""

from .base import ADMIN_FLAGS, AdminConfig, Command
from .exit_status import ExitStatus

__all__ = ["MeshCommand"]


class MeshCommand(Command):
    """Shows the member records that a node holds.

    Each record describes one node and the targets on its host.
    """

    description = """
Shows the nodes that the node at --admin_addr knows, with their status, and the targets
that each of them has announced.
"""
    flags = ADMIN_FLAGS
    model = AdminConfig
    exit_statuses = (ExitStatus.NODE_UNAVAILABLE,)

    def run(self, cfg, args, out):
        """Show the member records that the node holds."""
        _, response = self.client(cfg).send_request("/v1/mesh")
        out.write_result(response, _lines(response["members"]))
        return ExitStatus.OK


def _lines(members):
    """Yield one line for each node and, indented below it, for each of its targets."""
    for record in members:
        location = f"{record['region']}/{record['dc']}"
        yield f"{record['node_id']}  {location}  {record['status']}"
        for target in record["targets"]:
            addr = "{}:{}".format(*target["addr"])
            yield (
                f"  {target['target_id']}  {target['service']}  {addr}  "
                f"{target['state']}  {target['slots']} slots"
            )
