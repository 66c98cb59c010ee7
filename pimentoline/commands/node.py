"""pimentoline.commands.node: run a node."""

import asyncio

from ..logs import configure_logs
from ..settings import FLAGS, NodeConfig
from .base import Command
from .exit_status import ExitStatus

__all__ = ["NodeCommand"]


class NodeCommand(Command):
    """Runs a node in this process."""

    description = """
Runs a node until SIGTERM or SIGINT, then completes every call in flight and stops.
When it is ready for calls, it writes one line of JSON with its addresses to standard
output; log entries are written to standard error as lines of JSON.

--region, --dc and --mesh_keys are required. Without --store_url the node gets the
rules from its peers and cannot apply any.
"""
    flags = FLAGS
    model = NodeConfig
    exit_statuses = (ExitStatus.INTERNAL,)

    def run(self, cfg, args, out):
        """Run the node until it receives a stop signal."""
        # Imported here, so that the other commands start faster.
        from ..node import Node

        configure_logs()

        async def serve():
            await Node.from_config(cfg).run()

        asyncio.run(serve())
        return ExitStatus.OK
