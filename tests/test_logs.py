"""Tests of the limit on log entries per second."""

from pimentoline import logs


def test_entries_above_the_limit_are_suppressed_and_counted(monkeypatch):
    """Guards against an overloaded node that spends its time on logging."""
    written = []
    monkeypatch.setattr(
        logs, "log_entry", lambda name, **fields: written.append(fields)
    )
    now = [5.0]
    log = logs.RateLimitedLog(lambda: now[0])
    for number in range(1000):
        log.entry("call:refused", number=number)
    assert len(written) == logs.MAX_ENTRIES_PER_S
    now[0] = 6.0
    log.entry("call:refused", number=1)
    assert written[-1]["suppressed"] == 1000 - logs.MAX_ENTRIES_PER_S
