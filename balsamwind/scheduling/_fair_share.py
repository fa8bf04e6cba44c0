"""Weighted fair queueing of waiting tickets by client account."""

import heapq

import sortedcontainers

MAX_EXAMINED_FLOWS = 64
"""Flows up to which a prediction considers each (count).

Beyond it, all others are taken together, which takes constant time and
predicts too long a wait when only some of them have much work.
"""


class Flow:
    """Waiting tickets of one account in one class.

    Parameters
    ----------
    fair_queue : FairQueue
        Class that it is part of.
    account : str
        Client account.
    number : int
        Unique number, which orders flows of the same virtual time.

    Attributes
    ----------
    entries : sortedcontainers.SortedList
        Orders of the waiting entries.
    work : float
        Work of all of them (seconds of slot time).
    start : float
        Virtual time at which the next ticket starts.
    weight : float
        Weight of the account when it was last charged or began to wait.
    is_scheduled : bool
        Whether it is in the heap of the class.
    """

    __slots__ = (
        'account',
        'entries',
        'fair_queue',
        'is_scheduled',
        'number',
        'start',
        'weight',
        'work',
    )

    def __init__(self, fair_queue, account, number):
        self.fair_queue = fair_queue
        self.account = account
        self.number = number
        self.entries = sortedcontainers.SortedList()
        self.work = 0.0
        self.start = 0.0
        self.weight = 0.0
        self.is_scheduled = False

    def find_work_before(self, order):
        """Return the work of the tickets that precede one.

        Parameters
        ----------
        order : tuple
            Order of the ticket, see `Entry`.

        Returns
        -------
        float
            The mean work times the number of tickets that precede it
            (seconds of slot time).
        """
        count = len(self.entries)
        if not count:
            return 0.0
        return self.work * self.entries.bisect_left(order) / count


class FairQueue:
    """Waiting tickets of one class, in the order of start-time fair queueing.

    Parameters
    ----------
    demand : RecentWork
        Work recently asked for, by account.

    Attributes
    ----------
    waiting : dict of str to Flow
        Flows with waiting tickets, by account.
    work : float
        Work of all waiting tickets (seconds of slot time).

    Notes
    -----
    The virtual time is that of the flow whose ticket started last. A flow
    that has nothing waiting saves no share for later; a flow that is served
    w of work moves on by w divided by its weight.
    """

    __slots__ = (
        '_demand',
        '_flows',
        '_heap',
        '_latest',
        '_virtual_time',
        'waiting',
        'work',
    )

    def __init__(self, demand):
        self._demand = demand
        self._flows = {}
        self.waiting = {}
        self._heap = []
        self._virtual_time = 0.0
        self._latest = 0.0
        self.work = 0.0

    def __bool__(self):
        return bool(self.waiting)

    def add(self, entry):
        """Add an entry.

        Parameters
        ----------
        entry : Entry
            Entry that waits in no class.
        """
        account = entry.ticket.account
        flow = self.waiting.get(account) or self._start_flow(account)
        flow.entries.add(entry.order)
        flow.work += entry.ticket.work
        self.work += entry.ticket.work
        entry.flow = flow

    def remove(self, entry):
        """Remove an entry of this class.

        Parameters
        ----------
        entry : Entry
            Entry that waits here.
        """
        flow = entry.flow
        entry.flow = None
        entries = flow.entries
        if entries[0] is entry.order:
            del entries[0]
        else:
            entries.remove(entry.order)
        flow.work -= entry.ticket.work
        self.work -= entry.ticket.work
        if not entries:
            flow.work = 0.0
            del self.waiting[flow.account]
            if not self.waiting:
                self.work = 0.0

    def peek(self):
        """Return the entry that is next.

        Returns
        -------
        Entry
            There must be one.
        """
        heap = self._heap
        while True:
            start, _, flow = heap[0]
            if not flow.entries:
                heapq.heappop(heap)
                flow.is_scheduled = False
            elif start < flow.start:
                heapq.heapreplace(heap, (flow.start, flow.number, flow))
            else:
                return flow.entries[0][3]

    def charge(self, account, work):
        """Record work that was started for an account.

        Parameters
        ----------
        account : str
            Client account.
        work : float
            Work (seconds of slot time).
        """
        flow = self._flows.get(account)
        if flow is None:
            return
        start = max(flow.start, self._virtual_time)
        flow.weight = self._demand.find_weight(account)
        flow.start = start + work / flow.weight
        self._latest = max(self._latest, flow.start)

    def take(self, entry):
        """Remove the entry that is next, and charge its work.

        Parameters
        ----------
        entry : Entry
            Result of `peek`.
        """
        self._virtual_time = max(self._virtual_time, entry.flow.start)
        account = entry.ticket.account
        self.remove(entry)
        self.charge(account, entry.ticket.work)
        if not self.waiting:
            self._end_busy_period()

    def find_last(self, account):
        """Return the entry of an account that is last in its order.

        Parameters
        ----------
        account : str
            Client account.

        Returns
        -------
        Entry or None
        """
        flow = self.waiting.get(account)
        return None if flow is None else flow.entries[-1][3]

    def find_work_ahead(self, entry):
        """Predict the work of this class that starts before a ticket.

        Parameters
        ----------
        entry : Entry
            Entry that waits here, or is only asked about.

        Returns
        -------
        float
            Work (seconds of slot time).
        """
        account = entry.ticket.account
        own = lead = 0.0
        flow = self._flows.get(account)
        if flow is not None:
            own = flow.find_work_before(entry.order)
            lead = max(0.0, flow.start - self._virtual_time)
        others = self.work - (flow.work if flow else 0.0)
        if others <= 0.0:
            return own
        weight = self._demand.find_weight(account)
        span = lead + own / weight
        if len(self.waiting) > MAX_EXAMINED_FLOWS:
            return own + min(others, span * (1.0 - weight))
        return own + self._find_work_within(span, flow)

    def _find_work_within(self, span, excluded):
        """Return the work that other flows start in a span of virtual time."""
        total = 0.0
        end = self._virtual_time + span
        for flow in self.waiting.values():
            lead = end - flow.start
            if lead > 0.0 and flow is not excluded:
                share = lead * flow.weight
                work = flow.work
                total += share if share < work else work
        return total

    def _start_flow(self, account):
        flow = self._flows.get(account)
        if flow is None:
            flow = Flow(self, account, len(self._flows))
            self._flows[account] = flow
        flow.start = max(flow.start, self._virtual_time)
        flow.weight = self._demand.find_weight(account)
        self.waiting[account] = flow
        if not flow.is_scheduled:
            flow.is_scheduled = True
            heapq.heappush(self._heap, (flow.start, flow.number, flow))
        return flow

    def _end_busy_period(self):
        """Forget who was served more while tickets waited."""
        self._virtual_time = self._latest
        self._flows.clear()
        self._heap.clear()
