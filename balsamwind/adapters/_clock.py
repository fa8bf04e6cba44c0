"""Clock of the operating system."""

import time


class SystemClock:
    """Clock that reads the operating system's clocks."""

    __slots__ = ()

    def monotonic(self):
        """Seconds since an arbitrary start."""
        return time.monotonic()

    def time(self):
        """Seconds since the epoch, UTC."""
        return time.time()
