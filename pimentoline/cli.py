"""pimentoline.cli: entry point of the command line."""

import sys
import traceback

from .commands import ExitStatus, command_names, get_command_by_name
from .commands._mapping import COMMANDS
from .commands.exit_status import EXIT_DESCRIPTIONS
from .commands.output import Output
from .errors import (
    NodeUnavailableError,
    PimentolineError,
    SettingsError,
    StoreError,
)
from .flag_parsing import env_var_name, parse_flags, validate_flags

__all__ = ["main", "run"]

HELP_ARGUMENTS = ("--help", "-h", "help")
# Environment variables that the launcher of the single-file executable reads.
LAUNCHER_VARIABLES = ("PIMENTOLINE_RUNTIME_DIR",)


def main():
    """Run the command line of this process and exit with its status."""
    sys.exit(run(sys.argv[1:]))


def run(argv):
    """Run one command.

    Parameters
    ----------
    argv : list of str
        Name of the command, arguments and flags.

    Returns
    -------
    ExitStatus
    """
    # Set before the flags are parsed, so that errors in flags are written as JSON too.
    out = Output("--json" in argv)
    if not argv or argv[0] in HELP_ARGUMENTS:
        print(_help_text())
        return ExitStatus.OK if argv else ExitStatus.USAGE
    command = get_command_by_name(argv[0])
    if command is None:
        names = ", ".join(command_names())
        out.write_error("usage", [f"found {argv[0]!r}; allowed commands: {names}"])
        return ExitStatus.USAGE
    if any(word in HELP_ARGUMENTS[:2] for word in argv[1:]):
        print(command.help())
        return ExitStatus.OK
    try:
        return _run(command, argv[1:], out)
    except SettingsError as exc:
        out.write_error(exc.code, exc.problems)
        return ExitStatus.USAGE
    except NodeUnavailableError as exc:
        out.write_error(exc.code, [exc.detail])
        return ExitStatus.NODE_UNAVAILABLE
    except StoreError as exc:
        out.write_error(exc.code, [exc.detail])
        return ExitStatus.STORE_UNAVAILABLE
    except PimentolineError as exc:
        out.write_error(exc.code, [exc.detail])
        return ExitStatus.INTERNAL
    except (KeyError, TypeError) as exc:
        traceback.print_exc()
        out.write_error(
            "internal",
            [f"missing or unexpected field in the response of the node: {exc}"],
        )
        return ExitStatus.INTERNAL
    except OSError as exc:
        out.write_error("internal", [str(exc)])
        return ExitStatus.INTERNAL


def _run(command, argv, out):
    """Parse and validate a command's flags and arguments; return its exit status."""
    known_variables = {
        env_var_name(name)
        for other in command_names()
        for name in get_command_by_name(other).flags
    }
    known_variables.update(LAUNCHER_VARIABLES)
    values, args = parse_flags(command.flags, argv, known_variables=known_variables)
    out.as_json = values.get("json", False)
    repeatable = bool(command.arguments) and command.arguments[-1].endswith("...")
    required = len(command.arguments)
    if len(args) < required or (len(args) > required and not repeatable):
        allowed = " ".join(command.arguments) or "no arguments"
        raise SettingsError(f"found {len(args)} arguments; allowed: {allowed}")
    return command.run(validate_flags(command.model, values), args, out)


def _help_text():
    lines = ["usage: pimentoline COMMAND [arguments] [flags]", ""]
    lines += ["Load balancer for services whose load changes within milliseconds.", ""]
    lines.append("commands (see `pimentoline COMMAND --help`):")
    lines += [f"  {name:<9} {entry[2]}" for name, entry in COMMANDS.items()]
    lines += ["", "Every flag has an environment variable: --admin_addr is"]
    lines += [f"{env_var_name('admin_addr')}. A flag overrides its variable.", ""]
    lines.append("exit status:")
    lines += [f"  {status:d}  {text}" for status, text in EXIT_DESCRIPTIONS.items()]
    return "\n".join(lines)
