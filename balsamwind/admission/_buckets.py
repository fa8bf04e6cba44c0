"""Token bucket whose rate may change and whose level may go below 0."""

BURST = 2.0
"""What may be saved up, as time at the full rate (seconds)."""


class Bucket:
    """Token bucket; it starts full."""

    __slots__ = ('_level', '_updated_at')

    def __init__(self):
        self._level = None
        self._updated_at = 0.0

    def _refill(self, rate, now):
        top = max(rate * BURST, 1.0)
        if self._level is None:
            self._level = top
        else:
            earned = (now - self._updated_at) * rate
            self._level = min(top, self._level + earned)
        self._updated_at = now

    def wait(self, amount, rate, now):
        """Time until `amount` can be taken; 0 if it can be now (seconds)."""
        self._refill(rate, now)
        if self._level >= amount:
            return 0.0
        return (amount - self._level) / rate if rate else float('inf')

    def charge(self, amount, rate, now):
        """Take `amount`, whatever the level."""
        self._refill(rate, now)
        self._level -= amount
