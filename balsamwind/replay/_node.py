"""One node of a replay: the control path over ports in memory."""

import asyncio

from balsamwind import catalogue
from balsamwind import control
from balsamwind import exceptions
from balsamwind import membership
from balsamwind import objects
from balsamwind import peers

RETRY_DELAY = (0.3, 1.0)
"""Shortest and longest wait before the platform is asked again (seconds)."""


class NullLog:
    """Log that keeps nothing."""

    def info(self, event, **values):
        """Drop a line."""

    def warning(self, event, **values):
        """Drop a line."""


class ReplayNode:
    """Control path of one entry.

    Parameters
    ----------
    settings : balsamwind.settings.Settings
        Settings of the node.
    ports : object
        With `store`, `engines` and `clock`.
    network : Network
        Cuts and pauses.
    peers_of : callable
        Node -> the other nodes that it reaches now.
    rng : random.Random
        Source of names and jitter.
    """

    def __init__(self, settings, ports, network, peers_of, rng):
        self.settings = settings
        self.name = settings.node.name
        self.data_centre = settings.node.data_centre
        self.catalogue = catalogue.Catalogue()
        self.in_flight = {}
        self._ports = ports
        self._network = network
        self._peers_of = peers_of
        self._rng = rng
        stale_after = settings.observation.stale_after
        self.observations = membership.Observations(
            stale_after, lambda vm: self.groups.find_data_centre(vm)
        )
        self.groups = membership.GroupTable(self.catalogue, self.observations)
        self.catalogue.listen(lambda stored: self.groups.invalidate())
        self.registry = peers.PeerRegistry(
            self.name, self.data_centre, stale_after
        )
        self._executor = control.Executor(
            ports.store,
            ports.engines,
            ports.store,
            self.catalogue,
            ports.clock,
            settings.control,
            NullLog(),
        )
        self.controller = control.Controller(
            self._make_view, self._executor, settings, rng
        )
        self._failures = membership.PollFailures(
            settings.observation.failures_to_down
        )
        self._polling = set()
        self._tasks = []

    def _make_view(self):
        clock = self._ports.clock
        return control.View(
            self.catalogue,
            self.observations,
            self.groups.listed,
            self.settings,
            clock.monotonic(),
            clock.time(),
            self._rng,
            self._requests_of_groups(),
        )

    def _requests_of_groups(self):
        total = {}
        for node in [self, *self._peers_of(self)]:
            for group, count in node.in_flight.items():
                total[group] = total.get(group, 0) + count
        return total

    def start(self):
        """Start the loops."""
        for run in (
            self._follow_store,
            self._follow_vm_list,
            self._observe,
            self._control,
        ):
            self._tasks.append(asyncio.ensure_future(run()))

    async def stop(self):
        """Stop as a crash does: nothing is given back."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._executor.close()

    async def _sleep(self, seconds):
        await asyncio.sleep(seconds * self._rng.uniform(0.9, 1.1))
        await self._network.wait_running(self.name)

    async def _follow_store(self):
        store, kinds = self._ports.store, objects.WATCHED_KINDS
        listed = False
        while True:
            try:
                if not listed:
                    snapshot = await store.list(kinds)
                    now = self._ports.clock.monotonic()
                    self.catalogue.apply_list(snapshot, kinds, now)
                    listed = True
                snapshot = await store.watch(kinds, self.catalogue.revision)
                now = self._ports.clock.monotonic()
                self.catalogue.apply_changes(snapshot, now)
            except exceptions.BalsamwindError:
                listed = False
                await self._sleep(self._rng.uniform(*RETRY_DELAY))

    async def _follow_vm_list(self):
        while True:
            try:
                rows = await self._ports.store.fetch()
                self.groups.listed = {row.name: row for row in rows}
                self.groups.invalidate()
            except exceptions.BalsamwindError:
                await self._sleep(self._rng.uniform(*RETRY_DELAY))
            await self._sleep(self.settings.platform.vm_list_interval)

    async def _control(self):
        while True:
            await self._sleep(self.settings.control.interval)
            await self.controller.run_round()

    async def _observe(self):
        while True:
            await self._sleep(self.settings.observation.interval)
            self._tell_peers()
            for vm, address in self._assigned().items():
                if vm not in self._polling:
                    self._polling.add(vm)
                    asyncio.ensure_future(self._poll(vm, address))

    def _assigned(self):
        now = self._ports.clock.monotonic()
        groups = [stored.value for stored in self.catalogue.items('group')]
        observed = membership.find_observed(self.groups.listed, groups)
        observers = {
            place: self.observations.trusted(
                self.registry.observers(place, now), now, place
            )
            for place in {vm.data_centre for vm in observed.values()}
        }
        assigned = membership.plan_polls(observed, observers, self.name)
        for view in self.observations.views_of(self.name):
            if view.vm not in assigned:
                self._failures.forget(view.vm)
                self.observations.drop(view.vm, self.name)
        return assigned

    async def _poll(self, vm, address):
        timeout = self.settings.observation.timeout
        report = error = None
        try:
            report = await self._ports.engines.report(address, timeout)
        except exceptions.BalsamwindError as failure:
            error = failure
        finally:
            self._polling.discard(vm)
        reachable = self._failures.check_reachable(vm, error)
        if report is None and reachable:
            self.observations.drop(vm, self.name)
            return
        self.observe(vm, reachable, report, self.name)

    def observe(self, vm, reachable, report, observer):
        """Take in an observation."""
        now = self._ports.clock.monotonic()
        self.observations.update(vm, reachable, report, observer, now)
        self.groups.invalidate()

    def _tell_peers(self):
        now = self._ports.clock.monotonic()
        views = self.observations.views_of(self.name)
        ages = [now - view.seen_at for view in views if view.reachable]
        age = max(ages, default=0.0)
        for peer in self._peers_of(self):
            peer.hear(self, views, age)

    def hear(self, node, views, age):
        """Take in what another node knows."""
        now = self._ports.clock.monotonic()
        self.registry.hear(node.name, node.data_centre, now)
        known = {view.vm for view in views}
        for view in self.observations.views_of(node.name):
            if view.vm not in known:
                self.observations.drop(view.vm, node.name)
        for view in views:
            self.observations.update(
                view.vm, view.reachable, view.report, node.name, now - age
            )
        self.observations.hear(node.name, now, age)
        self.groups.invalidate()
        since = self.catalogue.revision
        if node.catalogue.revision > since:
            self.catalogue.apply_from_peer(
                since,
                node.catalogue.revision,
                node.catalogue.changes_since(since),
                now,
            )
