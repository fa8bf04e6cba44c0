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


def make_keepers(settings, data_centres, rng):
    """Build one lease keeper for each shard.

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
    dict of str to LeaseKeeper
        Shard -> keeper.
    """
    control = settings.control
    keepers = {}
    for shard in (FLEET_SHARD, *data_centres):
        wait = rng.uniform(0.0, control.lease_margin)
        if shard not in (FLEET_SHARD, settings.node.data_centre):
            wait += control.lease_duration * _lease.REMOTE_WAIT
        keepers[shard] = _lease.LeaseKeeper(
            shard,
            settings.node.name,
            control.lease_duration,
            control.lease_margin,
            wait,
        )
    return keepers


def _may_plan(keeper, view):
    """Whether the lease is held and the cached objects are recent enough.

    The cache must include this node's own write that acquired the lease:
    everything that earlier holders wrote precedes that write.
    """
    catalogue = view.catalogue
    if catalogue.restored or catalogue.revision < keeper.revision:
        return False
    return keeper.holds(view.now)


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
        '_keepers',
        '_make_view',
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
        self._keepers = {}

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
            shard: keeper.fencing
            for shard, keeper in self._keepers.items()
            if keeper.holds(now)
        }

    async def run_round(self):
        """Renew or acquire leases, then run one round for each shard held."""
        view = self._make_view()
        self._add_missing_keepers(view)
        await asyncio.gather(
            *map(self._renew_or_acquire, self._keepers.values())
        )
        for keeper in self._keepers.values():
            if self._should_hand_over(keeper):
                await self._release(keeper)
        for keeper in self._keepers.values():
            view = self._make_view()
            if _may_plan(keeper, view):
                decisions = self._plan(keeper, view)
                self._executor.start(decisions, keeper)

    def _should_hand_over(self, keeper):
        """Whether to release a lease to a node in the shard's data centre.

        False until this node has held the lease for `MIN_REMOTE_HOLD`.
        """
        if keeper.shard in (FLEET_SHARD, self._settings.node.data_centre):
            return False
        held = keeper.held_for(self._make_view().now)
        if held < MIN_REMOTE_HOLD * self._settings.control.lease_duration:
            return False
        return self._has_candidate(keeper.shard)

    def _plan(self, keeper, view):
        if keeper.shard == FLEET_SHARD:
            return _allocation.plan_allocations(view, keeper.fencing)
        decisions = _groups.plan_groups(view, keeper.shard, keeper.fencing)
        control = self._settings.control
        if control.engines_check_fencing:
            return decisions
        if keeper.may_send_orders(view.now, control.order_timeout):
            return decisions
        return [
            decision
            for decision in decisions
            if not isinstance(decision, _decisions.SendOrder)
        ]

    def _add_missing_keepers(self, view):
        data_centres = {row.data_centre for row in view.listed.values()}
        missing = sorted(data_centres - set(self._keepers))
        if missing or FLEET_SHARD not in self._keepers:
            added = make_keepers(self._settings, missing, self._rng)
            self._keepers = {**added, **self._keepers}

    async def _renew_or_acquire(self, keeper):
        view = self._make_view()
        stored = view.catalogue.get('lease', keeper.shard)
        age = 0.0 if stored is None else view.catalogue.age(stored, view.now)
        write = keeper.plan(stored, age, view.now, view.new_operation_id())
        if write is not None:
            await self._write_lease(keeper, write, view.now)

    async def _write_lease(self, keeper, write, sent_at):
        decision = _decisions.PutObject(
            'lease', keeper.shard, write.value, write.expected
        )
        try:
            stored = await self._executor.put(decision)
        except exceptions.BalsamwindError:
            self._back_off(keeper)
            return
        if stored is None:
            keeper.lose()
        else:
            keeper.accept(write.value, sent_at, stored.revision)

    def _back_off(self, keeper):
        """Delay the next attempt by a random time after a failed write.

        After an outage of the store, this spreads the attempts of all nodes
        over one lease duration. Nodes of other data centres wait for one
        more duration.
        """
        duration = self._settings.control.lease_duration
        wait = self._rng.uniform(0.0, duration)
        if keeper.shard not in (FLEET_SHARD, self._settings.node.data_centre):
            wait += duration
        keeper.back_off(self._make_view().now + wait)

    async def release(self):
        """Release all leases held by this node."""
        for keeper in self._keepers.values():
            await self._release(keeper)

    async def _release(self, keeper):
        view = self._make_view()
        stored = view.catalogue.get('lease', keeper.shard)
        write = keeper.plan_release(stored, view.new_operation_id())
        if write is not None:
            await self._write_release(keeper, write)

    async def _write_release(self, keeper, write):
        decision = _decisions.PutObject(
            'lease', keeper.shard, write.value, write.expected
        )
        try:
            await self._executor.put(decision)
        except exceptions.BalsamwindError:
            pass
        finally:
            keeper.lose()
