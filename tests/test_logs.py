"""Entries that come with calls are bounded."""

from pimentoline import logs


def test_entries_are_bounded_and_what_is_left_out_is_counted(monkeypatch):
    """Guards against a node in overload that spends its time on its log."""
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
