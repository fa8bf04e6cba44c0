"""Event loop whose time moves only when nothing is left to run."""

import asyncio
import contextlib
import selectors


class _Selector(selectors.SelectSelector):
    """Skips over the time that the loop would have slept."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Loop under a virtual clock; it never waits."""

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self):
        """Virtual seconds since the loop was made."""
        return self._virtual.now


class VirtualClock:
    """Clock port over a virtual loop.

    Parameters
    ----------
    loop : VirtualLoop
        Source of time.
    epoch : float
        Time of day when the loop was made (seconds since the epoch, UTC).
    """

    __slots__ = ('_epoch', '_loop')

    def __init__(self, loop, epoch):
        self._loop = loop
        self._epoch = epoch

    def monotonic(self):
        """Virtual seconds since the loop was made."""
        return self._loop.time()

    def time(self):
        """Seconds since the epoch, UTC."""
        return self._epoch + self._loop.time()


@contextlib.contextmanager
def open_loop():
    """Make a virtual loop; what still runs is cancelled at the end."""
    loop = VirtualLoop()
    try:
        yield loop
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(
                asyncio.gather(*tasks, return_exceptions=True)
            )
        loop.close()
