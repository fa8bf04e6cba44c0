"""Simulated node that runs the control path over in-memory ports."""

import asyncio

from balsamwind import catalogue
from balsamwind import control
from balsamwind import exceptions
from balsamwind import membership
from balsamwind import objects
from balsamwind import peers

PLATFORM_RETRY_DELAY = (0.3, 1.0)
"""Bounds of the random delay before a platform call is retried (seconds)."""


class NullLog:
    """Logger that discards all events."""

    def info(self, event, **values):
        """Discard an event."""

    def warning(self, event, **values):
        """Discard an event."""


class ReplayNode:
    """Control path of one simulated entry.

    The catalogue, membership and control components are the production ones.
    The loops that feed them, and the exchange with peers, are simplified:
    a node passes all its observations to its peers in one call.

    Parameters
    ----------
    settings : balsamwind.settings.Settings
        Settings of the node.
    ports : NodePorts
        Ports to the platform, the engines and the clock.
    network : Network
        Simulated network, which pauses the node.
    find_reachable_peers : callable
        Takes a node and returns the list of the other nodes that it reaches
        now.
    rng : random.Random
        Source of operation names and jitter.

    Attributes
    ----------
    in_flight : dict of str to int
        Group -> requests in flight at this node (count).
    """

    def __init__(self, settings, ports, network, find_reachable_peers, rng):
        self.settings = settings
        self.name = settings.node.name
        self.data_centre = settings.node.data_centre
        self.catalogue = catalogue.ObjectCache()
        self.in_flight = {}
        self._ports = ports
        self._network = network
        self._find_reachable_peers = find_reachable_peers
        self._rng = rng
        stale_after = settings.observation.stale_after
        self.observations = membership.Observations(
            stale_after, lambda vm: self.groups.find_data_centre(vm)
        )
        self.groups = membership.GroupTable(self.catalogue, self.observations)
        self.catalogue.add_listener(lambda stored: self.groups.invalidate())
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
            self._make_control_view, self._executor, settings, rng
        )
        self._poll_failures = membership.PollFailureDetector(
            settings.observation.failures_to_down
        )
        self._polls_in_flight = set()
        self._tasks = []

    def _make_control_view(self):
        clock = self._ports.clock
        return control.View(
            self.catalogue,
            self.observations,
            self.groups.listed_vms,
            self.settings,
            clock.monotonic(),
            clock.time(),
            self._rng,
            self._count_requests_in_flight(),
        )

    def _count_requests_in_flight(self):
        counts = {}
        for node in [self, *self._find_reachable_peers(self)]:
            for group, count in node.in_flight.items():
                counts[group] = counts.get(group, 0) + count
        return counts

    def start(self):
        """Start the periodic loops of the node."""
        for start_loop in (
            self._follow_store,
            self._follow_vm_list,
            self._observation_loop,
            self._control_loop,
        ):
            self._tasks.append(asyncio.ensure_future(start_loop()))

    async def stop(self):
        """Cancel all loops as a crash does, without releasing leases."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._executor.close()

    async def _sleep(self, seconds):
        await asyncio.sleep(seconds * self._rng.uniform(0.9, 1.1))
        await self._network.wait_until_resumed(self.name)

    async def _follow_store(self):
        store, kinds = self._ports.store, objects.WATCHED_KINDS
        is_listed = False
        while True:
            try:
                if not is_listed:
                    snapshot = await store.list(kinds)
                    now = self._ports.clock.monotonic()
                    self.catalogue.apply_list(snapshot, kinds, now)
                    is_listed = True
                snapshot = await store.watch(kinds, self.catalogue.revision)
                now = self._ports.clock.monotonic()
                self.catalogue.apply_changes(snapshot, now)
            except exceptions.BalsamwindError:
                is_listed = False
                await self._sleep(self._rng.uniform(*PLATFORM_RETRY_DELAY))

    async def _follow_vm_list(self):
        while True:
            try:
                vm_rows = await self._ports.store.fetch()
                self.groups.listed_vms = {row.name: row for row in vm_rows}
                self.groups.invalidate()
            except exceptions.BalsamwindError:
                await self._sleep(self._rng.uniform(*PLATFORM_RETRY_DELAY))
            await self._sleep(self.settings.platform.vm_list_interval)

    async def _control_loop(self):
        while True:
            await self._sleep(self.settings.control.interval)
            await self.controller.run_round()

    async def _observation_loop(self):
        while True:
            await self._sleep(self.settings.observation.interval)
            self._send_observations()
            for vm, address in self._assign_polls().items():
                if vm not in self._polls_in_flight:
                    self._polls_in_flight.add(vm)
                    asyncio.ensure_future(self._poll_engine(vm, address))

    def _assign_polls(self):
        now = self._ports.clock.monotonic()
        groups = [
            stored.value for stored in self.catalogue.list_objects('group')
        ]
        observed = membership.collect_observed_vms(
            self.groups.listed_vms, groups
        )
        observers_by_data_centre = {
            data_centre: self.observations.exclude_suspects(
                self.registry.list_eligible_observers(data_centre, now),
                now,
                data_centre,
            )
            for data_centre in {vm.data_centre for vm in observed.values()}
        }
        assigned = membership.select_vms_to_poll(
            observed, observers_by_data_centre, self.name
        )
        for view in self.observations.list_views_by(self.name):
            if view.vm not in assigned:
                self._poll_failures.reset(view.vm)
                self.observations.withdraw_view(view.vm, self.name)
        return assigned

    async def _poll_engine(self, vm, address):
        timeout = self.settings.observation.timeout
        report = error = None
        try:
            report = await self._ports.engines.report(address, timeout)
        except exceptions.BalsamwindError as poll_error:
            error = poll_error
        finally:
            self._polls_in_flight.discard(vm)
        reachable = self._poll_failures.record_poll(vm, error)
        if report is None and reachable:
            self.observations.withdraw_view(vm, self.name)
            return
        self.observe(vm, reachable, report, self.name)

    def observe(self, vm, reachable, report, observer):
        """Record an observation of a VM.

        Parameters
        ----------
        vm : str
            Name of the VM.
        reachable : bool
            Whether the VM answered.
        report : balsamwind.ports.EngineReport or None
            Load report of the VM's engine; None if it did not answer.
        observer : str
            Node that observed the VM.
        """
        now = self._ports.clock.monotonic()
        self.observations.update(vm, reachable, report, observer, now)
        self.groups.invalidate()

    def _send_observations(self):
        now = self._ports.clock.monotonic()
        views = self.observations.list_views_by(self.name)
        report_ages = [now - view.seen_at for view in views if view.reachable]
        max_age = max(report_ages, default=0.0)
        for peer in self._find_reachable_peers(self):
            peer.receive_observations(self, views, max_age)

    def receive_observations(self, node, views, max_age):
        """Record the observations of another node and its newer objects.

        Parameters
        ----------
        node : ReplayNode
            Node that sends.
        views : list of balsamwind.membership.VmView
            All current observations of that node.
        max_age : float
            Age of its oldest load report (seconds).
        """
        now = self._ports.clock.monotonic()
        self.registry.record_contact(node.name, node.data_centre, now)
        reported_vms = {view.vm for view in views}
        for view in self.observations.list_views_by(node.name):
            if view.vm not in reported_vms:
                self.observations.withdraw_view(view.vm, node.name)
        for view in views:
            self.observations.update(
                view.vm, view.reachable, view.report, node.name, now - max_age
            )
        self.observations.record_heartbeat(node.name, now, max_age)
        self.groups.invalidate()
        known_revision = self.catalogue.revision
        if node.catalogue.revision > known_revision:
            self.catalogue.apply_from_peer(
                known_revision,
                node.catalogue.revision,
                node.catalogue.changes_since(known_revision),
                now,
            )
