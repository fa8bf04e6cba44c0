"""Clocks of the operating system."""

import time


class SystemClock:
    """Clock whose monotonic time stops while the VM is suspended."""

    __slots__ = ()

    def monotonic(self):
        """Return the time since an arbitrary, fixed start (seconds)."""
        return time.monotonic()

    def time(self):
        """Return the time since the Unix epoch (seconds, UTC)."""
        return time.time()


class BootClock(SystemClock):
    """Clock whose monotonic time includes the time in suspension."""

    __slots__ = ()

    def monotonic(self):
        """Return the time since the VM booted (seconds)."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
