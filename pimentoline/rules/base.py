"""pimentoline.rules.base: contract of a rule kind."""

import functools
from dataclasses import dataclass, fields
from typing import ClassVar

__all__ = ["Rule", "attribute_of"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Rule:
    """One rule; each kind is a subclass in a module of its own.

    A subclass is a frozen data class. It declares one attribute for each word of
    the rule and the class attributes below; the parser does the rest. A new kind
    also needs an entry in `_mapping.KINDS` and one in `docs/rules.md`.

    Attributes
    ----------
    kind : str
        First word of the line.
    syntax : str
        Form of the line, shown in diagnostics.
    positional : dict of str to callable
        Required words in order: attribute name and parser of `field_parsers`.
    options : dict of str to callable
        `NAME=VALUE` words: attribute name and parser. The default of the data
        class counts for an option that is not given.
    selector_fields : tuple of str
        Attributes that say what the rule applies to; `*` matches everything. The
        other attributes are what the rule sets. Two rules of a kind contradict
        each other if the earlier covers what the later selects and they set
        different values, because only the earlier would ever have an effect.
    requester : str
        The comment of the line, which names who asked for the rule.
    """

    kind: ClassVar[str] = ""
    syntax: ClassVar[str] = ""
    positional: ClassVar[dict] = {}
    options: ClassVar[dict] = {}
    selector_fields: ClassVar[tuple] = ()

    requester: str = ""

    def check(self):
        """Check the words against each other.

        Raises
        ------
        OptionError
            If two of them do not fit together.
        """

    @property
    def selector(self):
        """What the rule applies to, as a tuple of words."""
        return tuple(getattr(self, name) for name in self.selector_fields)

    @property
    def setting(self):
        """What the rule sets, as a tuple of values."""
        return tuple(getattr(self, name) for name in _set_names(type(self)))

    def as_line(self):
        """Return the rule as a line that parses to an equal rule."""
        words = [self.kind]
        words += [_word(name, getattr(self, name)) for name in self.positional]
        defaults = {item.name: item.default for item in fields(self)}
        for name in self.options:
            attribute = attribute_of(name)
            value = getattr(self, attribute)
            if value != defaults[attribute]:
                words.append(f"{name}={_word(name, value)}")
        return f"{' '.join(words)}  # {self.requester}"


def attribute_of(option):
    """Return the attribute of an option; `class` is a keyword of Python."""
    return "call_class" if option == "class" else option


@functools.cache
def _set_names(cls):
    """Return the attributes of a kind that are neither selector nor comment."""
    names = (item.name for item in fields(cls))
    return tuple(
        name for name in names if name not in (*cls.selector_fields, "requester")
    )


def _word(name, value):
    match value:
        case bool():
            return "on" if value else "off"
        case tuple():
            return ",".join(value)
    word = str(value).removesuffix(".0")
    return f"{word}s" if name.endswith("_s") else word
