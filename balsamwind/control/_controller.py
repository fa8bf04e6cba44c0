"""Control loop of one node: hold leases, plan and execute rounds."""

import asyncio

from balsamwind.control import _allocation
from balsamwind.control import _decisions
from balsamwind.control import _groups
from balsamwind.control import _lease
from balsamwind import exceptions

FLEET_SHARD = 'fleet'
"""Shard whose lease holder allocates replicas to data centres."""


MIN_REMOTE_HOLD = 2.0
"""Shortest time for which a node holds the shard of another data centre before
it may hand it over (lease durations)."""


def make_lease_managers(settings, data_centres, rng):
    """Build one lease manager for each shard.

    A random part of the lease margin is added to the takeover delay, so that
    the nodes do not all try to take a lease at once. Shards of other data
    centres get a longer delay.

    Parameters
    ----------
    settings : balsamwind.settings.Settings
        Settings of the node.
    data_centres : iterable of str
        Names of the data centres, each of which is a shard. The fleet shard
        is always added.
    rng : random.Random
        Source of the random part of the delay.

    Returns
    -------
    dict of str to LeaseManager
        Shard -> manager.
    """
    control = settings.control
    managers = {}
    for shard in (FLEET_SHARD, *data_centres):
        wait = rng.uniform(0.0, control.lease_margin)
        if shard not in (FLEET_SHARD, settings.node.data_centre):
            wait += control.lease_duration * _lease.REMOTE_WAIT
        managers[shard] = _lease.LeaseManager(
            shard,
            settings.node.name,
            control.lease_duration,
            control.lease_margin,
            wait,
        )
    return managers


def _may_plan(manager, view):
    """Whether the lease is held and the cached objects are recent enough.

    The cache must include this node's own write that acquired the lease:
    everything that earlier holders wrote precedes that write.
    """
    catalogue = view.catalogue
    if catalogue.possibly_restored or catalogue.revision < manager.revision:
        return False
    return manager.holds(view.now)


class Controller:
    """Acquires and renews leases, and runs a round for each shard held.

    Parameters
    ----------
    make_view : callable
        Called without arguments; returns the current `View`.
    executor : Executor
        Executes the decisions.
    settings : balsamwind.settings.Settings
        Settings of the node.
    rng : random.Random
        Source of the jitter of delays.
    has_candidate : callable
        Maps the name of a data centre to whether another node there could
        hold the lease of its shard.
    """

    __slots__ = (
        '_executor',
        '_has_candidate',
        '_make_view',
        '_managers',
        '_rng',
        '_settings',
    )

    def __init__(
        self,
        make_view,
        executor,
        settings,
        rng,
        has_candidate=lambda data_centre: False,
    ):
        self._has_candidate = has_candidate
        self._make_view = make_view
        self._executor = executor
        self._settings = settings
        self._rng = rng
        self._managers = {}

    def shards_held(self, now):
        """Return the shards whose leases are held.

        Parameters
        ----------
        now : float
            Monotonic time (seconds).

        Returns
        -------
        dict of str to int
            Shard -> fencing number of its lease.
        """
        return {
            shard: manager.fencing
            for shard, manager in self._managers.items()
            if manager.holds(now)
        }

    async def run_round(self):
        """Renew or acquire leases, then run one round for each shard held."""
        view = self._make_view()
        self._add_missing_managers(view)
        await asyncio.gather(
            *map(self._renew_or_acquire, self._managers.values())
        )
        for manager in self._managers.values():
            if self._should_hand_over(manager):
                await self._release(manager)
        for manager in self._managers.values():
            view = self._make_view()
            if _may_plan(manager, view):
                decisions = self._plan(manager, view)
                self._executor.start(decisions, manager)

    def _should_hand_over(self, manager):
        """Whether to release a lease to a node in the shard's data centre.

        False until this node has held the lease for `MIN_REMOTE_HOLD`.
        """
        if manager.shard in (FLEET_SHARD, self._settings.node.data_centre):
            return False
        held = manager.held_for(self._make_view().now)
        if held < MIN_REMOTE_HOLD * self._settings.control.lease_duration:
            return False
        return self._has_candidate(manager.shard)

    def _plan(self, manager, view):
        if manager.shard == FLEET_SHARD:
            return _allocation.plan_allocations(view, manager.fencing)
        decisions = _groups.plan_groups(view, manager.shard, manager.fencing)
        control = self._settings.control
        if control.engines_check_fencing:
            return decisions
        if manager.may_send_orders(view.now, control.order_timeout):
            return decisions
        return [
            decision
            for decision in decisions
            if not isinstance(decision, _decisions.SendOrder)
        ]

    def _add_missing_managers(self, view):
        data_centres = {row.data_centre for row in view.listed.values()}
        missing = sorted(data_centres - set(self._managers))
        if missing or FLEET_SHARD not in self._managers:
            added = make_lease_managers(self._settings, missing, self._rng)
            self._managers = {**added, **self._managers}

    async def _renew_or_acquire(self, manager):
        view = self._make_view()
        stored = view.catalogue.get('lease', manager.shard)
        age = 0.0 if stored is None else view.catalogue.age(stored, view.now)
        write = manager.plan_write(
            stored, age, view.now, view.new_operation_id()
        )
        if write is not None:
            await self._write_lease(manager, write, view.now)

    async def _write_lease(self, manager, write, sent_at):
        decision = _decisions.PutObject(
            'lease', manager.shard, write.value, write.expected
        )
        try:
            stored = await self._executor.put(decision)
        except exceptions.BalsamwindError:
            self._back_off(manager)
            return
        if stored is None:
            manager.invalidate()
        else:
            manager.confirm_write(write.value, sent_at, stored.revision)

    def _back_off(self, manager):
        """Delay the next attempt by a random time after a failed write.

        After an outage of the store, this spreads the attempts of all nodes
        over one lease duration. Nodes of other data centres wait for one
        more duration.
        """
        duration = self._settings.control.lease_duration
        wait = self._rng.uniform(0.0, duration)
        if manager.shard not in (FLEET_SHARD, self._settings.node.data_centre):
            wait += duration
        manager.back_off(self._make_view().now + wait)

    async def release(self):
        """Release all leases held by this node."""
        for manager in self._managers.values():
            await self._release(manager)

    async def _release(self, manager):
        view = self._make_view()
        stored = view.catalogue.get('lease', manager.shard)
        write = manager.plan_release(stored, view.new_operation_id())
        if write is not None:
            await self._write_release(manager, write)

    async def _write_release(self, manager, write):
        decision = _decisions.PutObject(
            'lease', manager.shard, write.value, write.expected
        )
        try:
            await self._executor.put(decision)
        except exceptions.BalsamwindError:
            pass
        finally:
            manager.invalidate()
