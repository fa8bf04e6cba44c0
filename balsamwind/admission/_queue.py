"""Bounded request queue with priorities and fair queueing of customers."""

import collections
import dataclasses

SERVICE_TIME_SMOOTHING = 0.05
"""Weight of the newest sample in the moving average of the service time."""

INITIAL_SERVICE_TIME = 1.0
"""Mean service time assumed before any request has ended (seconds)."""

MIN_RETRY_AFTER = 0.1
"""Shortest retry delay reported to the caller of a shed request (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True, eq=False)
class QueuedRequest:
    """Request that is offered to the queue; compared by identity.

    Parameters
    ----------
    customer : str
        Name of the customer who sent the request.
    priority : int
        Priority, from 0 (shed first) to 9.
    deadline : float
        Monotonic time at which the caller gives up (seconds).
    arrived_at : float
        Monotonic time of the arrival (seconds).
    """

    customer: str
    priority: int
    deadline: float
    arrived_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Start:
    """Decision to run a request now.

    Parameters
    ----------
    request : QueuedRequest
        Request to run.
    """

    request: QueuedRequest


@dataclasses.dataclass(slots=True, frozen=True)
class Enqueue:
    """Decision to let a request wait.

    Parameters
    ----------
    request : QueuedRequest
        Request that waits.
    """

    request: QueuedRequest


@dataclasses.dataclass(slots=True, frozen=True)
class Shed:
    """Decision to reject a request at once, without running it.

    Parameters
    ----------
    request : QueuedRequest
        Request to reject.
    retry_after : float
        Time after which capacity is expected (seconds).
    """

    request: QueuedRequest
    retry_after: float


class RequestQueue:
    """Decides which requests run, wait or are shed.

    Parameters
    ----------
    max_running : int
        Largest number of requests that run at one time (count).
    max_waiting : int
        Largest number of requests that wait (count).
    max_wait : float
        Longest expected wait with which a request is accepted, and longest
        time that it then waits (seconds).

    Notes
    -----
    Requests of a higher priority start first. Within a priority, the
    customers are served round-robin, one request each, so that each gets an
    equal part however many requests it sends. A full queue sheds a request
    of the lowest priority that waits: the newest one of the customer that
    has most requests waiting in it.
    """

    __slots__ = (
        '_flows_by_priority',
        '_max_running',
        '_max_wait',
        '_max_waiting',
        '_mean_service_time',
        '_running',
        '_waiting',
    )

    def __init__(self, max_running, max_waiting, max_wait):
        self._max_running = max_running
        self._max_waiting = max_waiting
        self._max_wait = max_wait
        self._running = 0
        self._waiting = 0
        # Priority -> customer -> its waiting requests. The customers are in
        # the order in which they are served next.
        self._flows_by_priority = {}
        self._mean_service_time = INITIAL_SERVICE_TIME

    @property
    def waiting(self):
        """Number of requests that wait (count)."""
        return self._waiting

    @property
    def running(self):
        """Number of requests that run (count)."""
        return self._running

    def estimate_wait(self, customer, priority):
        """Estimate the wait of a request that arrives now.

        Parameters
        ----------
        customer : str
            Name of the customer.
        priority : int
            Priority of the request, 0 to 9.

        Returns
        -------
        float
            Expected time until the request starts (seconds).
        """
        if self._running < self._max_running and not self._waiting:
            return 0.0
        ahead = sum(
            len(queue)
            for other_priority, flows in self._flows_by_priority.items()
            if other_priority > priority
            for queue in flows.values()
        )
        flows = self._flows_by_priority.get(priority, {})
        own = len(flows.get(customer, ()))
        ahead += own
        # Round-robin: before this request has its turn, each other customer
        # has at most one turn more than the waiting requests of this one.
        ahead += sum(
            min(len(queue), own + 1)
            for other_customer, queue in flows.items()
            if other_customer != customer
        )
        return (ahead + 1) * self._mean_service_time / self._max_running

    def offer(self, request, now):
        """Start, enqueue or shed a request that arrives.

        A request is shed at once if its expected wait exceeds the maximum
        or the time left until its deadline.

        Parameters
        ----------
        request : QueuedRequest
            Request that arrives.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        list of Start, Enqueue or Shed
            Decision on the request, and on the one that it displaces from a
            full queue.
        """
        if self._running < self._max_running and not self._waiting:
            self._running += 1
            return [Start(request)]
        wait = self.estimate_wait(request.customer, request.priority)
        allowed = min(self._max_wait, request.deadline - now)
        if wait > allowed:
            return [self._make_shed(request, wait - allowed)]
        self._push(request)
        decisions = [Enqueue(request)]
        if self._waiting > self._max_waiting:
            victim = self._choose_victim()
            self.cancel(victim)
            shed = self._make_shed(victim, self._estimate_time_to_empty())
            decisions = [shed] if victim is request else [*decisions, shed]
        return decisions

    def finish(self, started_at, now):
        """Record the end of a request that ran.

        Parameters
        ----------
        started_at : float
            Monotonic time at which the request started (seconds).
        now : float
            Monotonic time (seconds).

        Returns
        -------
        list of Start or Shed
            Decisions on the waiting requests: those that start in its
            place, and those found to have waited too long.
        """
        self._running -= 1
        service_time = now - started_at
        self._mean_service_time += SERVICE_TIME_SMOOTHING * (
            service_time - self._mean_service_time
        )
        return self._start_waiting(now)

    def expire(self, now):
        """Shed the requests that have waited too long.

        Parameters
        ----------
        now : float
            Monotonic time (seconds).

        Returns
        -------
        list of Shed
            Decisions on the requests that are past their latest start.
        """
        expired = [
            request
            for flows in self._flows_by_priority.values()
            for queue in flows.values()
            for request in queue
            if now >= self.latest_start(request)
        ]
        for request in expired:
            self.cancel(request)
        return [
            self._make_shed(request, self._estimate_time_to_empty())
            for request in expired
        ]

    def cancel(self, request):
        """Remove a waiting request.

        Parameters
        ----------
        request : QueuedRequest
            Request to remove.

        Returns
        -------
        bool
            Whether the request was waiting.
        """
        queue = self._flows_by_priority.get(request.priority, {}).get(
            request.customer
        )
        if queue is None or request not in queue:
            return False
        queue.remove(request)
        self._waiting -= 1
        self._remove_if_empty(request.priority, request.customer)
        return True

    def latest_start(self, request):
        """Return the time at which a request is shed if it still waits.

        Parameters
        ----------
        request : QueuedRequest
            Waiting request.

        Returns
        -------
        float
            Monotonic time (seconds).
        """
        return min(request.deadline, request.arrived_at + self._max_wait)

    def _estimate_time_to_empty(self):
        """Return the time until a request behind all waiting ones starts."""
        return (
            (self._waiting + 1) * self._mean_service_time / self._max_running
        )

    def _make_shed(self, request, retry_after):
        return Shed(request, max(MIN_RETRY_AFTER, retry_after))

    def _push(self, request):
        flows = self._flows_by_priority.setdefault(request.priority, {})
        queue = flows.setdefault(request.customer, collections.deque())
        queue.append(request)
        self._waiting += 1

    def _pop(self):
        """Remove the next request and move its customer to the end."""
        priority = max(self._flows_by_priority)
        flows = self._flows_by_priority[priority]
        customer = next(iter(flows))
        queue = flows.pop(customer)
        request = queue.popleft()
        if queue:
            flows[customer] = queue
        elif not flows:
            del self._flows_by_priority[priority]
        self._waiting -= 1
        return request

    def _remove_if_empty(self, priority, customer):
        flows = self._flows_by_priority[priority]
        if not flows[customer]:
            del flows[customer]
        if not flows:
            del self._flows_by_priority[priority]

    def _choose_victim(self):
        flows = self._flows_by_priority[min(self._flows_by_priority)]
        return max(flows.values(), key=len)[-1]

    def _start_waiting(self, now):
        """Start waiting requests until the running ones are at the maximum."""
        decisions = []
        while self._waiting and self._running < self._max_running:
            request = self._pop()
            if now >= self.latest_start(request):
                decisions.append(
                    self._make_shed(request, self._estimate_time_to_empty())
                )
                continue
            self._running += 1
            decisions.append(Start(request))
        return decisions
