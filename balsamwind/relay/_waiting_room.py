"""Requests that wait in this process until a replica group has room."""

import asyncio
import collections
import dataclasses

from balsamwind.relay import _capacity
from balsamwind.relay import _load_balancing
from balsamwind.relay import _model_demand
from balsamwind.relay import _quiet_servers
from balsamwind.relay import _server_statements
from balsamwind import scheduling

CHECK_INTERVAL = 0.02
"""Time between two checks for room while requests wait (seconds)."""

REPEAT_INTERVAL = 0.25
"""Time between two messages that a request still waits (seconds). A node
that hears none for longer gives up its placing node."""

START_MARGIN = 0.03
"""Time before the latest start by the prediction at which a request should
start (seconds). Without it, requests that start last miss their objective by
the variation of the wait inside the engine."""

MAX_PASSED_OVER = 16
"""Tickets that may be passed over because their nodes may not use the groups
with room (count)."""


@dataclasses.dataclass(slots=True, eq=False)
class WaitingRequest:
    """Request that waits for a backend.

    Parameters
    ----------
    ticket : balsamwind.scheduling.Ticket
        What its turn depends on.
    service : balsamwind.traffic.Service
        Service that the request is sent to.
    requirements : RequestRequirements
        What the request needs.
    tried : container of tuple
        Keys of the backends that earlier attempts of the request used.
    quiet : QuietServers
        Servers that get no requests of the sending node for a while.
    deliver : callable
        Called once with the `Backend` or the `NoBackendAvailable`, and the
        time. It counts the request at the backend before it returns.
    notify : callable or None
        Called regularly with the expected wait (seconds) until then.
    expected_wait : float
        Expected wait as it was added (seconds).
    """

    ticket: scheduling.Ticket
    service: object
    requirements: _load_balancing.RequestRequirements
    tried: object
    quiet: object
    deliver: object
    notify: object = None
    expected_wait: float = 0.0


class WaitingRoom:
    """Joins the queues of waiting requests with the backends.

    Parameters
    ----------
    backends : BackendTable
        Backends of all services, with the counts of all requests that this
        process places.
    data_centre : str
        Data centre of this node.
    rng : random.Random
        Source of the jitter of the choice.
    limits : ServerLimits
        Limits of backend servers.
    rules : sequence
        Further facts that forbid requests, see `Restrictions`.
    clock : balsamwind.ports.Clock
        Monotonic clock, for the checks by the timer.

    Attributes
    ----------
    on_rejection : callable
        Called with the reason of each rejection.
    call_later : callable
        Takes a time (seconds) and a callable without arguments, and calls it
        after that time.
    """

    __slots__ = (
        '_backends',
        '_capacities',
        '_clock',
        '_data_centre',
        '_expired_at',
        '_is_timer_set',
        '_limits',
        '_passed_over',
        '_queues',
        '_repeats',
        '_rng',
        '_rules',
        '_services',
        '_waiting',
        'call_later',
        'on_rejection',
    )

    def __init__(self, backends, data_centre, rng, limits, rules, clock):
        self._backends = backends
        self._data_centre = data_centre
        self._rng = rng
        self._limits = limits
        self._rules = rules
        self._clock = clock
        self._queues = {}
        self._services = {}
        self._capacities = {}
        self._waiting = {}
        self._passed_over = {}
        self._repeats = collections.deque()
        self._expired_at = float('-inf')
        self._is_timer_set = False
        self.on_rejection = lambda reason: None
        self.call_later = _call_later

    def __len__(self):
        return len(self._waiting)

    def count_by_rank(self):
        """Count the waiting requests.

        Returns
        -------
        collections.Counter
            Number of requests by rank.
        """
        return collections.Counter(ticket.rank for ticket in self._waiting)

    def count_by_model(self, service):
        """Count the waiting requests of a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        collections.Counter
            Number of requests by model.
        """
        return collections.Counter(
            ticket.model
            for ticket, waiting in self._waiting.items()
            if waiting.service.name == service
        )

    def place(
        self,
        service,
        requirements,
        tried,
        quiet,
        now,
        max_wait=0.0,
        waited=0.0,
        deliver=None,
        notify=None,
    ):
        """Choose a backend, or let the request wait until one has room.

        A request that may not wait is placed without regard to room, as one
        that has begun already must not wait behind new ones.

        Parameters
        ----------
        service, requirements, tried, quiet, deliver, notify
            As for `WaitingRequest`.
        now : float
            Current time (seconds, boot clock).
        max_wait : float
            Longest wait (seconds); 0 if the request may not wait.
        waited : float
            Age of the request (seconds).

        Returns
        -------
        Backend, NoBackendAvailable or WaitingRequest
        """
        may_wait = (
            max_wait > 0.0
            and requirements.latency_objective != 0.0
            and service.engine is not None
        )
        if not may_wait:
            return self._choose(
                self._backends.get_by_service(service),
                service,
                requirements,
                tried,
                quiet,
                now,
            )
        ticket = _make_ticket(service, requirements, max_wait, waited, now)
        queue = self._get_queue(service)
        if not queue.count(requirements.model):
            placed = self._find_room(service, requirements, tried, quiet, now)
            if placed is not None:
                if not isinstance(placed, _load_balancing.NoBackendAvailable):
                    queue.charge(ticket, now)
                return placed
        waiting = WaitingRequest(
            ticket, service, requirements, tried, quiet, deliver, notify
        )
        return self._add(queue, waiting, max_wait, now)

    def _choose(self, backends, service, requirements, tried, quiet, now):
        return _load_balancing.choose_backend(
            backends,
            service.engine,
            requirements,
            self._data_centre,
            tried,
            now,
            self._rng,
            _server_statements.Restrictions(quiet, self._limits, self._rules),
        )

    def _find_room(self, service, requirements, tried, quiet, now):
        """Choose a backend that has room.

        Returns
        -------
        Backend, NoBackendAvailable or None
            None if there are candidates, but none has room.
        """
        backends = self._backends.get_by_service(service)
        chosen = self._choose(
            backends, service, requirements, tried, quiet, now
        )
        if isinstance(chosen, _load_balancing.NoBackendAvailable):
            return None if chosen.has_candidates else chosen
        # All candidates are ejected if an ejected one was chosen; as for
        # other requests, the ejections are ignored then.
        if self._has_room(chosen, now) or chosen.is_ejected(now):
            return chosen
        with_room = [
            backend
            for backend in backends
            if backend.model == requirements.model
            and self._has_room(backend, now)
        ]
        if not with_room:
            return None
        chosen = self._choose(
            with_room, service, requirements, tried, quiet, now
        )
        if isinstance(chosen, _load_balancing.NoBackendAvailable):
            return None
        return chosen

    def _has_room(self, backend, now):
        """Tell whether a group has room.

        Each data centre has its own placing node, which knows the requests of
        the others only from load reports.
        """
        if backend.record.data_centre == self._data_centre:
            return backend.has_room(now)
        return backend.has_known_room(now)

    def _get_queue(self, service):
        queue = self._queues.get(service.name)
        self._services[service.name] = service
        if queue is None:
            self._capacities[service.name] = _capacity.ServiceCapacity(
                self._backends, self._rules
            )
            queue = self._queues[service.name] = scheduling.WaitingQueue(0)
        return queue

    def _find_room_rate(self, service, model, now):
        return self._capacities[service.name].find_room_rate(
            service, model, now
        )

    def _add(self, queue, waiting, max_wait, now):
        service, ticket = waiting.service, waiting.ticket
        rate = self._find_room_rate(service, ticket.model, now)
        queue.max_tickets = self._capacities[service.name].find_max_tickets(
            service, now
        )
        self._waiting[ticket] = waiting
        for rejection in queue.add(ticket, rate, now):
            if rejection.ticket is ticket:
                del self._waiting[ticket]
                return self._make_rejection(rejection)
            self._reject(rejection, now)
        waiting.expected_wait = min(
            queue.find_wait(ticket, rate, now), max_wait
        )
        if waiting.notify is not None:
            self._repeats.append((now + REPEAT_INTERVAL, waiting))
        self._set_timer()
        return waiting

    def _make_rejection(self, rejection):
        self.on_rejection(str(rejection.reason))
        return _load_balancing.NoBackendAvailable(
            f'no group has room for the request in time: {rejection.reason}',
            max(rejection.retry_after, 0.0),
        )

    def _reject(self, rejection, now):
        waiting = self._waiting.pop(rejection.ticket, None)
        if waiting is not None:
            waiting.deliver(self._make_rejection(rejection), now)

    def leave(self, waiting):
        """Remove a request that nobody waits for any more.

        Parameters
        ----------
        waiting : WaitingRequest
            The request; one that does not wait is ignored.
        """
        ticket = waiting.ticket
        if self._waiting.pop(ticket, None) is None:
            return
        if self._passed_over.pop(ticket, None) is None:
            self._queues[waiting.service.name].remove(ticket)

    def advance(self, now, backend=None):
        """Start the requests that there is room for.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).
        backend : Backend or None
            Backend at which an attempt has ended; None to look at all.
        """
        if not self._waiting:
            return
        # After a pause of this node, requests whose turn has passed are
        # rejected before others start.
        if now - self._expired_at >= CHECK_INTERVAL:
            self._expired_at = now
            self._expire(now)
        for name, model in self._find_waiting_models():
            service = self._services[name]
            if backend is None:
                backends = self._backends.get_by_service(service)
            elif self._may_start(service, model, backend):
                backends = (backend,)
            else:
                continue
            self._start(service, model, backends, now)

    def _may_start(self, service, model, backend):
        """Tell whether a backend may still get requests for a model.

        An attempt that ends may have been at a group that is closing, or whose
        head has left.
        """
        return (
            backend.model == model
            and backend.key[0] == service.name
            and any(
                item is backend
                for item in self._backends.get_by_service(service)
            )
        )

    def _find_waiting_models(self):
        """Find the services and models that requests wait for.

        Returns
        -------
        set of (str, str)
            Names of service and model.
        """
        found = {
            (name, model)
            for name, queue in self._queues.items()
            for model in queue.models
        }
        for ticket, waiting in self._passed_over.items():
            found.add((waiting.service.name, ticket.model))
        return found

    def _expire(self, now):
        for name, queue in self._queues.items():
            service = self._services[name]

            def find_room_rate(model, service=service):
                return self._find_room_rate(service, model, now)

            for rejection in queue.expire(now, find_room_rate):
                self._reject(rejection, now)
        for ticket, waiting in list(self._passed_over.items()):
            if ticket.last_start < now:
                del self._passed_over[ticket]
                self._reject(
                    scheduling.Rejection(
                        ticket,
                        scheduling.RejectionReason.EXPIRED,
                        _load_balancing.DEFAULT_RETRY_AFTER,
                    ),
                    now,
                )

    def _start(self, service, model, backends, now):
        restrictions = _server_statements.Restrictions(
            _quiet_servers.NOTHING_QUIET, self._limits, self._rules
        )
        with_room = [
            backend
            for backend in backends
            if backend.model == model
            and self._has_room(backend, now)
            and restrictions.find_end(backend.record, now) is None
        ]
        if not with_room:
            return
        for ticket, waiting in list(self._passed_over.items()):
            if (waiting.service.name, ticket.model) != (service.name, model):
                continue
            if self._start_one(waiting, with_room, now):
                self._passed_over.pop(ticket, None)
        queue = self._queues[service.name]
        while with_room and len(self._passed_over) < MAX_PASSED_OVER:
            ticket = queue.take(model, now)
            if ticket is None:
                return
            waiting = self._waiting[ticket]
            if not self._start_one(waiting, with_room, now):
                self._passed_over[ticket] = waiting

    def _start_one(self, waiting, with_room, now):
        """Deliver a backend with room, if the request may use one."""
        if not with_room:
            return False
        chosen = self._choose(
            with_room,
            waiting.service,
            waiting.requirements,
            waiting.tried,
            waiting.quiet,
            now,
        )
        if isinstance(chosen, _load_balancing.NoBackendAvailable):
            return False
        del self._waiting[waiting.ticket]
        waiting.deliver(chosen, now)
        if not self._has_room(chosen, now):
            with_room.remove(chosen)
        return True

    def _set_timer(self):
        if not self._is_timer_set:
            self._is_timer_set = True
            self.call_later(CHECK_INTERVAL, self._check)

    def _check(self):
        self._is_timer_set = False
        now = self._clock.monotonic()
        self.advance(now)
        self._repeat(now)
        if self._waiting:
            self._set_timer()
        else:
            self._repeats.clear()

    def _repeat(self, now):
        """Tell the nodes of requests that still wait."""
        while self._repeats and self._repeats[0][0] <= now:
            _, waiting = self._repeats.popleft()
            if waiting.ticket in self._waiting:
                waiting.notify(waiting.expected_wait)
                self._repeats.append((now + REPEAT_INTERVAL, waiting))


def _call_later(delay, callback):
    asyncio.get_running_loop().call_later(delay, callback)


def _make_ticket(service, requirements, max_wait, waited, now):
    engine, model = service.engine, requirements.model
    first_event_time = _load_balancing.predict_with_room(
        engine, requirements, model
    )
    work = _model_demand.predict_service_time(
        engine, model, requirements.prompt_tokens, requirements.output_tokens
    )
    start_by = (
        now + requirements.latency_objective - first_event_time - START_MARGIN
    )
    # The length of the output is an estimate: a request that can meet its
    # objective is not given up because of it.
    last_start = max(start_by, now + requirements.time_left - work)
    return scheduling.Ticket(
        requirements.rank,
        requirements.account,
        requirements.route,
        model,
        work,
        now - waited,
        start_by,
        min(last_start, now + max_wait),
        False,
        requirements.key,
    )
