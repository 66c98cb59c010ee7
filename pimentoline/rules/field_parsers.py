"""pimentoline.rules.field_parsers: parsers of the fields and options of a rule.

The fields of a rule are required and have a fixed order; the options follow as
`NAME=VALUE`. A parser takes the name of a field or option and its text, and returns the
value. It raises `OptionError`, which names the option and the allowed values.
"""

import re

from ..errors import PimentolineError

__all__ = [
    "ANY",
    "CALL_CLASSES",
    "METHODS",
    "NAME_PATTERN",
    "OptionError",
    "parse_class",
    "parse_count",
    "parse_duration_s",
    "parse_method",
    "parse_name",
    "parse_name_or_any",
    "parse_names",
    "parse_number",
    "parse_path",
    "parse_scope",
    "parse_share",
    "parse_switch",
]

ANY = "*"
CALL_CLASSES = ("critical", "normal", "sheddable")
METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
# Longer patterns slow matching down and are not needed to tell paths apart.
MAX_PATH_CHARS = 256
MAX_COUNT = 1_000_000_000

# Settings and the admin interface require the same pattern, so that rules can name
# every service, region and target.
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._:-]*$"
NAME_RE = re.compile(NAME_PATTERN)
NUMBER_RE = re.compile(r"[0-9]+(\.[0-9]+)?")
DURATION_RE = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
MIN_DURATION_S = 0.001
MAX_DURATION_S = 600.0
NAME_DESCRIPTION = "letters, digits and . _ : -, beginning with a letter or digit"


class OptionError(PimentolineError):
    """A field or option of a rule has a value that is not allowed.

    Parameters
    ----------
    option : str
        Name of the field or option.
    found : str
        The text found.
    allowed : str
        The allowed values, as text for the user.
    """

    code = "option-invalid"

    def __init__(self, option, found, allowed):
        super().__init__(f"{option}: found {found!r}; allowed: {allowed}")
        self.option = option
        self.found = found
        self.allowed = allowed


def parse_name(option, word):
    """Return the name of a service, region, target or version."""
    if not NAME_RE.fullmatch(word):
        raise OptionError(option, word, NAME_DESCRIPTION)
    return word


def parse_name_or_any(option, word):
    """Return a name, or `*`, which matches every name."""
    if word != ANY and not NAME_RE.fullmatch(word):
        raise OptionError(option, word, f"* or {NAME_DESCRIPTION}")
    return word


def parse_names(option, word):
    """Return the names of a comma-separated list without duplicates, as a tuple."""
    names = tuple(word.split(","))
    if len(set(names)) < len(names) or not all(map(NAME_RE.fullmatch, names)):
        raise OptionError(option, word, "different names separated by commas")
    return names


def parse_scope(option, word):
    """Return what a rule applies to: one target, or a service's targets in a region.

    The text is `TARGET`, or `SERVICE@REGION`, where `*` matches every name.
    """
    service, separator, region = word.partition("@")
    if not separator:
        return parse_name(option, word)
    if not all(part == ANY or NAME_RE.fullmatch(part) for part in (service, region)):
        raise OptionError(option, word, "TARGET or SERVICE@REGION")
    return word


def parse_choice(option, word, choices):
    """Return the word if it is one of the choices."""
    if word not in choices:
        raise OptionError(option, word, "one of " + ", ".join(choices))
    return word


def parse_class(option, word):
    """Return a call class."""
    return parse_choice(option, word, CALL_CLASSES)


def parse_method(option, word):
    """Return an HTTP method."""
    return parse_choice(option, word, METHODS)


def parse_switch(option, word):
    """Return True for `on` and False for `off`."""
    return parse_choice(option, word, ("on", "off")) == "on"


def parse_path(option, word):
    """Return a path pattern.

    `*`, `?` and `[...]` are wildcards as in shell patterns, but match `/` as well.
    """
    if word[:1] not in ("/", "*") or len(word) > MAX_PATH_CHARS:
        allowed = f"a pattern of at most {MAX_PATH_CHARS} characters, first / or *"
        raise OptionError(option, word, allowed)
    return word


def parse_number(option, word, low, high):
    """Return a decimal number from `low` to `high`."""
    if not NUMBER_RE.fullmatch(word) or not low <= float(word) <= high:
        raise OptionError(option, word, f"a number from {low:g} to {high:g}")
    return float(word)


def parse_count(option, word, low=0, high=MAX_COUNT):
    """Return a whole number from `low` to `high`."""
    # int() rejects texts of more than 4300 digits; 20 digits exceed any `high` if the
    # first is not 0.
    if not (word.isascii() and word.isdigit()) or not low <= int(word[:20]) <= high:
        raise OptionError(option, word, f"a whole number from {low} to {high}")
    return int(word)


def parse_share(option, word, high=1.0):
    """Return a share from 0 to `high`, written as `0.25` or `25%`."""
    number = word[:-1] if word.endswith("%") else word
    if NUMBER_RE.fullmatch(number):
        share = float(number) / 100.0 if word.endswith("%") else float(number)
        if share <= high:
            return share
    raise OptionError(option, word, f"0 to {high:g}, or 0% to {high * 100:g}%")


def parse_duration_s(option, word):
    """Return a duration in seconds, written as `800ms` or `1.5s`."""
    match = DURATION_RE.fullmatch(word)
    if match:
        value, unit = match.groups()
        seconds = float(value) / 1000.0 if unit == "ms" else float(value)
        if MIN_DURATION_S <= seconds <= MAX_DURATION_S:
            return seconds
    raise OptionError(option, word, "1ms to 600s, with the unit ms or s")
