"""Observation of the VMs that are this node's part."""

import asyncio

from balsamwind import exceptions
from balsamwind import membership
from balsamwind import peers


class Observer:
    """Polls engines and decides what to tell the peers.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Takes in what is seen.
    engine : balsamwind.ports.Engine
        Model engines.
    rng : random.Random
        Spreads repeated reports.
    """

    __slots__ = (
        '_assigned',
        '_engine',
        '_entry',
        '_failures',
        '_groups',
        '_inputs',
        '_listed',
        '_observed',
        '_places',
        '_polling',
        '_publisher',
        '_version',
        'polls',
    )

    def __init__(self, entry, engine, rng):
        self._entry = entry
        self._engine = engine
        self._publisher = peers.Publisher(rng)
        self._assigned = {}
        self._failures = membership.PollFailures(
            entry.settings.observation.failures_to_down
        )
        self._groups = None
        self._inputs = None
        self._observed = {}
        self._listed = None
        self._version = 0
        self._places = frozenset()
        self._polling = set()
        self.polls = 0

    @property
    def observed(self):
        """VMs that are this node's part (count)."""
        return len(self._assigned)

    def report_age(self, now):
        """Age of the oldest own observation (seconds)."""
        ages = [
            now - view.seen_at
            for view in self._own_views().values()
            if view.reachable
        ]
        return max(ages, default=0.0)

    def _own_views(self):
        """Views of the VMs that are this node's part, by VM."""
        node = self._entry.settings.node.name
        views = {}
        for vm in self._assigned:
            view = self._entry.observations.get(vm)
            if view is not None and view.observer == node:
                views[vm] = view
        return views

    def plan_reports(self, now):
        """What to tell the peers now; a `Reports` or None."""
        groups = [s.value for s in self._entry.catalogue.items('group')]
        return self._publisher.plan(groups, self._own_views(), now)

    def make_all_reports(self):
        """All that a new peer has to know."""
        views = self._own_views().values()
        return peers.Reports(
            tuple(
                peers.Observation(view.vm, view.reachable, view.report)
                for view in views
            )
        )

    def on_dropped(self, vm):
        """Note that a peer no longer observes `vm`."""
        self._publisher.forget(vm)

    def run_round(self):
        """Start polling every assigned VM that is not being polled."""
        self._assign()
        for vm, address in self._assigned.items():
            if vm not in self._polling:
                self._polling.add(vm)
                asyncio.ensure_future(self._poll(vm, address))

    def _assign(self):
        inputs = self._make_inputs()
        if inputs == self._inputs:
            return
        self._inputs = inputs
        assigned = membership.plan_polls(
            self._observed, inputs[1], self._entry.settings.node.name
        )
        dropped = tuple(vm for vm in self._assigned if vm not in assigned)
        self._assigned = assigned
        for vm in dropped:
            self._failures.forget(vm)
        self._drop(dropped)

    def _make_inputs(self):
        """What the assignment follows from."""
        entry = self._entry
        now = entry.clock.monotonic()
        listed = entry.groups.listed
        groups = entry.catalogue.items('group')
        if listed is not self._listed or groups is not self._groups:
            self._listed, self._groups = listed, groups
            self._observed = membership.find_observed(
                listed, [stored.value for stored in groups]
            )
            self._places = {vm.data_centre for vm in self._observed.values()}
            self._version += 1
        observers = {
            place: tuple(
                entry.observations.trusted(
                    entry.registry.observers(place, now), now, place
                )
            )
            for place in self._places
        }
        return self._version, observers

    def _drop(self, vms):
        """Stop vouching for some VMs."""
        entry = self._entry
        for vm in vms:
            entry.observations.drop(vm, entry.settings.node.name)
            self._publisher.forget(vm)
        if vms:
            entry.links.broadcast(peers.Reports((), tuple(vms)))

    async def _poll(self, vm, address):
        timeout = self._entry.settings.observation.timeout
        self.polls += 1
        try:
            report = await self._engine.report(address, timeout)
        except exceptions.BalsamwindError as error:
            self._note(vm, None, error)
        else:
            self._note(vm, self._entry.take_cache_events(report), None)
        finally:
            self._polling.discard(vm)

    def _note(self, vm, report, error):
        if vm not in self._assigned:
            return
        entry = self._entry
        reachable = self._failures.check_reachable(vm, error)
        if report is None and reachable:
            self._drop((vm,))
            return
        node = entry.settings.node.name
        now = entry.clock.monotonic()
        before = entry.observations.get(vm)
        was = None
        if before is not None and before.observer == node:
            was = _health(before.reachable, before.report)
        else:
            self._publisher.forget(vm)
        entry.observations.update(vm, reachable, report, node, now)
        view = entry.observations.get(vm)
        if was != _health(view.reachable, view.report):
            entry.groups.invalidate()
            self._tell(now)

    def _tell(self, now):
        """Tell the peers at once what changed."""
        reports = self.plan_reports(now)
        if reports is not None:
            self._entry.links.broadcast(reports)


def _health(reachable, report):
    """What of a view decides whether a group may serve."""
    if report is None:
        return (reachable, None)
    return (
        reachable,
        report.state,
        report.group,
        report.generation,
        report.model,
        report.version,
    )
