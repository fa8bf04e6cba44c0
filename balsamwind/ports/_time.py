"""Port to the clock."""

import typing


class Clock(typing.Protocol):
    """Source of the current time."""

    def monotonic(self):
        """Get the monotonic time (seconds since an arbitrary point)."""

    def time(self):
        """Get the wall-clock time (seconds since the epoch, UTC)."""
