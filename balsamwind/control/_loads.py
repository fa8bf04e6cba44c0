"""Queue of the loads that need the weight store.

The weight store grants a few loads a second. A node asks for one load at a
time, always for the one that restores most, and asks again only when the
store said so.
"""

import asyncio

from balsamwind import exceptions

OFFER_AGE = 5.0
"""Age at which an order that no round repeats is dropped (seconds)."""

LONGEST_WAIT = 60.0
"""Longest wait before the store is asked again (seconds)."""

SHORTEST_WAIT = 0.05
"""Shortest wait before the store is asked again (seconds)."""


class LoadQueue:
    """Orders that wait for the weight store, most urgent first.

    Parameters
    ----------
    catalogue : balsamwind.catalogue.Catalogue
        Groups and contracts, for the urgency.
    """

    __slots__ = ('_catalogue', '_offers', '_ranked', 'not_before')

    def __init__(self, catalogue):
        self._catalogue = catalogue
        self._offers = {}
        self._ranked = []
        self.not_before = 0.0

    def __len__(self):
        return len(self._offers)

    def offer(self, target, decision, keeper, now):
        """Add an order, or note that it is still wanted."""
        if target not in self._offers:
            self._ranked = None
        self._offers[target] = (decision, keeper, now)

    def wait(self, seconds, now):
        """Note that the store is to be asked again in `seconds`."""
        seconds = min(max(seconds, SHORTEST_WAIT), LONGEST_WAIT)
        self.not_before = now + seconds

    def next(self, now):
        """Most urgent order; ``(target, decision, keeper)`` or None.

        Urgent is the contract with the higher priority, then the group that
        fewer loads make whole; loads ahead come last.
        """
        if now < self.not_before:
            return None
        if self._ranked is None:
            self._ranked = self._rank()
        while self._ranked:
            target = self._ranked[-1]
            if self._is_wanted(target, now):
                decision, keeper, _ = self._offers[target]
                return target, decision, keeper
            self._ranked.pop()
            self._offers.pop(target, None)
        return None

    def _rank(self):
        """Targets, the most urgent last.

        Giving an order makes the rest of its group more urgent still, so
        the ranking holds until there is a new order.
        """
        missing = self._count_missing()
        return sorted(
            self._offers,
            key=lambda target: self._urgency(target, missing),
            reverse=True,
        )

    def _is_wanted(self, target, now):
        if target not in self._offers:
            return False
        decision, keeper, offered = self._offers[target]
        if now - offered > OFFER_AGE or not keeper.holds(now):
            return False
        return self._is_current(decision)

    def _is_current(self, decision):
        """Whether the VM is still to load this, as far as is known."""
        order = decision.order
        group = self._catalogue.value('group', order.group)
        if group is None:
            return self._catalogue.get('claim', decision.vm) is None
        same = group.generation == order.generation
        return same and decision.vm in group.vms

    def done(self, target):
        """Remove an order that was given or refused."""
        self._offers.pop(target, None)

    def _count_missing(self):
        missing = {}
        for decision, _, _ in self._offers.values():
            group = decision.order.group
            missing[group] = missing.get(group, 0) + 1
        return missing

    def _urgency(self, target, missing):
        decision = self._offers[target][0]
        order = decision.order
        group = self._catalogue.value('group', order.group)
        if group is None:
            return 1, 0, order.group, decision.vm
        contract = self._catalogue.value('contract', group.contract)
        priority = 0 if contract is None else contract.priority
        return -priority, missing[order.group], order.group, decision.vm


class LoadPump:
    """Gives the orders of a queue, one ticket at a time.

    Parameters
    ----------
    queue : LoadQueue
        Orders that wait.
    weights : balsamwind.ports.WeightStore
        The weight store.
    clock : balsamwind.ports.Clock
        Source of time.
    give : callable
        Called with target, decision and keeper; starts giving the order.
    on_error : callable
        Called with an error of the weight store; the pump stops until the
        next round.
    """

    __slots__ = ('_clock', '_give', '_on_error', '_queue', '_task', '_weights')

    def __init__(self, queue, weights, clock, give, on_error):
        self._queue = queue
        self._weights = weights
        self._clock = clock
        self._give = give
        self._on_error = on_error
        self._task = None

    def start(self):
        """Work the queue off, if nothing does so yet."""
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run())

    async def close(self):
        """Stop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self):
        while True:
            now = self._clock.monotonic()
            chosen = self._queue.next(now)
            if chosen is None:
                return
            target, decision, keeper = chosen
            try:
                wait = await self._weights.take_ticket(
                    decision.order.model, decision.order.version
                )
            except exceptions.BalsamwindError as error:
                self._queue.wait(1.0, self._clock.monotonic())
                self._on_error(error)
                return
            now = self._clock.monotonic()
            if wait:
                self._queue.wait(wait, now)
                return
            self._queue.done(target)
            self._give(target, decision, keeper)
