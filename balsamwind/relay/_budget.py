"""Budget of second sends that holds over all nodes together."""

import collections

SAFETY = 0.85
"""Part of the budget that is used."""


class ResendBudget:
    """One node's part of the budget of one service.

    Parameters
    ----------
    ratio : float
        Second sends for each request.
    window : float
        Window (seconds).
    extra : float
        This node's part of what is allowed beyond the ratio (count).
    """

    __slots__ = ('_ratio', '_requests', '_resends', '_window', 'extra')

    def __init__(self, ratio, window, extra):
        self._ratio = ratio
        self._window = window
        self.extra = extra
        self._requests = collections.deque()
        self._resends = collections.deque()

    def note_request(self, now):
        """Count a caller's request."""
        self._requests.append(now)
        self._trim(now)

    def take(self, now):
        """Spend one second send; False if none is left in the window."""
        self._trim(now)
        allowed = self._ratio * len(self._requests) + self.extra
        if len(self._resends) + 1 > SAFETY * allowed:
            return False
        self._resends.append(now)
        return True

    def _trim(self, now):
        start = now - self._window
        for times in (self._requests, self._resends):
            while times and times[0] < start:
                times.popleft()
