"""pimentoline.cli: the command line."""

import asyncio
import sys

from absl import app, flags

from .errors import PimentolineError
from .logs import configure_logs
from .node import Node
from .rules import parse
from .settings import FLAGS, define_flags, load_config

__all__ = ["main"]


def run_node(args):
    """Run a node until it is told to stop."""
    configure_logs()
    cfg = load_config({name: flags.FLAGS[name].value for name in FLAGS})

    async def serve():
        await Node.from_config(cfg).run()

    asyncio.run(serve())
    return 0


def check_rules(args):
    """Check a rules file and print every problem."""
    with open(args[0], encoding="utf-8") as file:
        result = parse(file.read(), args[0])
    for problem in result.diagnostics:
        print(problem)
    return 1 if result.diagnostics else 0


COMMANDS = {"node": run_node, "check": check_rules}


def _dispatch(argv):
    if len(argv) < 2 or argv[1] not in COMMANDS:
        print(f"usage: pimentoline {'|'.join(COMMANDS)}", file=sys.stderr)
        return 2
    try:
        return COMMANDS[argv[1]](argv[2:])
    except PimentolineError as exc:
        print(f"error: {exc.code}: {exc.detail}", file=sys.stderr)
        return 2


def main():
    """Run the command line of this process."""
    define_flags()
    app.run(_dispatch)
