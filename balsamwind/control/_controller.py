"""Rounds of the control path on one node."""

import asyncio

from balsamwind.control import _allocation
from balsamwind.control import _decisions
from balsamwind.control import _groups
from balsamwind.control import _lease
from balsamwind import exceptions

FLEET_SHARD = 'fleet'
"""Shard whose holder splits contracts over data centres."""


HAND_BACK_AFTER = 2.0
"""Durations for which a node leads a shard of another data centre before it
may hand it back."""


def make_keepers(settings, data_centres, rng):
    """Build the lease keepers of a node, one for each shard."""
    control = settings.control
    keepers = {}
    for shard in (FLEET_SHARD, *data_centres):
        wait = rng.uniform(0.0, control.lease_margin)
        if shard not in (FLEET_SHARD, settings.node.data_centre):
            wait += control.lease_duration * _lease.FOREIGN_WAIT
        keepers[shard] = _lease.LeaseKeeper(
            shard,
            settings.node.name,
            control.lease_duration,
            control.lease_margin,
            wait,
        )
    return keepers


def _may_plan(keeper, view):
    """Whether a holder knows enough to act.

    It must have followed the store up to its own write of the lease: all
    that earlier holders wrote comes before that.
    """
    known = view.catalogue
    if known.restored or known.revision < keeper.revision:
        return False
    return keeper.holds(view.now)


class Controller:
    """Holds leases and runs a round for each shard held.

    Parameters
    ----------
    make_view : callable
        Builds the `View` of this moment.
    executor : Executor
        Carries out decisions.
    settings : balsamwind.settings.Settings
        Settings of the node.
    rng : random.Random
        Source of jitter.
    has_candidate : callable
        Data centre -> whether another node there could lead its shard.
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
        """Shard -> fencing number, of the leases held at `now`."""
        return {
            shard: keeper.fencing
            for shard, keeper in self._keepers.items()
            if keeper.holds(now)
        }

    async def run_round(self):
        """Renew or take leases, then plan and start the shards held."""
        view = self._make_view()
        self._add_keepers(view)
        await asyncio.gather(*map(self._keep, self._keepers.values()))
        for keeper in self._keepers.values():
            if self._is_better_elsewhere(keeper):
                await self._release(keeper)
        for keeper in self._keepers.values():
            view = self._make_view()
            if _may_plan(keeper, view):
                decisions = self._plan(keeper, view)
                self._executor.start(decisions, keeper)

    def _is_better_elsewhere(self, keeper):
        """Whether a node in the shard's own data centre should lead it."""
        if keeper.shard in (FLEET_SHARD, self._settings.node.data_centre):
            return False
        held = keeper.held_for(self._make_view().now)
        if held < HAND_BACK_AFTER * self._settings.control.lease_duration:
            return False
        return self._has_candidate(keeper.shard)

    def _plan(self, keeper, view):
        if keeper.shard == FLEET_SHARD:
            return _allocation.plan_allocations(view, keeper.fencing)
        decisions = _groups.plan_groups(view, keeper.shard, keeper.fencing)
        control = self._settings.control
        if control.engines_check_fencing:
            return decisions
        if keeper.may_order(view.now, control.order_timeout):
            return decisions
        return [
            decision
            for decision in decisions
            if not isinstance(decision, _decisions.SendOrder)
        ]

    def _add_keepers(self, view):
        known = {row.data_centre for row in view.listed.values()}
        missing = sorted(known - set(self._keepers))
        if missing or FLEET_SHARD not in self._keepers:
            made = make_keepers(self._settings, missing, self._rng)
            self._keepers = {**made, **self._keepers}

    async def _keep(self, keeper):
        view = self._make_view()
        stored = view.catalogue.get('lease', keeper.shard)
        age = 0.0 if stored is None else view.catalogue.age(stored, view.now)
        write = keeper.plan(stored, age, view.now, view.operation())
        if write is not None:
            await self._write(keeper, write, view.now)

    async def _write(self, keeper, write, sent_at):
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
        """Spread the tries of all nodes over one lease, after an outage."""
        duration = self._settings.control.lease_duration
        wait = self._rng.uniform(0.0, duration)
        if keeper.shard not in (FLEET_SHARD, self._settings.node.data_centre):
            wait += duration
        keeper.back_off(self._make_view().now + wait)

    async def release(self):
        """Give all leases back."""
        for keeper in self._keepers.values():
            await self._release(keeper)

    async def _release(self, keeper):
        view = self._make_view()
        stored = view.catalogue.get('lease', keeper.shard)
        write = keeper.plan_release(stored, view.operation())
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
