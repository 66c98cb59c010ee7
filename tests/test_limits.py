"""Ejection, slow start, throttling, in-flight limits, retries and hedges."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentoline import events as ev
from pimentoline import outliers, throttling
from pimentoline.effects import ScheduleHedge
from pimentoline.events import AttemptOutcome
from pimentoline.fast_replace import replace
from pimentoline.model import ServiceStats, TargetStats
from pimentoline.retries import hedge_delay_s
from pimentoline.verdict import Verdict

from .core import SERVICE, Core, started_attempt


def make_core(count=4, **options):
    """Return a core with `count` equal targets named t0, t1 and so on."""
    core = Core(**options)
    for number in range(count):
        core.add_target(f"t{number}")
    return core


def ejected(core):
    """Return the ids of the ejected targets."""
    targets = core.state.traffic.targets
    return {name for name in targets if targets[name].ejected_until > core.now}


def fail(stats, times, now=100.0, total=4, decisive=False):
    """Return the statistics of a target after failed attempts.

    The attempts begin and end at `now`. `total` counts the targets of the service; none
    of the others is ejected. A `decisive` failure ejects at once.
    """
    for _ in range(times):
        stats = outliers.record_failure(stats, now, now, decisive, lambda: 0, total)
    return stats


@pytest.mark.parametrize(
    ("outcomes", "is_ejected"),
    [
        ("f" * 4, False),
        ("f" * 5, True),
        ("fffsf" * 3, False),
        ("sffsff" * 3 + "ff", True),
        ("sf" * 10, False),
    ],
)
def test_ejection_rules(outcomes, is_ejected):
    """Guards against using failing targets, and ejecting after single failures.

    A target is ejected after 5 failures in a row, or if more than half of its latest 20
    attempts failed.
    """
    stats = TargetStats()
    for outcome in outcomes:
        if outcome == "f":
            stats = fail(stats, 1)
        else:
            stats = replace(stats, **outliers.success_changes(stats, 100.0))
    assert (stats.ejected_until > 100.0) is is_ejected


def test_ejection_time_doubles_and_is_reset():
    """Guards against ejections that do not become longer, or never shorter again."""
    stats, now, lengths = fail(TargetStats(), 5), 100.0, []
    for _ in range(7):
        lengths.append(stats.ejected_for_s)
        now = stats.ejected_until + 0.1
        stats = fail(stats, 1, now)
    assert lengths == [1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0]
    stats = fail(stats, 1, stats.ejected_until + outliers.MAX_EJECTION_S)
    assert stats.ejected_for_s == 1.0


def test_late_failure_does_not_prolong_ejection():
    """Guards against ejecting again for attempts that began before the ejection."""
    stats = fail(TargetStats(), 5)
    late = outliers.record_failure(stats, 99.0, 101.5, True, lambda: 0, 4)
    assert late == stats


@pytest.mark.parametrize(("total", "max_ejected"), [(1, 0), (2, 1), (3, 1), (8, 4)])
def test_number_of_ejected_targets_is_limited(total, max_ejected):
    """Guards against ejecting all targets of a service when this node is at fault."""
    core = make_core(total)
    # A POST call is not idempotent, so it is not retried after status 500.
    for _ in range(200):
        core.make_call(status=500, method="POST")
        assert len(ejected(core)) <= max_ejected
    assert len(ejected(core)) == max_ejected


def test_refused_connection_ejects_at_once():
    """Guards against calls to a host on which nothing listens."""
    core = make_core()
    _, effects = core.start_call("POST")
    sent = started_attempt(effects)
    core.fail_attempt(sent, AttemptOutcome.REFUSED, Verdict.NOT_RUN)
    assert ejected(core) == {sent.target_id}


@pytest.mark.parametrize(
    ("status", "not_run", "complete", "ejected_count"),
    [(503, True, True, 0), (200, False, False, 1), (500, False, True, 1)],
)
def test_what_counts_as_failure(status, not_run, complete, ejected_count):
    """Guards against counting shed calls, and not counting truncated responses."""
    core = make_core(2)
    for _ in range(20):
        call_id, effects = core.start_call("POST")
        if started_attempt(effects):
            core.receive_head(started_attempt(effects), status, not_run)
            core.send(ev.CallEnded(core.now, call_id, complete))
    assert len(ejected(core)) == ejected_count


def test_target_that_comes_up_starts_slowly():
    """Guards against full load on a target right after it came up."""
    stats = TargetStats(ready_at=100.0)
    steps = [(100.0, 0.1), (101.0, 0.1), (105.0, 0.5), (110.0, 1.0), (200.0, 1.0)]
    assert [outliers.slow_start_share(stats, now) for now, _ in steps] == [
        share for _, share in steps
    ]
    core = make_core(4)
    core.make_call()
    core.add_target("new")
    core.make_call()
    assert core.stats("new").ready_at == pytest.approx(core.now, abs=0.02)
    assert core.stats("t0").ready_at == float("-inf")


@pytest.mark.parametrize(
    ("sent", "accepted", "shares"),
    [
        ((10, 10, 10), (10, 10, 10), (0, 0, 0)),
        ((0, 100, 100), (0, 80, 80), (0, 0, 0)),
        ((0, 100, 100), (0, 100, 20), (0, 0, 0.2)),
        # Up to 1.5 attempts may be sent for each accepted one: 60 of the 210 are in
        # excess. 95% of the 10 sheddable calls are refused, which is 9.5; the other
        # 50.5 are a share of 0.2525 of the 200 normal calls.
        ((0, 200, 10), (0, 100, 0), (0, 0.2525, 0.95)),
        ((100, 10, 10), (0, 0, 0), (0.95, 0.95, 0.95)),
        ((1, 1, 1), (0, 0, 0), (0, 0, 0)),
    ],
)
def test_lowest_class_is_refused_first(sent, accepted, shares):
    """Guards against refusing critical calls while sheddable ones pass."""
    stats = ServiceStats(sent=sent, accepted=accepted)
    found = [
        throttling.refused_share(stats, name, 0.0)
        for name in ("critical", "normal", "sheddable")
    ]
    assert found == pytest.approx(shares, abs=1e-4)


def test_throttling_begins_and_ends():
    """Guards against passing overload on to the targets, and refusing forever."""
    core = make_core()
    refused = []
    for _ in range(200):
        core.now += 0.01
        _, effects = core.start_call("POST")
        if started_attempt(effects):
            core.receive_head(started_attempt(effects), 503, not_run=True)
        else:
            refused.append(effects[0])
    assert len(refused) > 150
    found = {(effect.code, effect.status, effect.verdict) for effect in refused}
    assert found == {("throttled", 503, Verdict.NOT_RUN)}
    # The share of calls let through begins at 5% and grows by a factor of 1.5 in each
    # `DECAY_S`, which is 1.5 s.
    for _ in range(1200):
        core.now += 0.01
        core.make_call(latency_s=0.0)
    assert {core.make_call() for _ in range(50)} <= {"t0", "t1", "t2", "t3"}


def test_inflight_limit_by_class():
    """Guards against exceeding a limit, and against counting calls that have ended."""
    # `hive-ledger` is `SERVICE`, which the core calls.
    core = make_core(rules="limit hive-ledger 2 class=sheddable")
    calls = [core.start_call(call_class="sheddable") for _ in range(3)]
    assert calls[2][1][0].code == "inflight-limit"
    assert started_attempt(core.start_call()[1])
    core.send(ev.CallerDisconnected(core.now, calls[0][0]))
    assert started_attempt(core.start_call(call_class="sheddable")[1])


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(st.sampled_from(["ok", "500", "shed", "refused", "late"]), max_size=80),
    st.sampled_from([0.1, 0.02]),
)
def test_retries_and_hedges_stay_in_budget(outcomes, share):
    """Guards against retries and hedges above their share of the first attempts.

    Also guards against in-flight counts that are not 0 after the calls have ended.
    """
    core = make_core(rules=f"retry * {share:.0%}")
    calls = extra = 0
    for outcome in outcomes:
        core.now += 0.05
        call_id, effects = core.start_call()
        sent = started_attempt(effects)
        calls += sent is not None
        while sent is not None:
            match outcome:
                case "ok":
                    effects = core.receive_head(sent)
                case "late":
                    # 7 is the random number of the event. True means that the request
                    # body is still buffered, so that a hedge is possible.
                    event = ev.HedgeDue(core.now, 7, call_id, True)
                    hedged = started_attempt(core.send(event))
                    extra += hedged is not None
                    effects = core.receive_head(hedged or sent)
                case "refused":
                    effects = core.fail_attempt(
                        sent, AttemptOutcome.REFUSED, Verdict.NOT_RUN
                    )
                case _:
                    effects = core.receive_head(sent, 503, not_run=outcome == "shed")
            sent = started_attempt(effects)
            extra += sent is not None
        core.end_call(call_id)
        assert extra <= max(1, share * calls)
    traffic = core.state.traffic
    assert not traffic.calls
    assert all(stats.inflight == 0 for stats in traffic.targets.values())
    assert all(sum(stats.inflight) == 0 for stats in traffic.services.values())


def test_calls_that_are_not_retried():
    """Guards against retries of a call that is itself a retry of the caller.

    Also guards against a retry or hedge at the only target, which has shed the call.
    """
    core = make_core()
    call_id, effects = core.start_call(retry_attempt=1)
    assert not any(isinstance(effect, ScheduleHedge) for effect in effects)
    assert not core.send(ev.HedgeDue(core.now, 7, call_id, True))
    assert not started_attempt(
        core.receive_head(started_attempt(effects), 503, not_run=True)
    )
    core = make_core(1)
    call_id, effects = core.start_call()
    assert not core.send(ev.HedgeDue(core.now, 7, call_id, True))
    assert not started_attempt(
        core.receive_head(started_attempt(effects), 503, not_run=True)
    )


def test_hedge_delay_is_95th_percentile():
    """Guards against hedging after a fixed delay or after the median latency."""
    core = make_core()
    assert hedge_delay_s(core.state, SERVICE) == 0.2
    for number in range(128):
        core.make_call(latency_s=0.5 if number % 10 == 0 else 0.01)
    assert hedge_delay_s(core.state, SERVICE) == pytest.approx(0.5)


def test_cancelled_slow_attempt_raises_latency():
    """Guards against a slow target that seems fast because its hedges always win."""
    core = make_core(2)
    call_id, effects = core.start_call()
    slow = started_attempt(effects)
    core.now += 0.2
    hedge = started_attempt(core.send(ev.HedgeDue(core.now, 7, call_id, True)))
    core.now += 0.01
    core.receive_head(hedge)
    assert core.stats(slow.target_id).latency_s == pytest.approx(0.21)
    assert core.stats(hedge.target_id).latency_s == pytest.approx(0.01)
