"""Bounded queue: by priority, and by turns among customers."""

import collections
import dataclasses

SMOOTHING = 0.05
"""Weight of the newest request in the mean service time."""

FIRST_SERVICE_TIME = 1.0
"""Service time that is assumed before any request has ended (seconds)."""

MIN_RETRY_AFTER = 0.1
"""Shortest time after which a rejected caller may come back (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True, eq=False)
class Ticket:
    """One request at the queue.

    Parameters
    ----------
    customer : str
        Whose request it is.
    priority : int
        0 (first to be shed) to 9.
    deadline : float
        Monotonic time at which the caller gives up (seconds).
    arrived_at : float
        Monotonic time of its arrival (seconds).
    """

    customer: str
    priority: int
    deadline: float
    arrived_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Start:
    """Run the request now."""

    ticket: Ticket


@dataclasses.dataclass(slots=True, frozen=True)
class Enqueue:
    """Let the request wait."""

    ticket: Ticket


@dataclasses.dataclass(slots=True, frozen=True)
class Shed:
    """Answer the caller at once; the request was not run.

    Parameters
    ----------
    ticket : Ticket
        The request.
    retry_after : float
        When capacity is expected (seconds).
    """

    ticket: Ticket
    retry_after: float


class RequestQueue:
    """Decides which requests run, wait or are shed.

    Parameters
    ----------
    slots : int
        Requests that run at one time (count).
    depth : int
        Requests that wait (count).
    max_wait : float
        Longest expected wait of a request that is let in (seconds).

    Notes
    -----
    A higher priority goes first. Customers of one priority take turns, one
    request each, so each gets an equal part whatever it asks for. A full
    queue sheds the newest request of the customer that has most waiting
    in the lowest priority.
    """

    __slots__ = (
        '_depth',
        '_levels',
        '_max_wait',
        '_running',
        '_service_time',
        '_slots',
        '_waiting',
    )

    def __init__(self, slots, depth, max_wait):
        self._slots = slots
        self._depth = depth
        self._max_wait = max_wait
        self._running = 0
        self._waiting = 0
        self._levels = {}
        self._service_time = FIRST_SERVICE_TIME

    @property
    def waiting(self):
        """Requests that wait (count)."""
        return self._waiting

    @property
    def running(self):
        """Requests that run (count)."""
        return self._running

    def expected_wait(self, customer, priority):
        """Wait of a request that arrives now (seconds)."""
        if self._running < self._slots and not self._waiting:
            return 0.0
        ahead = sum(
            len(queue)
            for level, flows in self._levels.items()
            if level > priority
            for queue in flows.values()
        )
        flows = self._levels.get(priority, {})
        own = len(flows.get(customer, ()))
        ahead += own
        ahead += sum(
            min(len(queue), own + 1)
            for name, queue in flows.items()
            if name != customer
        )
        return (ahead + 1) * self._service_time / self._slots

    def offer(self, ticket, now):
        """Take in a request.

        Returns
        -------
        list of Start, Enqueue or Shed
            What to do with it, and with others that it displaces.
        """
        if self._running < self._slots and not self._waiting:
            self._running += 1
            return [Start(ticket)]
        wait = self.expected_wait(ticket.customer, ticket.priority)
        allowed = min(self._max_wait, ticket.deadline - now)
        if wait > allowed:
            return [self._shed(ticket, wait - allowed)]
        self._push(ticket)
        decisions = [Enqueue(ticket)]
        if self._waiting > self._depth:
            victim = self._choose_victim()
            self.cancel(victim)
            shed = self._shed(victim, self._drain_time())
            decisions = [shed] if victim is ticket else [*decisions, shed]
        return decisions

    def finish(self, started_at, now):
        """Note the end of a request; what runs or is shed in its place."""
        self._running -= 1
        took = now - started_at
        self._service_time += SMOOTHING * (took - self._service_time)
        return self._fill(now)

    def expire(self, now):
        """Shed the requests that have waited too long."""
        late = [
            ticket
            for flows in self._levels.values()
            for queue in flows.values()
            for ticket in queue
            if now >= self.latest_start(ticket)
        ]
        for ticket in late:
            self.cancel(ticket)
        return [self._shed(ticket, self._drain_time()) for ticket in late]

    def cancel(self, ticket):
        """Take a waiting request out; whether it was waiting."""
        queue = self._levels.get(ticket.priority, {}).get(ticket.customer)
        if queue is None or ticket not in queue:
            return False
        queue.remove(ticket)
        self._waiting -= 1
        self._prune(ticket.priority, ticket.customer)
        return True

    def latest_start(self, ticket):
        """Monotonic time at which a waiting request is shed (seconds)."""
        return min(ticket.deadline, ticket.arrived_at + self._max_wait)

    def _drain_time(self):
        """Time in which all that wait have started (seconds)."""
        return (self._waiting + 1) * self._service_time / self._slots

    def _shed(self, ticket, seconds):
        return Shed(ticket, max(MIN_RETRY_AFTER, seconds))

    def _push(self, ticket):
        flows = self._levels.setdefault(ticket.priority, {})
        queue = flows.setdefault(ticket.customer, collections.deque())
        queue.append(ticket)
        self._waiting += 1

    def _pop(self):
        """The next request; its customer goes to the end of the turns."""
        priority = max(self._levels)
        flows = self._levels[priority]
        customer = next(iter(flows))
        queue = flows.pop(customer)
        ticket = queue.popleft()
        if queue:
            flows[customer] = queue
        elif not flows:
            del self._levels[priority]
        self._waiting -= 1
        return ticket

    def _prune(self, priority, customer):
        flows = self._levels[priority]
        if not flows[customer]:
            del flows[customer]
        if not flows:
            del self._levels[priority]

    def _choose_victim(self):
        flows = self._levels[min(self._levels)]
        return max(flows.values(), key=len)[-1]

    def _fill(self, now):
        decisions = []
        while self._waiting and self._running < self._slots:
            ticket = self._pop()
            if now >= self.latest_start(ticket):
                decisions.append(self._shed(ticket, self._drain_time()))
                continue
            self._running += 1
            decisions.append(Start(ticket))
        return decisions
