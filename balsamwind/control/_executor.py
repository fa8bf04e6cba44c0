"""Carries out the decisions of the control path."""

import asyncio

from balsamwind.control import _decisions
from balsamwind.control import _loads
from balsamwind import exceptions
from balsamwind import objects

WRITES_AT_ONCE = 16
"""Writes and orders under way at one time (count)."""


MAX_WAITS = 4096
"""Waits kept before those that are over are dropped (count)."""


class Executor:
    """Writes objects and gives orders, while the lease is held.

    Parameters
    ----------
    store : balsamwind.ports.ObjectStore
        The platform's object API.
    engine : balsamwind.ports.Engine
        Model engines.
    weights : balsamwind.ports.WeightStore
        The weight store.
    catalogue : balsamwind.catalogue.Catalogue
        Takes in the results of writes.
    clock : balsamwind.ports.Clock
        Source of time.
    settings : balsamwind.settings.ControlSettings
        Time-outs.
    log : structlog.BoundLogger
        Log.
    """

    __slots__ = (
        '_busy',
        '_catalogue',
        '_clock',
        '_engine',
        '_loads',
        '_log',
        '_not_before',
        '_pump',
        '_settings',
        '_slots',
        '_store',
        '_tasks',
    )

    def __init__(
        self, store, engine, weights, catalogue, clock, settings, log
    ):
        self._store = store
        self._engine = engine
        self._catalogue = catalogue
        self._clock = clock
        self._settings = settings
        self._log = log
        self._busy = set()
        self._not_before = {}
        self._slots = asyncio.Semaphore(WRITES_AT_ONCE)
        self._tasks = set()
        self._loads = _loads.LoadQueue(catalogue)
        self._pump = _loads.LoadPump(
            self._loads, weights, clock, self._spawn, self._note_weights
        )

    def start(self, decisions, keeper):
        """Start carrying out `decisions`; one at a time for each target."""
        for decision in decisions:
            target = _target(decision)
            if target in self._busy:
                continue
            if self._not_before.get(target, 0.0) > self._clock.monotonic():
                continue
            if getattr(decision, 'needs_ticket', False):
                now = self._clock.monotonic()
                self._loads.offer(target, decision, keeper, now)
                continue
            self._spawn(target, decision, keeper)
        self._pump.start()

    def _spawn(self, target, decision, keeper):
        self._busy.add(target)
        task = asyncio.ensure_future(self._carry_out(decision, target, keeper))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self):
        """Stop what is under way."""
        await self._pump.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _carry_out(self, decision, target, keeper):
        try:
            async with self._slots:
                if not keeper.holds(self._clock.monotonic()):
                    return
                match decision:
                    case _decisions.PutObject():
                        await self.put(decision)
                    case _decisions.DeleteObject():
                        await self._delete(decision)
                    case _decisions.SendOrder():
                        await self._order(decision, target, keeper)
        except exceptions.BalsamwindError as error:
            self._log.warning(
                'decision_failed', target=target, error=str(error)
            )
        finally:
            self._busy.discard(target)

    def _note_weights(self, error):
        self._log.warning('weight_store_failed', error=str(error))

    async def put(self, decision):
        """Write an object; a lost answer is resolved by reading back.

        Returns
        -------
        balsamwind.objects.Stored or None
            None if another write won.
        """
        kind, name = decision.kind, decision.name
        try:
            stored = await self._store.put(
                kind, name, decision.value, decision.expected
            )
        except exceptions.Conflict as conflict:
            stored = conflict.current
        except exceptions.StoreError:
            stored = await self._store.get(kind, name)
        self._take_in(decision, stored)
        same = stored is not None and stored.value == decision.value
        return stored if same else None

    async def _delete(self, decision):
        try:
            stored = await self._store.delete(
                decision.kind, decision.name, decision.expected
            )
        except exceptions.Conflict as conflict:
            stored = conflict.current
        except exceptions.StoreError:
            stored = await self._store.get(decision.kind, decision.name)
        self._take_in(decision, stored)

    def _take_in(self, decision, stored):
        """Take in what the store holds now; None says: no object.

        An object that is gone was deleted by a later write than the one
        expected; one that was made anew since has a larger revision yet.
        """
        if stored is None:
            if not decision.expected:
                return
            stored = objects.Stored(
                decision.kind, decision.name, decision.expected + 1, None
            )
        self._catalogue.apply(stored, self._clock.monotonic())

    async def _order(self, decision, target, keeper):
        now = self._clock.monotonic()
        if not keeper.holds(now):
            return
        self._forget(now)
        self._not_before[target] = now + self._settings.order_interval
        await self._engine.order(
            decision.address, decision.order, self._settings.order_timeout
        )
        self._log.info(
            'order_given',
            vm=decision.vm,
            order=decision.order.kind,
            group=decision.order.group,
            generation=decision.order.generation,
        )

    def _forget(self, now):
        """Drop the waits that are over."""
        if len(self._not_before) > MAX_WAITS:
            self._not_before = {
                target: time
                for target, time in self._not_before.items()
                if time > now
            }


def _target(decision):
    match decision:
        case _decisions.SendOrder(vm=vm, order=order):
            return ('order', vm, order.kind, order.group, order.generation)
        case _:
            return (decision.kind, decision.name)
