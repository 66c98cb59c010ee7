"""Tests of the load-balancing policies."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentoline.draws import fraction, mix
from pimentoline.model import ServiceStats, Target, TargetStats
from pimentoline.policies import get_policy_by_name, policy_names
from pimentoline.routing import Candidate

# Time of every choice, seconds.
NOW = 100.0


def make_candidate(name, weight=1.0, **stats):
    """Return a candidate with the given statistics, in region `rift` and dc `kerio`."""
    target = Target(name, "svc", ("127.0.0.1", 1), "rift", "kerio")
    return Candidate(target, weight, TargetStats(**stats))


def count_choices(policy_name, candidates, rounds=2000):
    """Return how often a policy chooses each target in the given number of rounds.

    Policies may use the number of calls sent so far, as round robin does, and a random
    64-bit integer, which `mix` computes from the round.
    """
    chosen = Counter()
    for number in range(rounds):
        service_stats = ServiceStats(calls_sent=number)
        candidate = get_policy_by_name(policy_name).choose(
            candidates, service_stats, NOW, mix(number, 1)
        )
        chosen[candidate.target.target_id] += 1
    return chosen


@pytest.mark.parametrize("name", policy_names())
def test_policy_uses_every_equal_target(name):
    """Guards against a policy that leaves one of several equal targets unused.

    An equal share would be 400 of the 2000 choices.
    """
    counts = count_choices(name, [make_candidate(f"t{i}") for i in range(5)])
    assert len(counts) == 5
    assert min(counts.values()) > 300


@pytest.mark.parametrize(
    ("name", "good", "bad"),
    [
        ("least-inflight", {"inflight": 1}, {"inflight": 2}),
        ("two-choices", {"reported_load": 1.0}, {"reported_load": 9.0}),
    ],
)
def test_policy_prefers_less_loaded(name, good, bad):
    """Guards against a policy that compares another statistic or prefers more load."""
    candidates = [make_candidate("bad", **bad), make_candidate("good", **good)]
    assert count_choices(name, candidates, 50) == {"good": 50}


def test_weights_set_the_shares():
    """Guards against a weight that does not change the share of calls.

    The expected share of `b` is 0.75.
    """
    candidates = [make_candidate("a", 1.0), make_candidate("b", 3.0)]
    assert 0.71 < count_choices("random", candidates)["b"] / 2000 < 0.79


@settings(derandomize=True, max_examples=50)
@given(st.integers(0, 2**64 - 1), st.integers(0, 99))
def test_draws_are_in_range(draw, salt):
    """Guards against random numbers outside their range.

    Canary routing and throttling select a call if `fraction < share`, so with a
    fraction of 1.0 a share of 100% would leave out the call.
    """
    assert 0 <= mix(draw, salt) < 2**64
    assert 0.0 <= fraction(draw, salt) < 1.0
