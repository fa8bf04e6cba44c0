"""Polling of the VMs that are assigned to this node."""

import asyncio

from balsamwind import exceptions
from balsamwind import membership
from balsamwind import peers


class Observer:
    """Polls the engines of assigned VMs and reports changes to peers.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Entry whose observations are updated.
    engine : balsamwind.ports.Engine
        Client of the model engines.
    rng : random.Random
        Source of jitter for the repetition of unchanged reports.

    Attributes
    ----------
    poll_count : int
        Polls started since the start of the process (count).
    """

    __slots__ = (
        '_assigned',
        '_assignment_inputs',
        '_data_centres',
        '_engine',
        '_entry',
        '_failure_detector',
        '_last_groups',
        '_last_listed',
        '_observable_version',
        '_observable_vms',
        '_polling',
        '_publisher',
        'poll_count',
    )

    def __init__(self, entry, engine, rng):
        self._entry = entry
        self._engine = engine
        self._publisher = peers.Publisher(rng)
        self._assigned = {}
        self._failure_detector = membership.PollFailureDetector(
            entry.settings.observation.failures_to_down
        )
        self._last_groups = None
        self._assignment_inputs = None
        self._observable_vms = {}
        self._last_listed = None
        self._observable_version = 0
        self._data_centres = frozenset()
        self._polling = set()
        self.poll_count = 0

    @property
    def assigned_count(self):
        """VMs that are assigned to this node (count)."""
        return len(self._assigned)

    def report_age(self, now):
        """Age of the oldest view of a reachable assigned VM (seconds).

        Parameters
        ----------
        now : float
            Monotonic time (seconds).
        """
        ages = [
            now - view.seen_at
            for view in self._own_views().values()
            if view.reachable
        ]
        return max(ages, default=0.0)

    def _own_views(self):
        """Views of the assigned VMs that this node made itself, by VM."""
        node = self._entry.settings.node.name
        views = {}
        for vm in self._assigned:
            view = self._entry.observations.get(vm)
            if view is not None and view.observer == node:
                views[vm] = view
        return views

    def plan_reports(self, now):
        """Build the message with the observations that are due.

        Parameters
        ----------
        now : float
            Monotonic time (seconds).

        Returns
        -------
        balsamwind.peers.ObservationChanges or None
            None if there is nothing to send.
        """
        groups = [s.value for s in self._entry.catalogue.list_objects('group')]
        return self._publisher.plan(groups, self._own_views(), now)

    def make_all_reports(self):
        """Build the message with all own observations, for a new peer.

        Returns
        -------
        balsamwind.peers.ObservationChanges
        """
        views = self._own_views().values()
        return peers.ObservationChanges(
            tuple(
                peers.Observation(view.vm, view.reachable, view.report)
                for view in views
            )
        )

    def on_dropped(self, vm):
        """Report a VM again after a peer has stopped observing it.

        Parameters
        ----------
        vm : str
            Name of the VM.
        """
        self._publisher.forget(vm)

    def run_round(self):
        """Start a poll of every assigned VM without a poll in progress."""
        self._update_assignment()
        for vm, address in self._assigned.items():
            if vm not in self._polling:
                self._polling.add(vm)
                asyncio.ensure_future(self._poll(vm, address))

    def _update_assignment(self):
        """Recompute the assigned VMs if the inputs have changed."""
        inputs = self._collect_assignment_inputs()
        if inputs == self._assignment_inputs:
            return
        self._assignment_inputs = inputs
        assigned = membership.select_vms_to_poll(
            self._observable_vms, inputs[1], self._entry.settings.node.name
        )
        dropped = tuple(vm for vm in self._assigned if vm not in assigned)
        self._assigned = assigned
        for vm in dropped:
            self._failure_detector.reset(vm)
        self._withdraw_views(dropped)

    def _collect_assignment_inputs(self):
        """Collect what determines the assignment of VMs to nodes.

        Returns
        -------
        version : int
            Grows with each change of the VM list or the groups.
        observers : dict of str to tuple of str
            Data centre -> nodes that observe its VMs.
        """
        entry = self._entry
        now = entry.clock.monotonic()
        listed = entry.groups.listed_vms
        groups = entry.catalogue.list_objects('group')
        if listed is not self._last_listed or groups is not self._last_groups:
            self._last_listed, self._last_groups = listed, groups
            self._observable_vms = membership.collect_observed_vms(
                listed, [stored.value for stored in groups]
            )
            self._data_centres = {
                vm.data_centre for vm in self._observable_vms.values()
            }
            self._observable_version += 1
        observers = {
            data_centre: tuple(
                entry.observations.exclude_suspects(
                    entry.registry.list_eligible_observers(data_centre, now),
                    now,
                    data_centre,
                )
            )
            for data_centre in self._data_centres
        }
        return self._observable_version, observers

    def _withdraw_views(self, vms):
        """Stop confirming the views of some VMs, here and at peers."""
        entry = self._entry
        for vm in vms:
            entry.observations.withdraw_view(vm, entry.settings.node.name)
            self._publisher.forget(vm)
        if vms:
            entry.links.broadcast(peers.ObservationChanges((), tuple(vms)))

    async def _poll(self, vm, address):
        timeout = self._entry.settings.observation.timeout
        self.poll_count += 1
        try:
            report = await self._engine.report(address, timeout)
        except exceptions.BalsamwindError as error:
            self._record_poll(vm, None, error)
        else:
            self._record_poll(vm, self._entry.apply_cache_events(report), None)
        finally:
            self._polling.discard(vm)

    def _record_poll(self, vm, report, error):
        """Update the view of a VM with the outcome of a poll.

        A failed poll of a VM that still counts as reachable withdraws the
        view: the node no longer confirms that the VM answers, but does not
        claim either that it is down.
        """
        if vm not in self._assigned:
            return
        entry = self._entry
        reachable = self._failure_detector.record_poll(vm, error)
        if report is None and reachable:
            self._withdraw_views((vm,))
            return
        node = entry.settings.node.name
        now = entry.clock.monotonic()
        previous_view = entry.observations.get(vm)
        previous_fields = None
        if previous_view is not None and previous_view.observer == node:
            previous_fields = _serving_fields(
                previous_view.reachable, previous_view.report
            )
        else:
            self._publisher.forget(vm)
        entry.observations.update(vm, reachable, report, node, now)
        view = entry.observations.get(vm)
        if previous_fields != _serving_fields(view.reachable, view.report):
            entry.groups.invalidate()
            self._broadcast_changes(now)

    def _broadcast_changes(self, now):
        """Send changed observations without waiting for a heartbeat."""
        reports = self.plan_reports(now)
        if reports is not None:
            self._entry.links.broadcast(reports)


def _serving_fields(reachable, report):
    """Fields of a view that decide whether a group may serve; a tuple."""
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
