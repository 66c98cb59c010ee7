"""An event loop in simulated time: it never waits, and its runs are reproducible."""

import asyncio
import selectors

__all__ = ["SimulatedTimeLoop", "run"]


class _InstantSelector(selectors.SelectSelector):
    """Advances the simulated time at once instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is scheduled, so the loop would wait forever")
        self.now_s += max(timeout, 0.0)
        return []


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time starts at 0 s and jumps to the next scheduled call."""

    def __init__(self):
        self._time_selector = _InstantSelector()
        super().__init__(self._time_selector)

    def time(self):
        """Return the simulated time, seconds."""
        return self._time_selector.now_s


def run(main):
    """Run a coroutine in simulated time and return its result.

    Parameters
    ----------
    main : coroutine
    """
    loop = SimulatedTimeLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
