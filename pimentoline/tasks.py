"""pimentoline.tasks: background tasks whose failure is logged."""

import asyncio

from .logs import log_entry

__all__ = ["start_task"]

# The event loop itself keeps only weak references to tasks.
_running_tasks = set()


def start_task(coroutine, name):
    """Run a coroutine in the background and return its task.

    If it ends with an exception, an entry `task:failed` names the task.
    """
    task = asyncio.get_running_loop().create_task(coroutine, name=name)
    _running_tasks.add(task)
    task.add_done_callback(_on_done)
    return task


def _on_done(task):
    _running_tasks.discard(task)
    if not task.cancelled() and task.exception() is not None:
        log_entry(
            "task:failed", task=task.get_name(), detail=f"{task.exception()!r:.120}"
        )
