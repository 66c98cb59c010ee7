"""pimentoline.rules.parser: parser that reports every problem of a rules text."""

import functools
import re
from collections import Counter
from dataclasses import dataclass
from itertools import product

from ._mapping import get_rule_class_by_kind, kind_names
from .base import attribute_name
from .diagnostics import Diagnostic
from .field_parsers import ANY, OptionError
from .ruleset import RuleSet

__all__ = ["MAX_RULES_BYTES", "ParseResult", "parse"]

MAX_RULES_BYTES = 1024 * 1024
# The path patterns of a rule kind and service are tried one after another for each
# call, so the time that they add to a call grows with their number.
MAX_PATH_PATTERNS = 200
# Parsing a rule blocks the event loop of the node for about 30 us.
MAX_RULES = 10_000
MAX_QUOTED_CHARS = 60
MAX_CACHED_LINES = 16_384
# Rounding errors may bring the sum of shares slightly above 1.
SHARE_TOLERANCE = 1e-9
# Stands for (earlier rule, line number) if no earlier rule has the selector, which is
# the tuple of the values that say what a rule applies to.
NO_EARLIER_RULE = (None, 0)

WORD = re.compile(r"\S+")
CONTROL_CHARACTER = re.compile(r"[^\t\x20-\x7e\xa0-\u2027\u202a-\U0010ffff]")
REQUESTER_COMMENT = "a # comment that names the person who asked for the rule"


@dataclass(frozen=True, slots=True)
class ParseResult:
    """Result of parsing: `ruleset` is None if there are diagnostics."""

    ruleset: RuleSet | None
    diagnostics: tuple[Diagnostic, ...] = ()


def parse(text, filename="rules"):
    """Parse a rules text.

    Parameters
    ----------
    text : str
        One rule per line, each with a `#` comment that names the person who asked
        for it; at most `MAX_RULES_BYTES` in UTF-8.
    filename : str
        File name shown in diagnostics.

    Returns
    -------
    ParseResult
    """
    # A character takes at least one byte, so a text with too many characters need not
    # be encoded to be rejected.
    if len(text) > MAX_RULES_BYTES or len(text.encode()) > MAX_RULES_BYTES:
        allowed = f"at most {MAX_RULES_BYTES} bytes"
        problem = Diagnostic(filename, 0, 0, "a larger text", allowed)
        return ParseResult(None, (problem,))
    rules_parser = _RulesParser(filename)
    for line_number, line in enumerate(text.split("\n"), start=1):
        rules_parser.add_line(line_number, line.removesuffix("\r"))
    if rules_parser.problems:
        return ParseResult(None, tuple(rules_parser.problems))
    return ParseResult(RuleSet(tuple(rules_parser.rules)))


class _RulesParser:
    """Collects the rules and problems of one text, line by line."""

    def __init__(self, filename):
        self.filename = filename
        self.rules = []
        self.problems = []
        # (kind, selector): (first rule with them, line number)
        self._first_rules = {}
        # service: {version: share}
        self._canary_shares = {}
        # (kind, service): number of path patterns
        self._path_pattern_counts = Counter()

    def add_line(self, line_number, line):
        """Parse one line and check its rule against the earlier rules."""
        rule, column, problems = _parse_line(line)
        if rule is not None:
            problems = tuple(
                (column, *item) for item in self._find_conflicts(line_number, rule)
            )
            self.rules.append(rule)
            if len(self.rules) == MAX_RULES + 1:
                problems += ((column, "a further rule", f"at most {MAX_RULES} rules"),)
        for problem in problems:
            self.problems.append(Diagnostic(self.filename, line_number, *problem))

    def _find_conflicts(self, line_number, rule):
        """Yield (found, allowed) for each conflict with earlier rules or limits.

        The `setting` of a rule is the tuple of the values that it sets.
        """
        selector = rule.selector
        for covering in _covering_selectors(selector):
            earlier, earlier_line = self._first_rules.get(
                (rule.kind, covering), NO_EARLIER_RULE
            )
            if earlier is not None and earlier.setting != rule.setting:
                found = f"a rule that contradicts line {earlier_line}"
                allowed = "the same values, or narrower rules before wider ones"
                yield found, allowed
                return
        self._first_rules.setdefault((rule.kind, selector), (rule, line_number))
        if getattr(rule, "path", ANY) != ANY:
            key = (rule.kind, rule.service)
            self._path_pattern_counts[key] += 1
            if self._path_pattern_counts[key] == MAX_PATH_PATTERNS + 1:
                allowed = f"{MAX_PATH_PATTERNS} for {rule.kind} rules of {rule.service}"
                yield f"more than {MAX_PATH_PATTERNS} path patterns", allowed
        if rule.kind == "canary":
            shares = self._canary_shares.setdefault(rule.service, {})
            shares[rule.version] = rule.share
            if sum(shares.values()) > 1.0 + SHARE_TOLERANCE:
                found = f"shares of {rule.service} above 100% in total"
                yield found, "at most 100% for one service"


# Successive versions of a rules file differ in few lines. Without the cache, each
# change of the rules would block the event loop three times as long.
@functools.lru_cache(maxsize=MAX_CACHED_LINES)
def _parse_line(line):
    """Parse one line without regard to the others.

    Returns
    -------
    rule : Rule or None
        None if the line is empty or has problems.
    column : int
        Column of the rule, counted from 1; 0 if the line has no rule.
    problems : tuple of (column, found, allowed)
    """
    control = CONTROL_CHARACTER.search(line)
    if control is not None:
        found = f"control character U+{ord(control.group()):04X}"
        problem = (control.start() + 1, found, "printable text and tabs")
        return None, 0, (problem,)
    body, separator, comment = line.partition("#")
    words = [(match.group(), match.start() + 1) for match in WORD.finditer(body)]
    if not words:
        return None, 0, ()
    problems = []
    requester = comment.strip()
    if not any(char.isalpha() for char in requester):
        found = "a comment without a name" if separator else "no comment"
        problems.append((len(line) + 1, found, REQUESTER_COMMENT))
    (name, column), *rest = words
    rule_class = get_rule_class_by_kind(name)
    if rule_class is None:
        allowed = "one of " + ", ".join(kind_names())
        problems.append((column, _quoted(name), allowed))
        return None, column, tuple(sorted(problems))
    values = _parse_words(rule_class, rest, len(body.rstrip()) + 1, problems)
    if problems:
        return None, column, tuple(sorted(problems))
    rule = rule_class(requester=requester, **values)
    try:
        rule.check()
    except OptionError as exc:
        found = f"{exc.option}={exc.found}"
        return None, column, ((column, found, f"{exc.option} {exc.allowed}"),)
    return rule, column, ()


def _parse_words(rule_class, words, end_column, problems):
    """Return a rule's values by attribute name; append errors to `problems`.

    `words` is a list of (word, column) without the name of the kind. `end_column` is
    the column after the last word, at which a missing field is reported.
    """
    values = {}
    missing = list(rule_class.positional)
    for word, column in words:
        option, separator, value = word.partition("=")
        if separator and option in rule_class.options:
            attribute, parse_value = attribute_name(option), rule_class.options[option]
            if attribute in values:
                problems.append((column, _quoted(word), f"{option}= once"))
                continue
        elif missing:
            option = attribute = missing.pop(0)
            parse_value, value = rule_class.positional[option], word
        else:
            problems.append((column, _quoted(word), rule_class.syntax))
            continue
        # An option with an invalid value counts as given, so that a second value is
        # reported as a duplicate.
        values[attribute] = None
        try:
            values[attribute] = parse_value(option, value)
        except OptionError as exc:
            problems.append((column, _quoted(word), f"{option}: {exc.allowed}"))
    if missing:
        # A name ends in `_s` if the value is a duration, which is stored in seconds.
        problems.append(
            (end_column, f"no {missing[0].removesuffix('_s')}", rule_class.syntax)
        )
    return values


def _covering_selectors(selector):
    """Return the selectors that match everything that `selector` matches."""
    return product(*((word,) if word == ANY else (word, ANY) for word in selector))


def _quoted(word):
    """Return a word in quotes for a diagnostic, shortened if it is long."""
    if len(word) > MAX_QUOTED_CHARS:
        word = word[:MAX_QUOTED_CHARS] + "..."
    return repr(word)
