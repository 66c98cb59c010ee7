"""Tests of background tasks."""

import asyncio

from pimentoline import tasks


def test_failed_background_task_is_logged(monkeypatch):
    """Guards against a task that ends with an error and leaves no entry."""
    entries = []
    monkeypatch.setattr(
        tasks, "log_entry", lambda name, **fields: entries.append((name, fields))
    )

    async def fail():
        raise RuntimeError("odd")

    async def run():
        await asyncio.wait([tasks.start_task(fail(), "one")])
        cancelled = tasks.start_task(asyncio.sleep(10), "two")
        cancelled.cancel()
        await asyncio.wait([cancelled])

    asyncio.run(run())
    ((name, fields),) = entries
    assert (name, fields["task"]) == ("task:failed", "one")
    assert "odd" in fields["detail"]
