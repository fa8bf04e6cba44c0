"""Event loop with virtual time, which advances only when no task can run."""

import asyncio
import contextlib
import selectors


class _VirtualSelector(selectors.DefaultSelector):
    """Selector that advances virtual time instead of waiting for a timeout."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time; it never sleeps in real time."""

    def __init__(self):
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self):
        """Virtual time since the loop was created (seconds)."""
        return self._virtual_selector.now


class VirtualClock:
    """Clock port that reads the time of a virtual event loop.

    Parameters
    ----------
    loop : VirtualLoop
        Event loop that keeps the virtual time.
    epoch : float
        Wall-clock time at which the loop was created (seconds since the
        epoch, UTC).
    """

    __slots__ = ('_epoch', '_loop')

    def __init__(self, loop, epoch):
        self._loop = loop
        self._epoch = epoch

    def monotonic(self):
        """Virtual time since the loop was created (seconds)."""
        return self._loop.time()

    def time(self):
        """Virtual wall-clock time (seconds since the epoch, UTC)."""
        return self._epoch + self._loop.time()


@contextlib.contextmanager
def open_virtual_loop():
    """Create a virtual event loop and close it when the context ends.

    Tasks that are still pending at the end are cancelled.

    Yields
    ------
    VirtualLoop
    """
    loop = VirtualLoop()
    try:
        yield loop
    finally:
        pending_tasks = asyncio.all_tasks(loop)
        for task in pending_tasks:
            task.cancel()
        if pending_tasks:
            loop.run_until_complete(
                asyncio.gather(*pending_tasks, return_exceptions=True)
            )
        loop.close()
