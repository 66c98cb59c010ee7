"""pimentoline.rules.base: base class of the rule kinds."""

import functools
from dataclasses import dataclass, fields
from typing import ClassVar

__all__ = ["Rule", "attribute_name"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Rule:
    """One rule; each kind is a subclass in a module of its own.

    A subclass is a frozen data class with one attribute for each field and option
    of the rule. It sets the class attributes below, which tell the parser how to
    read a line of a rules file. A new kind also needs an entry in `_mapping.KINDS` and
    one in `docs/rules.md`.

    Attributes
    ----------
    kind : str
        First word of the line.
    syntax : str
        Syntax of the line, shown in diagnostics.
    positional : dict of str to callable
        Required fields in the order of the line: attribute name and the function of
        the module `field_parsers` that parses it.
    options : dict of str to callable
        Optional `NAME=VALUE` words: option name and the function that parses the
        value. An option that is not given has the default of the data class.
    selector_fields : tuple of str
        Attributes that say what the rule applies to; `*` matches everything. The
        other attributes are the values that the rule sets. Two rules of a kind
        contradict each other if the earlier one matches everything that the later
        one matches and they set different values: the first matching rule wins,
        so the later one would never take effect.
    requester : str
        The comment of the line, which names the person who asked for the rule.
    """

    kind: ClassVar[str] = ""
    syntax: ClassVar[str] = ""
    positional: ClassVar[dict] = {}
    options: ClassVar[dict] = {}
    selector_fields: ClassVar[tuple] = ()

    requester: str = ""

    def check(self):
        """Check values that depend on each other; the default accepts all values.

        Raises
        ------
        OptionError
            If two values are not allowed together.
        """

    @property
    def selector(self):
        """Values of the selector fields, as a tuple."""
        return tuple(getattr(self, name) for name in self.selector_fields)

    @property
    def setting(self):
        """Values that the rule sets, as a tuple."""
        return tuple(getattr(self, name) for name in _setting_fields(type(self)))

    def as_line(self):
        """Return the rule as a line of a rules file, which parses to an equal rule."""
        words = [self.kind]
        words += [_format_value(name, getattr(self, name)) for name in self.positional]
        defaults = {field.name: field.default for field in fields(self)}
        for name in self.options:
            attribute = attribute_name(name)
            value = getattr(self, attribute)
            if value != defaults[attribute]:
                words.append(f"{name}={_format_value(name, value)}")
        return f"{' '.join(words)}  # {self.requester}"


def attribute_name(option):
    """Return the name of the attribute that holds an option's value.

    Only `class` has another attribute name, because it is a Python keyword.
    """
    return "call_class" if option == "class" else option


@functools.cache
def _setting_fields(cls):
    """Return the attributes of a rule class that hold the values it sets."""
    names = (field.name for field in fields(cls))
    return tuple(
        name for name in names if name not in (*cls.selector_fields, "requester")
    )


def _format_value(name, value):
    """Return a value in the syntax of the rules file.

    `name` is the name of the field or option. If it ends with `_s`, the value is a
    duration in seconds and is written with the unit.
    """
    match value:
        case bool():
            return "on" if value else "off"
        case tuple():
            return ",".join(value)
    word = str(value).removesuffix(".0")
    return f"{word}s" if name.endswith("_s") else word
