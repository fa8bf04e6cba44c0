"""Status of the members of replica groups, derived from observations."""

from balsamwind import membership
from balsamwind import objects
from balsamwind import ports

State = ports.EngineState

STATES_BEFORE_SERVING = (
    objects.GroupState.FORMING,
    objects.GroupState.LOADING,
)
"""States in which a group has no streams yet, so that it needs no drain."""


class MemberStatus:
    """Status of the members of groups as of one view.

    Parameters
    ----------
    view : View
        Input of the control round.
    """

    __slots__ = ('_view',)

    def __init__(self, view):
        self._view = view

    def find_down(self, group):
        """Find the members that are down for over `repair_after`.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Record of the group.

        Returns
        -------
        list of str
            Names of the VMs, in rank order.
        """
        wait = self._view.settings.control.repair_after
        return [vm for vm in group.vms if self._down_for(vm) > wait]

    def _down_for(self, vm):
        return self._view.observations.down_duration(vm, self._view.now)

    def is_down(self, vm):
        """Whether a VM is down for over `repair_after`.

        Parameters
        ----------
        vm : str
            Name of the VM.
        """
        return self._down_for(vm) > self._view.settings.control.repair_after

    def find_leaving(self, group):
        """Find the members whose VMs are leaving.

        A VM is leaving if the VM list says so, or if its engine reports that
        it is draining while it belongs to the group.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Record of the group.

        Returns
        -------
        list of str
            Names of the VMs, in rank order.
        """
        return [vm for vm in group.vms if self._is_leaving(group, vm)]

    def _is_leaving(self, group, vm):
        row = self._view.listed.get(vm)
        if row is not None and row.state is ports.VmState.LEAVING:
            return True
        report = self._get_report(vm)
        return (
            report is not None
            and report.state is State.DRAINING
            and report.group == group.name
        )

    def find_lost(self, group, age):
        """Return the members' VMs that have to be replaced.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Record of the group.
        age : float
            Time since the record last changed (seconds).

        Returns
        -------
        list of str
            VMs that are down or leaving, and those that did not finish
            loading within `load_timeout`, in rank order.
        """
        lost = {*self.find_down(group), *self.find_leaving(group)}
        if group.state is objects.GroupState.LOADING:
            lost.update(self._find_stragglers(group, age))
        return [vm for vm in group.vms if vm in lost]

    def _find_stragglers(self, group, age):
        """Return the members that exceeded `load_timeout`.

        Empty if no member is ready, since then it is not single members that
        hold up the load.
        """
        if age < self._view.settings.control.load_timeout:
            return []
        not_ready = self.find_not_ready(group)
        return not_ready if len(not_ready) < len(group.vms) else []

    def find_not_ready(self, group):
        """Find the members that keep the group from being complete.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Record of the group.

        Returns
        -------
        list of str
            Names of the VMs, in rank order.
        """
        view = self._view
        return [
            vm
            for vm in group.vms
            if membership.check_member(
                group, vm, view.observations, view.listed, view.now
            )
        ]

    def has_lost_state(self, group):
        """Whether a reachable member has lost the model that it had loaded.

        False while any member is unreachable: the others then report a
        broken group, which recovers if that member returns with its state
        intact.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Record of the group.
        """
        if not all(map(self._is_reachable, group.vms)):
            return False
        return any(self._has_member_lost_state(group, vm) for vm in group.vms)

    def _is_reachable(self, vm):
        vm_view = self._view.observations.get(vm)
        return vm_view is not None and vm_view.reachable

    def _has_member_lost_state(self, group, vm):
        vm_view = self._view.observations.get(vm)
        if not self._view.observations.is_up(vm, self._view.now):
            return False
        report = vm_view.report
        if report is None or not membership.check_report(group, report):
            return False
        expected = (group.name, group.generation, group.model, group.version)
        if expected != (
            report.group,
            report.generation,
            report.model,
            report.version,
        ):
            return True
        age = self._view.now - vm_view.report_changed_at
        match report.state:
            case State.EMPTY:
                return True
            case State.LOADING:
                return age > self._view.settings.control.load_timeout
            case State.BROKEN:
                return age > self._detection_time() and self._all_up(group)
        return False

    def _detection_time(self):
        """Longest time until a lost member is treated as down (seconds).

        If a member reports a broken group for longer than this while all
        members are up, the cause is not a member that is yet to be found
        down.
        """
        settings = self._view.settings
        polls = settings.observation.failures_to_down + 1
        poll_time = (
            settings.observation.interval + settings.observation.timeout
        )
        return polls * poll_time + settings.control.repair_after

    def _all_up(self, group):
        view = self._view
        return all(view.observations.is_up(vm, view.now) for vm in group.vms)

    def is_idle(self, group):
        """Whether neither the engine nor any entry counts open requests.

        False if the head is unreachable or has no fresh report.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Record of the group.
        """
        vm_view = self._view.observations.get(group.head.vm)
        if vm_view is None or vm_view.report is None or not vm_view.reachable:
            return False
        if not self._view.observations.is_fresh(vm_view, self._view.now):
            return False
        if self._view.group_in_flight.get(group.name, 0):
            return False
        return vm_view.report.running + vm_view.report.waiting == 0

    def needs_unload(self, group, vm):
        """Whether a VM that is not down still reports the group as loaded.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Record of the group.
        vm : str
            Name of the VM.
        """
        report = self._get_report(vm)
        if report is None or self.is_down(vm):
            return False
        return report.group == group.name and report.state is not State.EMPTY

    def _get_report(self, vm):
        vm_view = self._view.observations.get(vm)
        return None if vm_view is None else vm_view.report

    def may_be_partitioned(self, data_centre):
        """Whether over 3/4 of a data centre's observed VMs are unreachable.

        From outside, a network partition can't be told from the loss of the
        whole data centre. In the first case its groups go on serving, and in
        the second no VMs are left for a repair, so nothing is to be done
        either way.

        Parameters
        ----------
        data_centre : str
            Name of the data centre.
        """
        view = self._view
        vm_views = [
            view.observations.get(row.name)
            for row in view.listed.values()
            if row.data_centre == data_centre
        ]
        observed = [vm for vm in vm_views if vm is not None]
        down = sum(not vm.reachable for vm in observed)
        return down * 4 > len(observed) * 3
