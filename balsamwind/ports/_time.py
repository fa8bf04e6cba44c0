"""Port of the clock."""

import typing


class Clock(typing.Protocol):
    """Source of time."""

    def monotonic(self):
        """Seconds since an arbitrary start; never goes back."""

    def time(self):
        """Seconds since the epoch, UTC."""
