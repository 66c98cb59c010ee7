"""Tests of the rules parser: example files in `tests/rules` and random texts.

`tests/rules/README.md` describes the lines of expected results in the example files.
"""

import os
import time
from functools import partial
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentoline.model import Target
from pimentoline.rules import MAX_RULES_BYTES, RuleSet, parse, read_rules
from pimentoline.rules._mapping import get_rule_class_by_kind, kind_names
from pimentoline.rules.base import attribute_name
from pimentoline.rules.field_parsers import CALL_CLASSES, METHODS, OptionError

EXAMPLES = sorted((Path(__file__).parent / "rules").glob("*.rules"))
RULES_PAGE = Path(__file__).parent.parent / "docs" / "rules.md"
derandomized = partial(settings, derandomize=True, deadline=None)


def run_query(rules, query, *words):
    """Run a query of an example file on a `RuleSet` and return the result.

    In the line of the expected result, `QUERY WORD... -> RESULT`, `query` is the first
    word and `words` are the others up to the arrow.
    """
    match query:
        case "call":
            return rules.call_policy(*words)
        case "weight":
            target_id, service, region = words
            target = Target(target_id, service, ("127.0.0.1", 1), region, "dc")
            return rules.target_weight(target)
        case "limit":
            return rules.inflight_limit(*words)
        case "canary":
            return rules.canary_share(*words)
        case "spill":
            return rules.spill_policy(*words)
        case "order":
            found = rules.region_order(*words)
            return found and ",".join(found)
        case "budget":
            return rules.probe_budget(*words)
    raise ValueError(query)


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_example_file(path):
    """Guards against rules with a changed meaning, and errors that are not reported."""
    text = path.read_text(encoding="utf-8")
    expectations = [
        line[2:].strip() for line in text.split("\n") if line.startswith("#!")
    ]
    errors = [
        expectation.split(maxsplit=2)[1:]
        for expectation in expectations
        if expectation.startswith("error")
    ]
    result = parse(text)
    positions = [f"{item.line}:{item.column}" for item in result.diagnostics]
    assert positions == [position for position, _ in errors], list(
        map(str, result.diagnostics)
    )
    for (_, words), item in zip(errors, result.diagnostics):
        assert words in str(item)
    for expectation in expectations:
        if expectation.startswith("error"):
            continue
        query, _, expected = expectation.partition(" -> ")
        found = run_query(result.ruleset, *query.split())
        if "=" not in expected:
            assert str(found) == expected, expectation
            continue
        for item in expected.split():
            name, _, value = item.partition("=")
            assert str(getattr(found, name)) == value, expectation


NAMES = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,8}", fullmatch=True)
# `retry` rules allow a share of at most 0.1. `canary` rules allow up to 1, but draw
# from the same values.
SHARES = st.integers(0, 100).map(lambda n: n / 1000)
# Valid values by attribute; attributes that are not listed hold names. `leave` is
# always below `enter`, as `spill` rules require.
VALUES = {
    "method": st.sampled_from(METHODS),
    "path": st.from_regex(r"/[a-z*?/]{0,12}", fullmatch=True),
    "deadline_s": st.integers(1, 600_000).map(lambda n: n / 1000),
    "call_class": st.sampled_from(CALL_CLASSES),
    "hedge": st.booleans(),
    "share": SHARES,
    "weight": st.integers(0, 1000).map(lambda n: n / 100),
    "inflight": st.integers(1, 100_000),
    "enter": st.integers(70, 200).map(lambda n: n / 100),
    "leave": st.integers(0, 69).map(lambda n: n / 100),
    "probes": st.integers(0, 1000).map(float),
    "bytes": st.integers(0, 10**9),
    "nodes": st.integers(0, 100_000),
    "regions": st.lists(NAMES, min_size=1, max_size=3, unique=True).map(tuple),
    # TARGET or SERVICE@REGION.
    "scope": NAMES | st.builds("{}@{}".format, NAMES | st.just("*"), NAMES),
}


@st.composite
def rule_objects(draw):
    """Draw one rule of any kind with random values."""
    cls = get_rule_class_by_kind(draw(st.sampled_from(kind_names())))
    names = list(cls.positional)
    for option in cls.options:
        if draw(st.booleans()):
            names.append(attribute_name(option))
    values = {name: draw(VALUES.get(name, NAMES)) for name in names}
    # In a rules file, the comment at the end of each rule must name its requester.
    return cls(requester="Mary", **values)


@derandomized(max_examples=300)
@given(rule_objects())
def test_rule_survives_being_written_and_read(rule):
    """Guards against a rule that differs after `as_line` and parsing."""
    result = parse(rule.as_line())
    assert result.diagnostics == ()
    assert result.ruleset == RuleSet((rule,))


@derandomized(max_examples=300)
@given(
    st.lists(
        st.text(max_size=40)
        | st.lists(
            st.sampled_from(kind_names())
            | st.sampled_from(["*", "a@b", "method=GET", "path=/[", "5%", "1s", "# M"])
            | NAMES,
            max_size=6,
        ).map(" ".join),
        max_size=8,
    ).map("\n".join)
)
def test_any_text_is_accepted_or_refused_with_places(text):
    """Guards against an exception, and against a problem without a valid position."""
    result = parse(text)
    assert (result.ruleset is None) == bool(result.diagnostics)
    lines = text.split("\n")
    for item in result.diagnostics:
        assert 1 <= item.line <= len(lines)
        assert 1 <= item.column <= len(lines[item.line - 1]) + 1
        assert item.found and item.allowed
    if result.ruleset is not None:
        for method in ("GET", "POST", "PURGE"):
            result.ruleset.call_policy("a", method, text)


@derandomized(max_examples=200)
@given(
    st.lists(rule_objects(), max_size=12),
    st.sampled_from(METHODS),
    VALUES["path"],
)
def test_index_agrees_with_a_search_in_file_order(rules, method, path):
    """Guards against an index that does not find the first matching rule."""
    services = {rule.service for rule in rules if hasattr(rule, "service")}
    ruleset = RuleSet(tuple(rules))
    for service in sorted(services | {"unnamed"}):
        found = ruleset.matching_rules(service, method, path)
        for kind in ("idempotent", "deadline", "class", "hedge", "retry"):
            matching = [
                rule
                for rule in rules
                if rule.kind == kind
                and rule.service in ("*", service)
                and getattr(rule, "method", "*") in ("*", method)
                and _matches(getattr(rule, "path", "*"), path)
            ]
            assert found.get(kind) == (matching[0] if matching else None)


def _matches(pattern, path):
    """Return whether a pattern of `*` and `?` matches, without regular expressions."""
    if not pattern:
        return not path
    if pattern[0] == "*":
        return _matches(pattern[1:], path) or bool(path and _matches(pattern, path[1:]))
    return (
        bool(path) and pattern[0] in ("?", path[0]) and _matches(pattern[1:], path[1:])
    )


def test_file_of_100_mb_is_refused_unread(tmp_path):
    """Guards against reading a file that is far above the size limit."""
    path = tmp_path / "big.rules"
    with open(path, "wb") as file:
        file.truncate(100 * 1024 * 1024)
    started = time.process_time()
    text, result = read_rules(str(path))
    assert text is None and "larger file" in str(result.diagnostics[0])
    assert time.process_time() - started < 0.1


@pytest.mark.parametrize("excess, accepted", [(0, True), (1, False)])
def test_size_limit_is_one_mebibyte(tmp_path, excess, accepted):
    """Guards against a size limit that counts characters, or is off by one."""
    path = tmp_path / "edge.rules"
    # The first line takes 4 bytes and 3 characters.
    path.write_bytes("#é\n".encode() + b"#" * (MAX_RULES_BYTES - 4 + excess))
    assert (read_rules(str(path))[1].ruleset is not None) == accepted
    assert (parse(path.read_text()).ruleset is not None) == accepted


def test_file_that_is_not_text_is_refused(tmp_path):
    """Guards against an exception, or blocking, for a file that is not text."""
    path = tmp_path / "latin.rules"
    path.write_bytes("pause t1 # Mary\npause é ".encode() + b"\xff # M\n")
    assert str(read_rules(str(path))[1].diagnostics[0]).endswith(
        "latin.rules:2:9: found byte 0xff; allowed: text in UTF-8"
    )
    assert "No such file" in str(read_rules(str(tmp_path / "none"))[1].diagnostics[0])
    assert "Is a directory" in str(read_rules(str(tmp_path))[1].diagnostics[0])
    os.mkfifo(tmp_path / "pipe")
    pipe = read_rules(str(tmp_path / "pipe"))[1]
    assert "no regular file" in str(pipe.diagnostics[0])


def test_too_many_rules_or_patterns_are_refused():
    """Guards against a rules file that slows down every call."""
    # At most 200 path patterns in the rules of one kind for one service.
    lines = [f"deadline desk 1s path=/{i}  # Mary\n" for i in range(201)]
    assert parse("".join(lines[:200])).ruleset is not None
    assert [item.line for item in parse("".join(lines)).diagnostics] == [201]
    # At most 10,000 rules in a file.
    lines = [f"pause t{i}  # Mary\n" for i in range(10_001)]
    assert parse("".join(lines[:-1])).ruleset is not None
    assert [item.line for item in parse("".join(lines)).diagnostics] == [10_001]


def test_every_kind_is_parsed_and_documented():
    """Guards against a kind without a field parser, or missing in `docs/rules.md`."""
    page = RULES_PAGE.read_text()
    for name in kind_names():
        cls = get_rule_class_by_kind(name)
        assert cls.kind == name and cls.syntax.startswith(name + " ")
        assert cls.syntax in page, f"docs/rules.md lacks {cls.syntax}"
        for option, parse_value in {**cls.positional, **cls.options}.items():
            with pytest.raises(OptionError) as caught:
                parse_value(option, "\x00")
            assert caught.value.option == option and caught.value.allowed


def test_examples_of_the_page_are_accepted():
    """Guards against a documented example that the parser rejects."""
    blocks = RULES_PAGE.read_text().split("```rules\n")[1:]
    text = "".join(block.split("```")[0] for block in blocks)
    result = parse(text)
    assert result.diagnostics == ()
    assert {rule.kind for rule in result.ruleset.rules} == set(kind_names())
