"""Choice of a replica group for one request."""

import contextlib
import random

REMOTE_PENALTY = 2.0
"""Load that a group in another data centre counts as extra (requests)."""


def make_chooser(data_centre, random_state):
    """Build a chooser for a node in `data_centre`."""
    return Chooser(data_centre, random.Random(random_state))


class Chooser:
    """Power-of-two choice over complete groups.

    References
    ----------
    M. Mitzenmacher, "The power of two choices in randomized load
    balancing", IEEE Transactions on Parallel and Distributed Systems
    12(10), 2001.
    """

    __slots__ = ('_data_centre', '_in_flight', '_rng')

    def __init__(self, data_centre, rng):
        self._data_centre = data_centre
        self._rng = rng
        self._in_flight = {}

    @property
    def in_flight(self):
        """Requests sent and not yet answered, over all groups (count)."""
        return sum(self._in_flight.values())

    def choose(self, groups, reported_load, excluded=()):
        """Choose a group.

        Parameters
        ----------
        groups : sequence of balsamwind.objects.Group
            Complete groups.
        reported_load : callable
            Group -> requests at the group as last reported (count).
        excluded : container of str
            Groups tried before; used again only if there is no other.

        Returns
        -------
        balsamwind.objects.Group or None
        """
        fresh = [group for group in groups if group.name not in excluded]
        candidates = fresh or list(groups)
        if not candidates:
            return None
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda group: self._cost(group, reported_load))

    def _cost(self, group, reported_load):
        own = self._in_flight.get(group.name, 0)
        load = max(own, reported_load(group))
        if group.data_centre != self._data_centre:
            load += REMOTE_PENALTY
        return load

    @contextlib.contextmanager
    def track(self, group):
        """Count one request against `group` until the block ends."""
        self._in_flight[group] = self._in_flight.get(group, 0) + 1
        try:
            yield
        finally:
            self._in_flight[group] -= 1
            if not self._in_flight[group]:
                del self._in_flight[group]
