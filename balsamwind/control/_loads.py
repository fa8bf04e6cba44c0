"""Priority queue of the load orders that need the weight store.

The weight store grants only a few loads per second. A node requests one
ticket at a time, always for the most urgent load, and does not request another
one before the time that the store has named.
"""

import asyncio

from balsamwind import exceptions

MAX_ORDER_AGE = 5.0
"""Age at which an order is dropped unless a round repeats it (seconds)."""

MAX_TICKET_WAIT = 60.0
"""Longest wait before the next ticket request (seconds)."""

MIN_TICKET_WAIT = 0.05
"""Shortest wait before the next ticket request (seconds)."""


class LoadQueue:
    """Load orders that wait for the weight store, most urgent first.

    Parameters
    ----------
    catalogue : balsamwind.catalogue.ObjectCache
        Cache of the groups, contracts and claims, which determine the
        urgency of an order and whether it is still valid.
    """

    __slots__ = (
        '_catalogue',
        '_entries',
        '_ranked',
        'next_request_at',
    )

    def __init__(self, catalogue):
        self._catalogue = catalogue
        self._entries = {}
        self._ranked = []
        self.next_request_at = 0.0

    def __len__(self):
        return len(self._entries)

    def add(self, target, decision, manager, now):
        """Add an order, or refresh its age if it is queued already.

        Parameters
        ----------
        target : hashable
            Identity of the order.
        decision : SendOrder
            The order.
        manager : LeaseManager
            Manager of the lease under which the order was decided.
        now : float
            Monotonic time (seconds).
        """
        if target not in self._entries:
            self._ranked = None
        self._entries[target] = (decision, manager, now)

    def defer(self, seconds, now):
        """Return no order for some time.

        Parameters
        ----------
        seconds : float
            Time until the next ticket request (seconds), limited to between
            `MIN_TICKET_WAIT` and `MAX_TICKET_WAIT`.
        now : float
            Monotonic time (seconds).
        """
        seconds = min(max(seconds, MIN_TICKET_WAIT), MAX_TICKET_WAIT)
        self.next_request_at = now + seconds

    def peek(self, now):
        """Return the most urgent valid order without removing it.

        Orders are sorted by the priority of the contract, highest first, then
        by the number of queued orders of the group, fewest first, so that
        groups become complete sooner. Preloads come last.

        Parameters
        ----------
        now : float
            Monotonic time (seconds).

        Returns
        -------
        (target, decision, manager) or None
            As passed to `add`; None if no order is due.
        """
        if now < self.next_request_at:
            return None
        if self._ranked is None:
            self._ranked = self._rank()
        while self._ranked:
            target = self._ranked[-1]
            if self._is_valid(target, now):
                decision, manager, _ = self._entries[target]
                return target, decision, manager
            self._ranked.pop()
            self._entries.pop(target, None)
        return None

    def _rank(self):
        """Return the targets, the most urgent one last.

        Sending an order makes the remaining orders of its group only more
        urgent, so the ranking stays valid until a new order is added.
        """
        queued = self._count_queued_loads()
        return sorted(
            self._entries,
            key=lambda target: self._sort_key(target, queued),
            reverse=True,
        )

    def _is_valid(self, target, now):
        if target not in self._entries:
            return False
        decision, manager, offered_at = self._entries[target]
        if now - offered_at > MAX_ORDER_AGE or not manager.holds(now):
            return False
        return self._is_current(decision)

    def _is_current(self, decision):
        """Whether the VM is still to load these weights.

        A preload is valid while the VM is unclaimed. Any other order is valid
        while the group has the same generation and contains the VM.
        """
        order = decision.order
        group = self._catalogue.get_value('group', order.group)
        if group is None:
            return self._catalogue.get('claim', decision.vm) is None
        same_generation = group.generation == order.generation
        return same_generation and decision.vm in group.vms

    def remove(self, target):
        """Remove an order that was sent or refused.

        Parameters
        ----------
        target : hashable
            Identity of the order, as passed to `add`.
        """
        self._entries.pop(target, None)

    def _count_queued_loads(self):
        queued = {}
        for decision, _, _ in self._entries.values():
            group = decision.order.group
            queued[group] = queued.get(group, 0) + 1
        return queued

    def _sort_key(self, target, queued):
        decision = self._entries[target][0]
        order = decision.order
        group = self._catalogue.get_value('group', order.group)
        if group is None:
            return 1, 0, order.group, decision.vm
        contract = self._catalogue.get_value('contract', group.contract)
        priority = 0 if contract is None else contract.priority
        return -priority, queued[order.group], order.group, decision.vm


class LoadDispatcher:
    """Sends the orders of a queue, requesting one ticket at a time.

    Parameters
    ----------
    queue : LoadQueue
        Orders to send.
    weights : balsamwind.ports.WeightStore
        Weight store that grants the tickets.
    clock : balsamwind.ports.Clock
        Source of monotonic time.
    send : callable
        Called with the target, decision and manager of an order; starts
        sending it.
    on_error : callable
        Called with an error of the weight store. The dispatcher then stops
        until it is started again by the next round.
    """

    __slots__ = (
        '_clock',
        '_on_error',
        '_queue',
        '_send',
        '_task',
        '_weights',
    )

    def __init__(self, queue, weights, clock, send, on_error):
        self._queue = queue
        self._weights = weights
        self._clock = clock
        self._send = send
        self._on_error = on_error
        self._task = None

    def start(self):
        """Start dispatching, unless it is running already."""
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run())

    async def close(self):
        """Stop dispatching."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self):
        while True:
            now = self._clock.monotonic()
            chosen = self._queue.peek(now)
            if chosen is None:
                return
            target, decision, manager = chosen
            try:
                wait = await self._weights.take_ticket(
                    decision.order.model, decision.order.version
                )
            except exceptions.BalsamwindError as error:
                self._queue.defer(1.0, self._clock.monotonic())
                self._on_error(error)
                return
            now = self._clock.monotonic()
            if wait:
                self._queue.defer(wait, now)
                return
            self._queue.remove(target)
            self._send(target, decision, manager)
