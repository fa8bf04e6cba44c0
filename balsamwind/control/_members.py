"""What the members of a group are seen to do."""

from balsamwind import membership
from balsamwind import objects
from balsamwind import ports

State = ports.EngineState

NEVER_SERVED = (objects.GroupState.FORMING, objects.GroupState.LOADING)
"""States in which no stream runs, so that nothing has to be drained."""


class Members:
    """Questions about the members of groups, at one moment.

    Parameters
    ----------
    view : View
        What is known.
    """

    __slots__ = ('_view',)

    def __init__(self, view):
        self._view = view

    def down(self, group):
        """VMs of members that are down long enough to be replaced."""
        wait = self._view.settings.control.repair_after
        return [vm for vm in group.vms if self._down_for(vm) > wait]

    def _down_for(self, vm):
        return self._view.observations.down_for(vm, self._view.now)

    def is_down(self, vm):
        """Whether a VM is down long enough to be given up."""
        return self._down_for(vm) > self._view.settings.control.repair_after

    def leaving(self, group):
        """VMs of members that the list or their engine calls leaving."""
        return [vm for vm in group.vms if self._is_leaving(group, vm)]

    def _is_leaving(self, group, vm):
        row = self._view.listed.get(vm)
        if row is not None and row.state is ports.VmState.LEAVING:
            return True
        report = self._report(vm)
        return (
            report is not None
            and report.state is State.DRAINING
            and report.group == group.name
        )

    def lost(self, group, age):
        """VMs of members that have to be replaced now.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Record of the group.
        age : float
            Time since the record last changed (seconds).

        Returns
        -------
        list of str
            Those that are down or leave, and stragglers of a load.
        """
        lost = {*self.down(group), *self.leaving(group)}
        if group.state is objects.GroupState.LOADING:
            lost.update(self._stragglers(group, age))
        return [vm for vm in group.vms if vm in lost]

    def _stragglers(self, group, age):
        """Members that hold up a load; none if all of them do."""
        if age < self._view.settings.control.load_timeout:
            return []
        waiting = self.waiting(group)
        return waiting if len(waiting) < len(group.vms) else []

    def waiting(self, group):
        """VMs of members that do not complete the group."""
        view = self._view
        return [
            vm
            for vm in group.vms
            if membership.check_member(
                group, vm, view.observations, view.listed, view.now
            )
        ]

    def changed(self, group):
        """Whether a member that answers has lost what it had loaded.

        While a member is down, the others report a broken group; they are
        whole again if it comes back as it was.
        """
        if not all(map(self._is_reachable, group.vms)):
            return False
        return any(self._has_changed(group, vm) for vm in group.vms)

    def _is_reachable(self, vm):
        view = self._view.observations.get(vm)
        return view is not None and view.reachable

    def _has_changed(self, group, vm):
        view = self._view.observations.get(vm)
        if not self._view.observations.is_up(vm, self._view.now):
            return False
        report = view.report
        if report is None or not membership.check_report(group, report):
            return False
        here = (group.name, group.generation, group.model, group.version)
        if here != (
            report.group,
            report.generation,
            report.model,
            report.version,
        ):
            return True
        age = self._view.now - view.changed_at
        match report.state:
            case State.EMPTY:
                return True
            case State.LOADING:
                return age > self._view.settings.control.load_timeout
            case State.BROKEN:
                return age > self._patience() and self._all_up(group)
        return False

    def _patience(self):
        """Time in which a lost member is seen by its observer (seconds)."""
        settings = self._view.settings
        rounds = settings.observation.failures_to_down + 1
        poll = settings.observation.interval + settings.observation.timeout
        return rounds * poll + settings.control.repair_after

    def _all_up(self, group):
        view = self._view
        return all(view.observations.is_up(vm, view.now) for vm in group.vms)

    def idle(self, group):
        """Whether no request runs on a group, by all that count them."""
        view = self._view.observations.get(group.head.vm)
        if view is None or view.report is None or not view.reachable:
            return False
        if not self._view.observations.is_fresh(view, self._view.now):
            return False
        if self._view.group_in_flight.get(group.name, 0):
            return False
        return view.report.running + view.report.waiting == 0

    def still_loaded(self, group, vm):
        """Whether a VM has to be told to unload a group."""
        report = self._report(vm)
        if report is None or self.is_down(vm):
            return False
        return report.group == group.name and report.state is not State.EMPTY

    def _report(self, vm):
        view = self._view.observations.get(vm)
        return None if view is None else view.report

    def is_dark(self, data_centre):
        """Whether so many VMs of a data centre are gone that it may be cut.

        From outside, a data centre that is cut off looks like one that is
        dark, and goes on serving; there is nothing to repair with either
        way.
        """
        view = self._view
        known = [
            view.observations.get(row.name)
            for row in view.listed.values()
            if row.data_centre == data_centre
        ]
        seen = [vm for vm in known if vm is not None]
        down = sum(not vm.reachable for vm in seen)
        return down * 4 > len(seen) * 3
