"""Capacity of the replica groups of one service."""

import collections

UPDATE_INTERVAL = 0.1
"""Age after which the capacity is computed again (seconds)."""

TICKETS_PER_SLOT = 4
"""Requests that may wait for each slot of the groups (count)."""


class ServiceCapacity:
    """Slots of the groups of one service, updated from time to time.

    Parameters
    ----------
    backends : BackendTable
        Backends of all services.
    rules : sequence
        Facts that forbid requests, see `Restrictions`.
    """

    __slots__ = ('_backends', '_rules', '_slots', '_updated_at', '_usable')

    def __init__(self, backends, rules):
        self._backends = backends
        self._rules = rules
        self._slots = 0
        self._usable = {}
        self._updated_at = float('-inf')

    def find_room_rate(self, service, model, now):
        """Return the work that usable groups of a model finish in a second.

        Parameters
        ----------
        service : balsamwind.traffic.Service
            The service.
        model : str
            Name of the model.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        float
            Work (seconds of slot time per second).
        """
        self._update(service, now)
        return float(self._usable.get(model, 0))

    def find_max_tickets(self, service, now):
        """Return how many requests to the service may wait (count)."""
        self._update(service, now)
        return TICKETS_PER_SLOT * self._slots

    def _update(self, service, now):
        if now - self._updated_at < UPDATE_INTERVAL:
            return
        self._updated_at = now
        self._slots = 0
        self._usable = collections.Counter()
        for backend in self._backends.get_by_service(service):
            self._slots += backend.slots
            if not backend.is_ejected(now) and not any(
                rule.find_end(backend.record, now) is not None
                for rule in self._rules
            ):
                self._usable[backend.model] += backend.slots
