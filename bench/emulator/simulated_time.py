"""An event loop whose time is a model's: it never waits, and repeats exactly."""

import asyncio
import selectors

__all__ = ["ModelLoop", "run"]


class _NoWait(selectors.SelectSelector):
    """Lets the loop's time pass instead of waiting."""

    def __init__(self):
        super().__init__()
        self.passed_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is scheduled, and something waits for ever")
        self.passed_s += max(timeout, 0.0)
        return []


class ModelLoop(asyncio.SelectorEventLoop):
    """Event loop in model time, seconds from 0."""

    def __init__(self):
        self._waits = _NoWait()
        super().__init__(self._waits)

    def time(self):
        """Return the model time, seconds."""
        return self._waits.passed_s


def run(main):
    """Run a coroutine in model time and return its result.

    Parameters
    ----------
    main : coroutine
    """
    loop = ModelLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
