"""pimentoline.commands.base: base class of the commands."""

from pydantic import BaseModel, ConfigDict, Field, field_validator

from ..flag_parsing import describe_flags
from ..settings import parse_addr
from .client import AdminClient
from .exit_status import EXIT_DESCRIPTIONS, ExitStatus

__all__ = ["ADMIN_FLAGS", "JSON_FLAGS", "AdminConfig", "Command", "CommandConfig"]

JSON_FLAGS = {"json": (False, "Write the result as one line of JSON.")}
ADMIN_FLAGS = {
    "admin_addr": ("127.0.0.1:8082", "Admin address of the node to use."),
    "timeout_s": ("20", "Timeout of a request to the node, in seconds."),
    **JSON_FLAGS,
}


class CommandConfig(BaseModel):
    """Flags of every command."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    json_output: bool = Field(False, alias="json")


class AdminConfig(CommandConfig):
    """Flags of the commands that send requests to a node."""

    admin_addr: tuple[str, int]
    timeout_s: float = Field(gt=0, le=600)

    @field_validator("admin_addr", mode="before")
    @classmethod
    def _split_addr(cls, value):
        return parse_addr(value) if isinstance(value, str) else value


class Command:
    """One command of the command line.

    A subclass sets the class attributes and implements `run`.

    Attributes
    ----------
    name, summary : str
        Name and summary in the help text, set from the table in `_mapping`.
    arguments : tuple of str
        Names of the required arguments. If the last name ends with `...`, this
        argument may be repeated.
    description : str
        Description in the text of `--help`.
    flags : dict of str to (default, help)
        Flags of the command, by name without `--`.
    model : subclass of pydantic.BaseModel
        Model that validates the flags.
    exit_statuses : tuple of ExitStatus
        Possible exit statuses besides `OK` and `USAGE`.
    """

    name = ""
    summary = ""
    arguments = ()
    description = ""
    flags = JSON_FLAGS
    model = CommandConfig
    exit_statuses = ()

    def run(self, cfg, args, out):
        """Run the command.

        Parameters
        ----------
        cfg : instance of `model`
            Validated flags.
        args : list of str
            Values of `arguments`.
        out : Output

        Returns
        -------
        ExitStatus

        Raises
        ------
        PimentolineError
            The command line reports it with its error code.
        """
        raise NotImplementedError

    def client(self, cfg):
        """Return a client of the node at the address in the flags."""
        return AdminClient(cfg.admin_addr, cfg.timeout_s)

    @property
    def usage(self):
        """Syntax of the command line."""
        return " ".join(["pimentoline", self.name, *self.arguments, "[flags]"])

    def help(self):
        """Return the text of `--help`."""
        statuses = (ExitStatus.OK, *self.exit_statuses, ExitStatus.USAGE)
        lines = [
            f"  {status:d}  {EXIT_DESCRIPTIONS[status]}" for status in sorted(statuses)
        ]
        return "\n".join(
            [
                f"usage: {self.usage}",
                "",
                self.description.strip("\n"),
                "",
                "flags, each with its environment variable:",
                describe_flags(self.flags),
                "",
                "exit status:",
                *lines,
            ]
        )
