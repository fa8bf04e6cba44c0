"""Token bucket with a variable rate and a level that may be negative."""

BURST_DURATION = 2.0
"""Capacity of a bucket, as time at the full rate (seconds)."""


class TokenBucket:
    """Token bucket that is full at first use.

    The rate is passed with each call, because the share of a limit that an
    entry may use changes over time.
    """

    __slots__ = ('_level', '_refilled_at')

    def __init__(self):
        self._level = None
        self._refilled_at = 0.0

    def _refill(self, rate, now):
        # At low rates, the bucket still has to hold one whole request.
        capacity = max(rate * BURST_DURATION, 1.0)
        if self._level is None:
            self._level = capacity
        else:
            added = (now - self._refilled_at) * rate
            self._level = min(capacity, self._level + added)
        self._refilled_at = now

    def time_until_available(self, amount, rate, now):
        """Return the time until `amount` can be taken.

        Parameters
        ----------
        amount : float
            Level that is needed (count).
        rate : float
            Refill rate (count/s).
        now : float
            Monotonic time (seconds).

        Returns
        -------
        float
            Time to wait, 0 if the level suffices now (seconds).
        """
        self._refill(rate, now)
        if self._level >= amount:
            return 0.0
        return (amount - self._level) / rate if rate else float('inf')

    def charge(self, amount, rate, now):
        """Subtract `amount`, even if the level becomes negative.

        Parameters
        ----------
        amount : float
            Amount to subtract (count).
        rate : float
            Refill rate (count/s).
        now : float
            Monotonic time (seconds).
        """
        self._refill(rate, now)
        self._level -= amount
