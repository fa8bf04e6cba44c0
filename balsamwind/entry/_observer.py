"""Observation of the VMs that are this node's part."""

import asyncio

from balsamwind import exceptions
from balsamwind import membership
from balsamwind import peers


class Observer:
    """Polls engines and tells the peers what changed.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Takes in what is seen.
    engine : balsamwind.ports.Engine
        Model engines.
    """

    __slots__ = ('_assigned', '_engine', '_entry', '_failures', '_polling')

    def __init__(self, entry, engine):
        self._entry = entry
        self._engine = engine
        self._assigned = {}
        self._failures = {}
        self._polling = set()

    def report_age(self, now):
        """Age of the oldest own observation (seconds)."""
        node = self._entry.settings.node.name
        observations = self._entry.observations
        ages = [
            now - view.seen_at
            for view in observations.views_of(node)
            if view.vm in self._assigned and view.reachable
        ]
        return max(ages, default=0.0)

    def run_round(self):
        """Start polling every assigned VM that is not being polled."""
        self._assign()
        for vm, address in self._assigned.items():
            if vm not in self._polling:
                self._polling.add(vm)
                asyncio.ensure_future(self._poll(vm, address))

    def _assign(self):
        entry = self._entry
        now = entry.clock.monotonic()
        units = self._units()
        observers = {}
        assigned = {}
        for vm, (unit, address, data_centre) in units.items():
            if data_centre not in observers:
                observers[data_centre] = entry.observations.trusted(
                    entry.registry.observers(data_centre, now), now
                )
            chosen = membership.choose_observer(unit, observers[data_centre])
            if chosen == entry.settings.node.name:
                assigned[vm] = address
        dropped = tuple(vm for vm in self._assigned if vm not in assigned)
        self._assigned = assigned
        if dropped:
            for vm in dropped:
                self._failures.pop(vm, None)
                entry.observations.drop(vm, entry.settings.node.name)
            entry.links.broadcast(peers.Reports((), dropped))

    def _units(self):
        """VM -> (what is observed together, address, data centre)."""
        units = {}
        for row in self._entry.groups.listed.values():
            units[row.name] = (row.name, row.address, row.data_centre)
        for stored in self._entry.catalogue.items('group'):
            group = stored.value
            for member in group.members:
                units[member.vm] = (
                    group.name,
                    member.address,
                    group.data_centre,
                )
        return units

    async def _poll(self, vm, address):
        timeout = self._entry.settings.observation.timeout
        try:
            report = await self._engine.report(address, timeout)
        except exceptions.BalsamwindError as error:
            self._note(vm, None, error)
        else:
            self._note(vm, report, None)
        finally:
            self._polling.discard(vm)

    def _note(self, vm, report, error):
        if vm not in self._assigned:
            return
        entry = self._entry
        reachable = self._check_reachable(vm, error)
        before = entry.observations.get(vm)
        old = before and (before.reachable, before.report, before.observer)
        if report is None and reachable:
            self._doubt(vm)
            return
        node = entry.settings.node.name
        now = entry.clock.monotonic()
        entry.observations.update(vm, reachable, report, node, now)
        view = entry.observations.get(vm)
        if old == (view.reachable, view.report, node):
            return
        entry.groups.invalidate()
        item = peers.Observation(vm, view.reachable, view.report)
        entry.links.broadcast(peers.Reports((item,)))

    def _doubt(self, vm):
        """Stop vouching for a VM that did not answer once."""
        entry = self._entry
        entry.observations.drop(vm, entry.settings.node.name)
        entry.links.broadcast(peers.Reports((), (vm,)))

    def _check_reachable(self, vm, error):
        """Whether a VM still counts as reachable after a poll.

        A refused connection is a solid sign; silence has to be repeated.
        """
        if error is None:
            self._failures.pop(vm, None)
            return True
        failures = self._failures.get(vm, 0) + 1
        self._failures[vm] = failures
        refused = (
            isinstance(error, exceptions.TransportError) and not error.sent
        )
        limit = self._entry.settings.observation.failures_to_down
        return not refused and failures < limit
