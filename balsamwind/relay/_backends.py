"""Backends that requests are sent to, with their load and health."""

import contextlib

from balsamwind import servers

STALL_TIMEOUT = 0.45
"""Longest pause between bytes from a replica group that has work; after it,
the group counts as stalled (seconds)."""

FIRST_EVENT_EJECTION_MARGIN = 0.3
"""Wait for a first event, beyond the predicted time, after which the group is
ejected, so that it gets no new requests for a while (seconds)."""

FIRST_EVENT_STALL_MARGIN = 0.9
"""Wait for a first event, beyond twice the predicted time, after which the
request is retried at another backend. It is longer than the margin for an
ejection because a queue looks like a stall to a node that sees few of the
group's streams (seconds)."""

BASE_STALL_EJECTION_TIME = 0.7
"""Duration of the first ejection after a stall; it doubles with each further
stall (seconds)."""

MAX_STALL_EJECTION_TIME = 2.8
"""Longest ejection after a stall (seconds)."""

BASE_EJECTION_TIME = 1.0
"""Duration of the first ejection after consecutive failures; it doubles with
each further failure (seconds)."""

MAX_EJECTION_TIME = 8.0
"""Longest ejection after consecutive failures (seconds)."""

EJECTION_THRESHOLD = 2
"""Consecutive failures that eject a backend (count)."""

LOAD_REPORT_LIFETIME = 2.0
"""Time in which the weight of a reported load falls linearly to zero
(seconds)."""

MAX_REPORT_AGE = 1.0
"""Age up to which a reported load tells whether a group has room that others
use as well (seconds)."""


def _ignore_ramp_end(backend, seconds):
    """Stand in where the end of a ramp is not logged."""


class Backend:
    """A backend server, or a replica group that is reached at its head.

    Outliers are ejected: a backend that stalls or fails repeatedly gets no
    new requests for a while, unless all of them are ejected.

    Parameters
    ----------
    key : tuple
        Identity: service, server id and start of a backend server; service,
        name and epoch of a replica group.
    record : balsamwind.pool.ServerRecord
        Entry of the backend server that requests are sent to.
    slots : int
        Requests that run concurrently (count).
    model : str
        Model that the replica group serves; empty for a plain service.

    Attributes
    ----------
    in_flight : int
        Requests of this node that are under way there (count).
    pending_prompt_tokens : int
        Prompt tokens of these requests that are still to be processed
        (count).
    last_progress_at : float
        When the last bytes of a response came (seconds, boot clock).
    ejected_until : float
        End of the current or last ejection (seconds, boot clock).
    pace : balsamwind.servers.Pace or None
        Ramp of a replica group that has not shown its full pace yet; None
        if there is no ramp.
    on_ramp_end : callable
        Called with the backend and the time that its ramp took (seconds).
    """

    __slots__ = (
        '_consecutive_failures',
        '_other_load',
        '_other_load_at',
        '_stall_ejection_time',
        'ejected_until',
        'in_flight',
        'key',
        'last_progress_at',
        'model',
        'on_ramp_end',
        'pace',
        'pending_prompt_tokens',
        'record',
        'slots',
    )

    def __init__(self, key, record, slots, model=''):
        self.key = key
        self.record = record
        self.slots = slots
        self.model = model
        self.in_flight = 0
        self.pending_prompt_tokens = 0
        self.last_progress_at = float('-inf')
        self.ejected_until = float('-inf')
        self.pace = None
        self.on_ramp_end = _ignore_ramp_end
        self._consecutive_failures = 0
        self._stall_ejection_time = BASE_STALL_EJECTION_TIME
        self._other_load = 0.0
        self._other_load_at = float('-inf')

    def occupancy(self, now):
        """Estimate how many requests run or wait there.

        The load that other nodes cause is known only from reports in
        responses and loses weight with their age.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        float
            Requests of this node and of all others (count).
        """
        if not self._other_load:
            return self.in_flight
        age = now - self._other_load_at
        other_load = self._other_load * max(
            0.0, 1.0 - age / LOAD_REPORT_LIFETIME
        )
        return self.in_flight + other_load

    def update_load(self, load, now):
        """Store the load that a response reports.

        Parameters
        ----------
        load : ReportedLoad
            Load of the backend, including the requests of this node.
        now : float
            Current time (seconds, boot clock).
        """
        total = load.running + load.waiting
        self._other_load = max(0.0, total - self.in_flight)
        self._other_load_at = now

    def record_progress(self, now):
        """Record that bytes of a response came; this ends any ejection.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).
        """
        self.last_progress_at = now
        self._consecutive_failures = 0
        self._stall_ejection_time = BASE_STALL_EJECTION_TIME
        self.ejected_until = float('-inf')

    def start_ramp(self, now, is_new=False):
        """Find the pace of a replica group anew, if it has no ramp already.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).
        is_new : bool
            Whether it has started, rather than recovered.
        """
        if self.model and self.pace is None:
            # Those in flight show the pace soon, so half of them may go on.
            window = max(servers.INITIAL_WINDOW, self.in_flight / 2.0)
            self.pace = servers.Pace(now, window, is_new)

    def record_first_event(self, measured_time, predicted_time, now):
        """Record how long the first event of a request took.

        Parameters
        ----------
        measured_time : float
            Time since the request was sent (seconds).
        predicted_time : float
            Time that was predicted then (seconds).
        now : float
            Current time (seconds, boot clock).
        """
        if self.pace is None:
            return
        self.pace.record_first_event(measured_time, predicted_time, now)
        self._end_ramp(now)

    def record_rejection(self):
        """Record that the backend did not take a request."""
        if self.pace is not None:
            self.pace.record_failure()

    def _end_ramp(self, now):
        pace = self.pace
        if pace is not None and pace.has_ended(self.slots, now):
            self.pace = None
            self.on_ramp_end(self, now - pace.started_at)

    def has_window(self, now):
        """Tell whether the ramp allows another request.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
            True without a ramp.
        """
        self._end_ramp(now)
        return self.pace is None or self.find_window_left(now) >= 1.0

    def find_window_left(self, now):
        """Find how many more requests the ramp allows; negative if fewer.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        float
            Requests (count); infinite without a ramp.
        """
        if self.pace is None:
            return float('inf')
        return self.pace.window - self.occupancy(now)

    def record_stall(self, now):
        """Eject a backend that makes no progress although it has work.

        A stall during an ejection is ignored, so that several requests that
        wait there at once neither prolong nor double it.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).
        """
        if self.is_ejected(now):
            return
        self.record_rejection()
        self.start_ramp(now)
        self.ejected_until = now + self._stall_ejection_time
        self._stall_ejection_time = min(
            2.0 * self._stall_ejection_time, MAX_STALL_EJECTION_TIME
        )

    def record_failure(self, now):
        """Record a failed request that is not at fault itself.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).
        """
        self._consecutive_failures += 1
        self.record_rejection()
        if self._consecutive_failures >= EJECTION_THRESHOLD:
            self.start_ramp(now)
            doublings = min(self._consecutive_failures - EJECTION_THRESHOLD, 3)
            # The window of a new backend bounds the failures already.
            if self.pace is not None and self.pace.is_new:
                doublings = 0
            self.ejected_until = now + min(
                BASE_EJECTION_TIME * 2.0**doublings, MAX_EJECTION_TIME
            )

    def is_ejected(self, now):
        """Tell whether new requests should go to other backends.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
            Whether an ejection lasts at `now`.
        """
        return now < self.ejected_until

    def has_room(self, now):
        """Tell whether a request sent now runs there without a wait.

        One request more than the slots is allowed, as the next one should
        have arrived when a slot becomes free.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
        """
        return (
            not self.is_ejected(now)
            and self.occupancy(now) <= self.slots
            and (self.pace is None or self.has_window(now))
        )

    def has_known_room(self, now):
        """Tell whether a group that other placing nodes use too has room.

        Their requests are known from load reports only. Without a recent one,
        a single request may be sent, whose answer reports the load.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
        """
        if now - self._other_load_at > MAX_REPORT_AGE:
            return self.in_flight == 0 and not self.is_ejected(now)
        return (
            self.has_room(now)
            and self.in_flight + self._other_load < self.slots
        )

    def is_stalled(self, waiting_since, now, timeout=STALL_TIMEOUT):
        """Tell whether no bytes came for longer than a timeout.

        Parameters
        ----------
        waiting_since : float
            Since when a request has been waiting (seconds, boot clock).
        now : float
            Current time (seconds, boot clock).
        timeout : float
            Longest time without progress (seconds).

        Returns
        -------
        bool
            Whether the time since the last progress of the backend, or since
            the request waits if that is later, exceeds `timeout`.
        """
        return now - max(self.last_progress_at, waiting_since) > timeout

    @contextlib.contextmanager
    def track(self, prompt_tokens):
        """Count one request as in flight until the block ends.

        Parameters
        ----------
        prompt_tokens : int
            Length of its prompt (tokens).

        Yields
        ------
        callable
            Takes no arguments; marks the prompt as processed.
        """
        pending = prompt_tokens
        self.in_flight += 1
        self.pending_prompt_tokens += pending

        def mark_prompt_processed():
            nonlocal pending
            self.pending_prompt_tokens -= pending
            pending = 0

        try:
            yield mark_prompt_processed
        finally:
            self.in_flight -= 1
            mark_prompt_processed()


class BackendTable:
    """Backends of all services, derived from the registry.

    Load and health of a backend are kept as long as it can take requests,
    also when its registry entry changes.

    Parameters
    ----------
    registry : balsamwind.pool.ServerRegistry
        Entries of the backend servers.
    make_group_index : callable
        Takes the name of a service and the registry and returns its
        `balsamwind.pool.GroupIndex`.
    find_now : callable or None
        Returns the current time (seconds, boot clock); None if groups that
        have started need not show their pace.

    Attributes
    ----------
    on_ramp_end : callable
        Called with a backend and the time that its ramp took (seconds).
    """

    __slots__ = (
        '_find_now',
        '_make_group_index',
        '_registry',
        '_tables',
        'on_ramp_end',
    )

    def __init__(self, registry, make_group_index, find_now=None):
        self._find_now = find_now
        self.on_ramp_end = _ignore_ramp_end
        self._registry = registry
        self._make_group_index = make_group_index
        self._tables = {}

    def get_by_service(self, service):
        """Return the backends of a service that may take requests.

        Parameters
        ----------
        service : balsamwind.traffic.Service
            The service.

        Returns
        -------
        list of Backend
            One for each replica group that serves, or for each usable
            backend server of a plain service.
        """
        table = self._tables.get(service.name)
        if table is None or table.serves_groups != (
            service.engine is not None
        ):
            table = self._tables[service.name] = self._make_table(service)
        return table.get_backends(service)

    def find(self, service, key):
        """Return one backend of a service.

        Parameters
        ----------
        service : balsamwind.traffic.Service
            The service.
        key : tuple
            Identity of the backend.

        Returns
        -------
        Backend or None
            None if it may not take requests.
        """
        self.get_by_service(service)
        return self._tables[service.name].find(key)

    @property
    def ramping_count(self):
        """Backends that have not shown their full pace yet (count)."""
        return sum(
            backend.pace is not None
            for table in self._tables.values()
            for backend in table.list_known()
        )

    def _make_table(self, service):
        if service.engine is None:
            return _PlainTable(service.name, self._registry)
        return _GroupTable(
            service.name,
            self._make_group_index(service.name, self._registry),
            self._find_now,
            lambda *ramp: self.on_ramp_end(*ramp),
        )


class _PlainTable:
    """Backends of a plain service: its usable servers."""

    __slots__ = ('_backends', '_change_count', '_registry', '_service')

    serves_groups = False

    def __init__(self, service, registry):
        self._service = service
        self._registry = registry
        self._change_count = -1
        self._backends = {}

    def get_backends(self, service):
        if self._change_count != self._registry.change_count:
            self._change_count = self._registry.change_count
            self._update()
        return list(self._backends.values())

    def find(self, key):
        return self._backends.get(key)

    def list_known(self):
        return self._backends.values()

    def _update(self):
        known, self._backends = self._backends, {}
        for record in self._registry.get_by_service(self._service):
            if not record.usable:
                continue
            key = (self._service, record.server_id, record.born)
            backend = known.get(key) or Backend(key, record, record.slots)
            backend.record = record
            backend.slots = record.slots
            self._backends[key] = backend


class _GroupTable:
    """Backends of a service of model engines: its serving groups."""

    __slots__ = (
        '_backend_list',
        '_backends',
        '_find_now',
        '_index',
        '_is_filled',
        '_on_ramp_end',
        '_service',
    )

    serves_groups = True

    def __init__(self, service, index, find_now, on_ramp_end):
        self._find_now = find_now
        self._on_ramp_end = on_ramp_end
        self._is_filled = False
        self._service = service
        self._index = index
        self._backends = {}
        self._backend_list = []

    def get_backends(self, service):
        changes = self._index.take_changes(service.engine)
        if changes:
            for group_key, group in changes.items():
                self._update_backend(group_key, group, service.engine.slots)
            self._backend_list = list(self._backends.values())
            self._is_filled = bool(self._backend_list) or self._is_filled
        return self._backend_list

    def find(self, key):
        return self._backends.get(key)

    def list_known(self):
        return self._backends.values()

    def _update_backend(self, group_key, group, slots):
        key = (self._service, *group_key)
        if group is None or not group.serving:
            self._backends.pop(key, None)
            return
        backend = self._backends.get(key)
        if backend is None:
            backend = self._backends[key] = Backend(
                key, group.head, slots, group.model
            )
            backend.on_ramp_end = self._on_ramp_end
            # Groups that this node finds at its own start run already.
            if self._is_filled and self._find_now is not None:
                backend.start_ramp(self._find_now(), is_new=True)
        backend.record = group.head
        backend.slots = slots
