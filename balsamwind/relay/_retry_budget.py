"""Retry budget of a service, split over all nodes."""

import collections
import math

USABLE_FRACTION = 0.85
"""Fraction of the budget that is spent; the rest is a safety margin."""


class RetryBudget:
    """Share of one node in the retry budget of one service.

    The ratio applies to the requests that this node received within the
    sliding window. The fixed allowance is divided among the nodes, so that
    the budget holds for all of them together.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    window : float
        Length of the sliding window (seconds).
    fixed_allowance : float
        Share of this node in the retries that are allowed in each window
        beyond the ratio (count).
    predecessor_until : float
        Time until which another process may have spent that share (seconds,
        boot clock). It is not spent again within a window of then, as nothing
        tells this process what is left of it.
    """

    __slots__ = (
        '_predecessor_until',
        '_requests',
        '_retries',
        'fixed_allowance',
        'ratio',
        'window',
    )

    def __init__(
        self, ratio, window, fixed_allowance, predecessor_until=-math.inf
    ):
        self.ratio = ratio
        self.window = window
        self.fixed_allowance = fixed_allowance
        self._predecessor_until = predecessor_until
        self._requests = collections.deque()
        self._retries = collections.deque()

    def record_request(self, now):
        """Count a request of a caller.

        Parameters
        ----------
        now : float
            Time of its arrival (seconds, boot clock).
        """
        self._requests.append(now)
        self._evict_expired(now)

    def try_consume(self, now):
        """Spend one retry if the budget allows it.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
            Whether the retry was granted; False if the budget of the window
            is spent.
        """
        self._evict_expired(now)
        allowed = self.ratio * len(self._requests)
        if now > self._predecessor_until + self.window:
            allowed += self.fixed_allowance
        if len(self._retries) + 1 > USABLE_FRACTION * allowed:
            return False
        self._retries.append(now)
        return True

    def _evict_expired(self, now):
        start = now - self.window
        for times in (self._requests, self._retries):
            while times and times[0] < start:
                times.popleft()
