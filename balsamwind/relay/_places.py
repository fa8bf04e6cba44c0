"""Places where a request can run, and what this node knows of their load."""

import contextlib

STALL = 0.45
"""Silence after which a group that has work is taken to stand still
(seconds)."""

FIRST_DOUBT = 0.3
"""Silence before a first event, beyond the predicted time, after which a
group gets no new requests for a while (seconds)."""

FIRST_STALL = 0.9
"""Silence before a first event, beyond twice the predicted time, after which
the request goes elsewhere: on a node that sees few of a group's streams, a
queue looks like standing still (seconds)."""

SUSPICION = 0.7
"""How long a place that stood still is avoided at first (seconds)."""

MAX_SUSPICION = 2.8
"""Longest time that a place that stands still is avoided (seconds)."""

EJECTION = 1.0
"""How long a server is avoided after failures in a row (seconds)."""

MAX_EJECTION = 8.0
"""Longest time that a server is avoided (seconds)."""

FAILURES = 2
"""Failures in a row that eject a server (count)."""

LOAD_MEMORY = 2.0
"""How long a reported load counts (seconds)."""


class Place:
    """A backend server, or the head of a replica group.

    Parameters
    ----------
    key : tuple
        Identity: service and server, or service and group.
    record : balsamwind.pool.ServerRecord
        The server that requests are sent to.
    slots : int
        Requests that run at once (count).
    model : str
        Model of the group; empty for a plain service.
    """

    __slots__ = (
        '_failures',
        '_others',
        '_others_at',
        '_suspicion',
        'avoid_until',
        'in_flight',
        'key',
        'last_progress',
        'model',
        'pending_tokens',
        'record',
        'slots',
    )

    def __init__(self, key, record, slots, model=''):
        self.key = key
        self.record = record
        self.slots = slots
        self.model = model
        self.in_flight = 0
        self.pending_tokens = 0
        self.last_progress = float('-inf')
        self.avoid_until = float('-inf')
        self._failures = 0
        self._suspicion = SUSPICION
        self._others = 0.0
        self._others_at = float('-inf')

    def occupancy(self, now):
        """Requests that run or wait there, as far as is known (count)."""
        age = now - self._others_at
        others = self._others * max(0.0, 1.0 - age / LOAD_MEMORY)
        return self.in_flight + others

    def note_load(self, load, now):
        """Take the load that an answer reports."""
        total = load.running + load.waiting
        self._others = max(0.0, total - self.in_flight)
        self._others_at = now

    def note_progress(self, now):
        """Note that bytes of an answer came."""
        self.last_progress = now
        self._failures = 0
        self._suspicion = SUSPICION
        self.avoid_until = float('-inf')

    def note_stall(self, now):
        """Note that it stands still with work in it."""
        if self.is_avoided(now):
            return
        self.avoid_until = now + self._suspicion
        self._suspicion = min(2.0 * self._suspicion, MAX_SUSPICION)

    def note_failure(self, now):
        """Note that a request failed there, not by its own fault."""
        self._failures += 1
        if self._failures >= FAILURES:
            extra = min(self._failures - FAILURES, 3)
            self.avoid_until = now + min(EJECTION * 2.0**extra, MAX_EJECTION)

    def is_avoided(self, now):
        """Whether it is better not used at `now`."""
        return now < self.avoid_until

    def is_stalled(self, sent_at, now, patience=STALL):
        """Whether nothing has come for longer than `patience` (seconds)."""
        return now - max(self.last_progress, sent_at) > patience

    @contextlib.contextmanager
    def track(self, tokens):
        """Count one request until the block ends.

        Yields
        ------
        callable
            To be called when the prompt has been read.
        """
        pending = tokens
        self.in_flight += 1
        self.pending_tokens += pending

        def note_read():
            nonlocal pending
            self.pending_tokens -= pending
            pending = 0

        try:
            yield note_read
        finally:
            self.in_flight -= 1
            note_read()


class PlaceBook:
    """Places of all services, as the registry shows them.

    Parameters
    ----------
    registry : balsamwind.pool.Registry
        Entries of the backend servers.
    find_groups : callable
        Sorts records into groups.
    """

    __slots__ = ('_cache', '_find_groups', '_known', '_registry')

    def __init__(self, registry, find_groups):
        self._registry = registry
        self._find_groups = find_groups
        self._cache = {}
        self._known = {}

    def of_service(self, service):
        """Places of a service that may take requests."""
        cached = self._cache.get(service.name)
        if cached is not None:
            changes, terms, places = cached
            if changes == self._registry.changes and terms is service.engine:
                return places
        places = self._make_places(service)
        self._cache[service.name] = (
            self._registry.changes,
            service.engine,
            places,
        )
        return places

    def _make_places(self, service):
        records = self._registry.of_service(service.name)
        if service.engine is None:
            wanted = [
                ((service.name, item.server_id, item.born), item, '')
                for item in records
                if item.usable
            ]
        else:
            wanted = [
                ((service.name, *group.key), group.head, group.model)
                for group in self._find_groups(
                    records, service.engine
                ).values()
                if group.serving
            ]
        places = []
        for key, record, model in wanted:
            place = self._known.get(key)
            if place is None:
                slots = (
                    record.slots
                    if service.engine is None
                    else service.engine.slots
                )
                place = self._known[key] = Place(key, record, slots, model)
            place.record = record
            places.append(place)
        kept = {key for key, _, _ in wanted}
        for key in list(self._known):
            if key[0] == service.name and key not in kept:
                del self._known[key]
        return places
