"""pimentoline.rules.parser: read a rules text, reporting every problem at once."""

import functools
import re
from collections import Counter
from dataclasses import dataclass
from itertools import product

from ._mapping import get_kind_by_name, kind_names
from .base import attribute_name
from .diagnostics import Diagnostic
from .field_parsers import ANY, OptionError
from .ruleset import RuleSet

__all__ = ["MAX_RULES_BYTES", "ParseResult", "parse"]

MAX_RULES_BYTES = 1024 * 1024
# Patterns are matched one after the other for each call, so their number for one
# service bounds the time that the rules add to a call.
MAX_PATH_RULES = 200
# Reading a rule takes about 30 us, in which the node handles no call.
MAX_RULES = 10_000
MAX_SHOWN_LENGTH = 60
CACHED_LINES = 16_384
# Shares written as decimals do not add up to exactly 1.
SHARE_TOLERANCE = 1e-9
NOTHING_EARLIER = (None, 0)

WORD = re.compile(r"\S+")
CONTROL = re.compile(r"[^\t\x20-\x7e\xa0-\u2027\u202a-\U0010ffff]")
ASKED_BY = "a # comment that names who asked for the rule"


@dataclass(frozen=True, slots=True)
class ParseResult:
    """Rules, or the problems that prevent them; `ruleset` is None with problems."""

    ruleset: RuleSet | None
    diagnostics: tuple[Diagnostic, ...] = ()


def parse(text, filename="rules"):
    """Parse a rules text.

    Parameters
    ----------
    text : str
        One rule a line, each with a `#` comment that names who asked for it; at
        most `MAX_RULES_BYTES` in UTF-8.
    filename : str
        Name used in diagnostics.

    Returns
    -------
    ParseResult
    """
    # A character has at least one byte, so a text that is far too long is not encoded.
    if len(text) > MAX_RULES_BYTES or len(text.encode()) > MAX_RULES_BYTES:
        allowed = f"at most {MAX_RULES_BYTES} bytes"
        problem = Diagnostic(filename, 0, 0, "a larger text", allowed)
        return ParseResult(None, (problem,))
    reader = _Reader(filename)
    for number, line in enumerate(text.split("\n"), start=1):
        reader.read_line(number, line.removesuffix("\r"))
    if reader.problems:
        return ParseResult(None, tuple(reader.problems))
    return ParseResult(RuleSet(tuple(reader.rules)))


class _Reader:
    """Rules and problems found so far in one text."""

    def __init__(self, filename):
        self.filename = filename
        self.rules = []
        self.problems = []
        self._seen = {}
        self._shares = {}
        self._path_rules = Counter()

    def read_line(self, number, line):
        """Read one line."""
        rule, column, problems = _read_line(line)
        if rule is not None:
            problems = tuple((column, *item) for item in self._check(number, rule))
            self.rules.append(rule)
            if len(self.rules) == MAX_RULES + 1:
                problems += ((column, "a further rule", f"at most {MAX_RULES} rules"),)
        for problem in problems:
            self.problems.append(Diagnostic(self.filename, number, *problem))

    def _check(self, number, rule):
        """Yield what is wrong with a rule among the earlier ones."""
        own = rule.selector
        for selector in _covering(own):
            earlier, line = self._seen.get((rule.kind, selector), NOTHING_EARLIER)
            if earlier is not None and earlier.setting != rule.setting:
                found = f"a rule that contradicts line {line}"
                allowed = "one value for what both select; narrower rules come first"
                yield found, allowed
                return
        self._seen.setdefault((rule.kind, own), (rule, number))
        if getattr(rule, "path", ANY) != ANY:
            counted = (rule.kind, rule.service)
            self._path_rules[counted] += 1
            if self._path_rules[counted] == MAX_PATH_RULES + 1:
                allowed = f"{MAX_PATH_RULES} for {rule.kind} rules of {rule.service}"
                yield f"more than {MAX_PATH_RULES} path patterns", allowed
        if rule.kind == "canary":
            shares = self._shares.setdefault(rule.service, {})
            shares[rule.version] = rule.share
            if sum(shares.values()) > 1.0 + SHARE_TOLERANCE:
                found = f"shares of {rule.service} above 100% in total"
                yield found, "at most 100% for one service"


# Versions of a rules file differ in few lines; without the cache each change would
# stop the calls of a node three times as long.
@functools.lru_cache(maxsize=CACHED_LINES)
def _read_line(line):
    """Return (rule or None, its column, problems as (column, found, allowed))."""
    control = CONTROL.search(line)
    if control is not None:
        found = f"control character U+{ord(control.group()):04X}"
        problem = (control.start() + 1, found, "printable text and tabs")
        return None, 0, (problem,)
    body, mark, comment = line.partition("#")
    words = [(match.group(), match.start() + 1) for match in WORD.finditer(body)]
    if not words:
        return None, 0, ()
    problems = []
    requester = comment.strip()
    if not any(char.isalpha() for char in requester):
        found = "a comment without a name" if mark else "no comment"
        problems.append((len(line) + 1, found, ASKED_BY))
    (name, column), *rest = words
    kind = get_kind_by_name(name)
    if kind is None:
        allowed = "one of " + ", ".join(kind_names())
        problems.append((column, _shown(name), allowed))
        return None, column, tuple(sorted(problems))
    values = _read_words(kind, rest, len(body.rstrip()) + 1, problems)
    if problems:
        return None, column, tuple(sorted(problems))
    rule = kind(requester=requester, **values)
    try:
        rule.check()
    except OptionError as exc:
        found = f"{exc.option}={exc.found}"
        return None, column, ((column, found, f"{exc.option} {exc.allowed}"),)
    return rule, column, ()


def _read_words(kind, words, end, problems):
    """Return the values of a rule's words; add what is wrong to `problems`."""
    values = {}
    missing = list(kind.positional)
    for word, column in words:
        option, mark, value = word.partition("=")
        if mark and option in kind.options:
            attribute, reader = attribute_name(option), kind.options[option]
            if attribute in values:
                problems.append((column, _shown(word), f"{option}= once"))
                continue
        elif missing:
            option = attribute = missing.pop(0)
            reader, value = kind.positional[option], word
        else:
            problems.append((column, _shown(word), kind.syntax))
            continue
        # A refused value counts as given, so that it is reported once.
        values[attribute] = None
        try:
            values[attribute] = reader(option, value)
        except OptionError as exc:
            problems.append((column, _shown(word), f"{option}: {exc.allowed}"))
    if missing:
        problems.append((end, f"no {missing[0].removesuffix('_s')}", kind.syntax))
    return values


def _covering(selector):
    """Return the selectors that match whatever `selector` matches."""
    return product(*((word,) if word == ANY else (word, ANY) for word in selector))


def _shown(word):
    if len(word) > MAX_SHOWN_LENGTH:
        word = word[:MAX_SHOWN_LENGTH] + "..."
    return repr(word)
