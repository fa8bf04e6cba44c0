"""Limits of one contract, split over the entries."""

import contextlib

from balsamwind import exceptions

BURST = 2.0
"""Requests that may be saved up, as time at the full rate (seconds)."""


class _Bucket:
    """Token bucket."""

    __slots__ = ('_level', '_updated_at')

    def __init__(self):
        self._level = None
        self._updated_at = 0.0

    def take(self, amount, rate, now):
        """Take `amount`; 0, or when to come back (seconds)."""
        top = max(rate * BURST, 1.0)
        if self._level is None:
            self._level = top
        else:
            earned = (now - self._updated_at) * rate
            self._level = min(top, self._level + earned)
        self._updated_at = now
        if self._level < amount:
            return (amount - self._level) / rate
        self._level -= amount
        return 0.0


class LimitKeeper:
    """Admits requests within this entry's share of each limit."""

    __slots__ = ('_buckets', '_in_flight')

    def __init__(self):
        self._buckets = {}
        self._in_flight = {}

    @property
    def in_flight(self):
        """Customer -> requests open here (count)."""
        return self._in_flight

    @contextlib.contextmanager
    def admit(self, contract, nodes, now):
        """Hold one request's place until the block ends.

        Parameters
        ----------
        contract : balsamwind.objects.Contract
            Contract of the caller.
        nodes : int
            Entries alive, this one included (count).
        now : float
            Monotonic time (seconds).

        Raises
        ------
        balsamwind.exceptions.LimitReached
            The share is used up.
        """
        customer = contract.customer
        limits = contract.limits
        self._check_in_flight(customer, limits, nodes)
        bucket = self._buckets.setdefault(customer, _Bucket())
        wait = bucket.take(1.0, limits.requests_per_second / nodes, now)
        if wait:
            raise exceptions.LimitReached(
                f'{customer}: over {limits.requests_per_second} requests/s',
                retry_after=wait,
            )
        self._in_flight[customer] = self._in_flight.get(customer, 0) + 1
        try:
            yield
        finally:
            self._in_flight[customer] -= 1

    def _check_in_flight(self, customer, limits, nodes):
        share = max(1, limits.in_flight // nodes)
        if self._in_flight.get(customer, 0) >= share:
            raise exceptions.LimitReached(
                f'{customer}: over {limits.in_flight} requests in flight',
                retry_after=1.0,
            )
