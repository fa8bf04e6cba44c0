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


class BootClock(SystemClock):
    """Clock that also counts the time that the VM was suspended."""

    __slots__ = ()

    def monotonic(self):
        """Seconds since the VM started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
