"""pimentoline.flag_parsing: command-line flags with environment variables.

A command declares its flags as a dictionary of `name: (default, help)`. A flag with a
boolean default is a switch; all other values are text until a pydantic model validates
them.
"""

import difflib
import os
import textwrap

from absl import flags
from pydantic import ValidationError

from .errors import SettingsError

__all__ = [
    "ENV_PREFIX",
    "describe_flags",
    "env_var_name",
    "parse_flags",
    "validate_flags",
]

ENV_PREFIX = "PIMENTOLINE_"
HELP_WIDTH_CHARS = 79
INDENT = {"initial_indent": " " * 6, "subsequent_indent": " " * 6}
TRUE_WORDS = ("1", "true", "yes", "on")
FALSE_WORDS = ("0", "false", "no", "off")
# Flags whose values are not shown in error messages.
SECRET_FLAGS = ("mesh_keys",)
# Texts for types of pydantic errors whose message does not say what is allowed.
ALLOWED_BY_ERROR_TYPE = {
    "bool_parsing": "allowed: true or false",
    "float_parsing": "allowed: a number",
    "int_parsing": "allowed: a whole number",
}


def env_var_name(name):
    """Return the name of the environment variable of a flag."""
    return ENV_PREFIX + name.upper()


def parse_flags(flag_table, argv, environ=os.environ, known_variables=()):
    """Parse flags and environment variables; a flag overrides its variable.

    Parameters
    ----------
    flag_table : dict of str to (default, help)
    argv : list of str
        Arguments after the name of the command.
    environ : mapping of str to str
    known_variables : iterable of str
        Variables of other commands, which are allowed. Other variables with the
        prefix `PIMENTOLINE_` are rejected, because a misspelt one would silently
        have no effect.

    Returns
    -------
    values : dict of str to (str or bool)
    args : list of str
        Arguments that are not flags.

    Raises
    ------
    SettingsError
        With one problem for each invalid flag or variable.
    """
    problems = []
    flag_values = flags.FlagValues()
    for name, (default, help_text) in flag_table.items():
        if isinstance(default, bool):
            value = _boolean_default(
                name, environ.get(env_var_name(name)), default, problems
            )
            flags.DEFINE_boolean(name, value, help_text, flag_values=flag_values)
        else:
            value = environ.get(env_var_name(name), default)
            flags.DEFINE_string(name, value, help_text, flag_values=flag_values)
    known = {env_var_name(name) for name in flag_table} | set(known_variables)
    for variable in sorted(environ):
        if variable.startswith(ENV_PREFIX) and variable not in known:
            problems.append(f"{variable}: unknown{_suggestion(variable, known)}")
    flag_values.set_gnu_getopt(True)
    before, after = _split_at_double_dash(argv)
    try:
        # Unknown flags stay in `args` and are reported below with a suggestion.
        args = flag_values(["pimentoline", *before], known_only=True)[1:]
    except flags.Error as exc:
        raise SettingsError("; ".join([*problems, str(exc)]), problems + [str(exc)])
    names = [f"--{name}" for name in flag_table]
    for arg in args:
        if arg.startswith("-") and arg != "-":
            name = arg.split("=")[0]
            problems.append(f"{name}: unknown flag{_suggestion(name, names)}")
    if problems:
        raise SettingsError("; ".join(problems), problems)
    return {name: flag_values[name].value for name in flag_table}, args + after


def _split_at_double_dash(argv):
    """Return the arguments before and after `--`; no flags are parsed after it."""
    if "--" in argv:
        index = argv.index("--")
        return argv[:index], argv[index + 1 :]
    return argv, []


def _boolean_default(name, value, default, problems):
    """Return the value that a switch has if its flag is not given.

    `value` is the value of its environment variable, or None if that is not set; then
    the switch has the value `default`. If `value` is invalid, append an error to
    `problems`.
    """
    if value is None or value.lower() in FALSE_WORDS:
        return default if value is None else False
    if value.lower() not in TRUE_WORDS:
        allowed = ", ".join(TRUE_WORDS + FALSE_WORDS)
        problems.append(f"{env_var_name(name)}: found {value!r}; allowed: {allowed}")
    return True


def _suggestion(word, known):
    """Return a suggestion for a misspelt name, or empty text."""
    close = difflib.get_close_matches(word, known, 1)
    return f"; did you mean {close[0]}?" if close else ""


def validate_flags(model, values):
    """Validate flag values and return them as an instance of the model.

    Parameters
    ----------
    model : subclass of pydantic.BaseModel
    values : dict of str to (str or bool)
        Empty text means that the flag is not given.

    Raises
    ------
    SettingsError
        With one problem for each invalid flag.
    """
    given = {name: value for name, value in values.items() if value != ""}
    try:
        return model(**given)
    except ValidationError as exc:
        problems = [_error_text(err) for err in exc.errors()]
        raise SettingsError("; ".join(problems), problems) from exc


def _error_text(err):
    """Return the error message for an invalid flag from a pydantic error."""
    name = str(err["loc"][0]) if err["loc"] else ""
    text = err["msg"].removeprefix("Value error, ")
    if not name:
        return text
    label = f"--{name} ({env_var_name(name)})"
    if err["type"] == "missing":
        return f"{label}: is required"
    if err["type"] == "string_pattern_mismatch":
        text = f"allowed: text of the form {err['ctx']['pattern']}"
    text = ALLOWED_BY_ERROR_TYPE.get(err["type"], text[:1].lower() + text[1:])
    return (
        f"{label}: {text if name in SECRET_FLAGS else _add_value(err['input'], text)}"
    )


def _add_value(value, text):
    """Return the text of an error message with the invalid value in front."""
    return f"found {value!r}; {text}"


def describe_flags(flag_table):
    """Return the part of the `--help` text that lists the flags."""
    lines = []
    for name, (default, help_text) in flag_table.items():
        usage = f"--{name}" if isinstance(default, bool) else f"--{name}=VALUE"
        lines.append(f"  {usage}  [{env_var_name(name)}]")
        default_text = "" if default in ("", False) else f" Default: {default}."
        lines.append(
            textwrap.fill(help_text + default_text, HELP_WIDTH_CHARS, **INDENT)
        )
    return "\n".join(lines)
