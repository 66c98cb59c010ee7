"""pimentoline.flag_parsing: flags of a command, each with an environment variable.

Flags are declared as data, `name: (default, help)`. A default of False declares a
switch. All values are text here; pydantic models validate them.
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
    "parse_flags",
    "validate_flags",
    "env_var_name",
]

ENV_PREFIX = "PIMENTOLINE_"
HELP_WIDTH = 79
INDENT = {"initial_indent": " " * 6, "subsequent_indent": " " * 6}
TRUE_WORDS = ("1", "true", "yes", "on")
FALSE_WORDS = ("0", "false", "no", "off")
SECRETS = ("mesh_keys",)
# Kinds of pydantic's errors, where its own words do not say what is allowed.
ALLOWED = {
    "bool_parsing": "allowed: true or false",
    "float_parsing": "allowed: a number",
    "int_parsing": "allowed: a whole number",
}


def env_var_name(name):
    """Return the environment variable of a flag."""
    return ENV_PREFIX + name.upper()


def parse_flags(table, argv, environ=os.environ, known_variables=()):
    """Read flags and environment variables; a flag wins over its variable.

    Parameters
    ----------
    table : dict of str to (default, help)
    argv : list of str
        Without the program and the command.
    environ : mapping of str to str
    known_variables : iterable of str
        Variables that belong to other commands. Any further variable with our
        prefix is refused, since a misspelt one would silently have no effect.

    Returns
    -------
    values : dict of str to (str or bool)
    args : list of str
        What is not a flag.

    Raises
    ------
    SettingsError
        With one problem for each flag or variable that is not allowed.
    """
    problems = []
    found = flags.FlagValues()
    for name, (default, text) in table.items():
        if isinstance(default, bool):
            value = _switch(name, environ.get(env_var_name(name)), default, problems)
            flags.DEFINE_boolean(name, value, text, flag_values=found)
        else:
            value = environ.get(env_var_name(name), default)
            flags.DEFINE_string(name, value, text, flag_values=found)
    known = {env_var_name(name) for name in table} | set(known_variables)
    for variable in sorted(environ):
        if variable.startswith(ENV_PREFIX) and variable not in known:
            problems.append(f"{variable}: unknown{_meant(variable, known)}")
    found.set_gnu_getopt(True)
    ours, others = _split(argv)
    try:
        args = found(["pimentoline", *ours], known_only=True)[1:]
    except flags.Error as exc:
        raise SettingsError("; ".join([*problems, str(exc)]), problems + [str(exc)])
    names = [f"--{name}" for name in table]
    for arg in args:
        if arg.startswith("-") and arg != "-":
            name = arg.split("=")[0]
            problems.append(f"{name}: unknown flag{_meant(name, names)}")
    if problems:
        raise SettingsError("; ".join(problems), problems)
    return {name: found[name].value for name in table}, args + others


def _split(argv):
    if "--" in argv:
        place = argv.index("--")
        return argv[:place], argv[place + 1 :]
    return argv, []


def _switch(name, word, default, problems):
    if word is None or word.lower() in FALSE_WORDS:
        return default if word is None else False
    if word.lower() not in TRUE_WORDS:
        allowed = ", ".join(TRUE_WORDS + FALSE_WORDS)
        problems.append(f"{env_var_name(name)}: found {word!r}; allowed: {allowed}")
    return True


def _meant(word, known):
    close = difflib.get_close_matches(word, known, 1)
    return f"; did you mean {close[0]}?" if close else ""


def validate_flags(model, values):
    """Return the model of flag values.

    Parameters
    ----------
    model : subclass of pydantic.BaseModel
    values : dict of str to (str or bool)
        Empty text counts as not given.

    Raises
    ------
    SettingsError
        With one problem for each flag that is not allowed.
    """
    given = {name: value for name, value in values.items() if value != ""}
    try:
        return model(**given)
    except ValidationError as exc:
        problems = [_problem(err) for err in exc.errors()]
        raise SettingsError("; ".join(problems), problems) from exc


def _problem(err):
    name = str(err["loc"][0]) if err["loc"] else ""
    text = err["msg"].removeprefix("Value error, ")
    if not name:
        return text
    where = f"--{name} ({env_var_name(name)})"
    if err["type"] == "missing":
        return f"{where}: is required"
    if err["type"] == "string_pattern_mismatch":
        text = f"allowed: text of the form {err['ctx']['pattern']}"
    text = ALLOWED.get(err["type"], text[:1].lower() + text[1:])
    return f"{where}: {text if name in SECRETS else _found(err['input'], text)}"


def _found(value, text):
    return f"found {value!r}; {text}"


def describe_flags(table):
    """Return the flags with their variables and defaults, as text for `--help`."""
    lines = []
    for name, (default, text) in table.items():
        form = f"--{name}" if isinstance(default, bool) else f"--{name}=VALUE"
        lines.append(f"  {form}  [{env_var_name(name)}]")
        shown = "" if default in ("", False) else f" Default: {default}."
        lines.append(textwrap.fill(text + shown, HELP_WIDTH, **INDENT))
    return "\n".join(lines)
