"""Execution of the decisions of the control path."""

import asyncio

from balsamwind.control import _decisions
from balsamwind.control import _loads
from balsamwind import exceptions
from balsamwind import objects

MAX_CONCURRENT_DECISIONS = 16
"""Writes and orders executed concurrently at most (count)."""


MAX_ORDER_INTERVALS = 4096
"""Order intervals kept before the expired ones are dropped (count)."""


class Executor:
    """Writes objects and sends orders while the lease is held.

    Parameters
    ----------
    store : balsamwind.ports.ObjectStore
        Object API of the platform.
    engine : balsamwind.ports.Engine
        Client of the model engines.
    weights : balsamwind.ports.WeightStore
        Weight store, which grants the tickets for loads.
    catalogue : balsamwind.catalogue.ObjectCache
        Cache of the objects; updated with the result of every write.
    clock : balsamwind.ports.Clock
        Source of monotonic time.
    settings : balsamwind.settings.ControlSettings
        Time-out of orders, and time until an order is repeated.
    log : structlog.BoundLogger
        Logger of orders and failures.
    """

    __slots__ = (
        '_catalogue',
        '_clock',
        '_dispatcher',
        '_engine',
        '_in_progress',
        '_load_queue',
        '_log',
        '_next_order_at',
        '_semaphore',
        '_settings',
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
        self._in_progress = set()
        self._next_order_at = {}
        self._semaphore = asyncio.Semaphore(MAX_CONCURRENT_DECISIONS)
        self._tasks = set()
        self._load_queue = _loads.LoadQueue(catalogue)
        self._dispatcher = _loads.LoadDispatcher(
            self._load_queue,
            weights,
            clock,
            self._spawn,
            self._log_weight_store_error,
        )

    def start(self, decisions, manager):
        """Start the execution of decisions without waiting for it.

        A decision is skipped while another one for the same target is in
        progress, and an order also until its order interval has passed.
        Orders that need a ticket are queued for the weight store.

        Parameters
        ----------
        decisions : iterable of PutObject, DeleteObject or SendOrder
            Decisions of one round.
        manager : LeaseManager
            Manager of the lease under which the decisions were made; they
            are dropped when the lease is no longer held.
        """
        for decision in decisions:
            target = _make_target(decision)
            if target in self._in_progress:
                continue
            if self._next_order_at.get(target, 0.0) > self._clock.monotonic():
                continue
            if getattr(decision, 'needs_ticket', False):
                now = self._clock.monotonic()
                self._load_queue.add(target, decision, manager, now)
                continue
            self._spawn(target, decision, manager)
        self._dispatcher.start()

    def _spawn(self, target, decision, manager):
        self._in_progress.add(target)
        task = asyncio.ensure_future(self._execute(decision, target, manager))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self):
        """Cancel everything that is in progress."""
        await self._dispatcher.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _execute(self, decision, target, manager):
        try:
            async with self._semaphore:
                if not manager.holds(self._clock.monotonic()):
                    return
                match decision:
                    case _decisions.PutObject():
                        await self.put(decision)
                    case _decisions.DeleteObject():
                        await self._delete(decision)
                    case _decisions.SendOrder():
                        await self._send_order(decision, target, manager)
        except exceptions.BalsamwindError as error:
            self._log.warning(
                'decision_failed', target=target, error=str(error)
            )
        finally:
            self._in_progress.discard(target)

    def _log_weight_store_error(self, error):
        self._log.warning('weight_store_failed', error=str(error))

    async def put(self, decision):
        """Write an object; after a lost response, read it back.

        Parameters
        ----------
        decision : PutObject
            The write.

        Returns
        -------
        balsamwind.objects.ObjectVersion or None
            The written object; None if the store holds another value.
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
        self._apply_result(decision, stored)
        is_own_write = stored is not None and stored.value == decision.value
        return stored if is_own_write else None

    async def _delete(self, decision):
        try:
            stored = await self._store.delete(
                decision.kind, decision.name, decision.expected
            )
        except exceptions.Conflict as conflict:
            stored = conflict.current
        except exceptions.StoreError:
            stored = await self._store.get(decision.kind, decision.name)
        self._apply_result(decision, stored)

    def _apply_result(self, decision, stored):
        """Update the catalogue with the state of the object in the store.

        An object that no longer exists was deleted after the expected
        revision, so the deletion is recorded with the next revision. If the
        object has been created again since, its revision is larger, and the
        catalogue keeps it.

        Parameters
        ----------
        decision : PutObject or DeleteObject
            The write.
        stored : balsamwind.objects.ObjectVersion or None
            Object that the store holds; None if there is none.
        """
        if stored is None:
            if not decision.expected:
                return
            stored = objects.ObjectVersion(
                decision.kind, decision.name, decision.expected + 1, None
            )
        self._catalogue.apply(stored, self._clock.monotonic())

    async def _send_order(self, decision, target, manager):
        now = self._clock.monotonic()
        if not manager.holds(now):
            return
        self._drop_expired_intervals(now)
        self._next_order_at[target] = now + self._settings.order_interval
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

    def _drop_expired_intervals(self, now):
        """Drop expired order intervals once too many are kept."""
        if len(self._next_order_at) > MAX_ORDER_INTERVALS:
            self._next_order_at = {
                target: time
                for target, time in self._next_order_at.items()
                if time > now
            }


def _make_target(decision):
    match decision:
        case _decisions.SendOrder(vm=vm, order=order):
            return ('order', vm, order.kind, order.group, order.generation)
        case _:
            return (decision.kind, decision.name)
