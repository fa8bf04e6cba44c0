"""Decision which replica groups are complete and may serve requests."""

import dataclasses

from balsamwind import objects
from balsamwind import ports

EXPIRY_CHECK_INTERVAL = 0.1
"""Maximum time between checks for results that time alone changes
(seconds)."""

FULL_CHECK_INTERVAL = 1.0
"""Maximum time between checks of all groups (seconds)."""


def check_group(group, observations, listed_vms, now):
    """Determine why a group may not serve requests.

    A group may serve if its record is in state ``READY`` and a fresh report
    of every member's own engine names the same group, generation, model and
    version. The VM list lags, so a VM that is missing from it is not taken
    as evidence of anything; a VM that the list marks as leaving gets no new
    work.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Record of the group.
    observations : Observations
        Latest views of the VMs.
    listed_vms : dict of str to balsamwind.ports.ListedVm
        Rows of the VM list, by name of the VM.
    now : float
        Monotonic time (seconds).

    Returns
    -------
    str
        Reason for operators; empty if the group may serve.
    """
    if group.state is not objects.GroupState.READY:
        return f'group record is in state {group.state.value}'
    for member in group.members:
        reason = check_member(group, member.vm, observations, listed_vms, now)
        if reason:
            return f'{member.vm}: {reason}'
    return ''


def check_member(group, vm, observations, listed_vms, now):
    """Determine why a VM does not count as a working member of its group.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Record of the group.
    vm : str
        Name of the member's VM.
    observations : Observations
        Latest views of the VMs.
    listed_vms : dict of str to balsamwind.ports.ListedVm
        Rows of the VM list, by name of the VM.
    now : float
        Monotonic time (seconds).

    Returns
    -------
    str
        Reason for operators; empty if the member is reachable, is not
        leaving, and its fresh report matches the group.
    """
    listed_vm = listed_vms.get(vm)
    if listed_vm is not None and listed_vm.state is ports.VmState.LEAVING:
        return 'leaving'
    view = observations.get(vm)
    if view is None or view.report is None:
        return 'no report received yet'
    if not view.reachable:
        return 'unreachable'
    if not observations.is_fresh(view, now):
        return 'last report is stale'
    return check_report(group, view.report)


def check_report(group, report):
    """Determine why the report of an engine does not match a group.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Record of the group.
    report : balsamwind.ports.EngineReport
        Report of a member's engine.

    Returns
    -------
    str
        Reason for operators; empty if the engine is ready and has the
        group, generation, model and version of the record.
    """
    if (report.group, report.generation) != (group.name, group.generation):
        return (
            f'engine reports membership of {report.group or "no group"},'
            f' generation {report.generation}'
        )
    if (report.model, report.version) != (group.model, group.version):
        return f'engine reports model {report.model}@{report.version}'
    if report.state is not ports.EngineState.READY:
        return f'engine reports state {report.state.value}'
    return ''


@dataclasses.dataclass(slots=True)
class _CachedCheck:
    """Evidence from which a group was found to be complete.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Record of the group.
    listed_vms : dict of str to balsamwind.ports.ListedVm
        Rows of the VM list, by name of the VM.
    views : tuple of VmView
        Views of all members.
    valid_until : float
        Monotonic time at which the oldest of the views becomes stale
        (seconds).
    """

    group: objects.Group
    listed_vms: dict
    views: tuple
    valid_until: float

    def is_valid(self, group, listed_vms, observations, now):
        """Tell whether the evidence is unchanged and not stale.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Current record of the group.
        listed_vms : dict of str to balsamwind.ports.ListedVm
            Current rows of the VM list, by name of the VM.
        observations : Observations
            Latest views of the VMs.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        bool
        """
        if self.group is not group or self.listed_vms is not listed_vms:
            return False
        if now > self.valid_until:
            return False
        return all(
            observations.get(view.vm) is view and view.reachable
            for view in self.views
        )


class GroupTable:
    """Replica groups that may serve requests, by contract and model.

    Results are cached. All groups are checked again after
    `invalidate`, `mark_down` or a change of the observations, and at least
    every `FULL_CHECK_INTERVAL`. In between, only the groups whose evidence
    may have become stale, and those that were not serving, are checked
    again, at most every `EXPIRY_CHECK_INTERVAL`.

    Parameters
    ----------
    catalogue : balsamwind.catalogue.ObjectCache
        Copy of the stored objects in memory.
    observations : Observations
        Latest views of the VMs.

    Attributes
    ----------
    listed : dict of str to balsamwind.ports.ListedVm
        Rows of the VM list, by name of the VM. The owner of the table
        replaces the whole mapping when it gets a new list, and then calls
        `invalidate`.
    """

    __slots__ = (
        '_all_checked_at',
        '_cached_checks',
        '_catalogue',
        '_checked_change_count',
        '_expiry_checked_at',
        '_full_check_required',
        '_marked_down',
        '_not_serving',
        '_observations',
        '_serving_groups',
        '_unavailable_reasons',
        'listed_vms',
    )

    def __init__(self, catalogue, observations):
        self._catalogue = catalogue
        self._observations = observations
        self._serving_groups = {}
        self._unavailable_reasons = {}
        self._cached_checks = {}
        self._checked_change_count = -1
        self._not_serving = []
        self._all_checked_at = float('-inf')
        self._marked_down = {}
        self._full_check_required = True
        self._expiry_checked_at = float('-inf')
        self.listed_vms = {}

    @property
    def unavailable_reasons(self):
        """Reasons of the last check, by name of the group.

        The reason is empty for a group that may serve.
        """
        return self._unavailable_reasons

    def find_data_centre(self, vm):
        """Look up the data centre of a VM in the VM list.

        Parameters
        ----------
        vm : str
            Name of the VM.

        Returns
        -------
        str
            Name of the data centre; empty if the VM is not listed.
        """
        listed_vm = self.listed_vms.get(vm)
        return '' if listed_vm is None else listed_vm.data_centre

    def invalidate(self):
        """Have all groups checked again before the next use."""
        self._full_check_required = True

    def mark_down(self, group, generation, reason, now):
        """Take a group out of service at once.

        The mark is removed when every member has been observed after
        `now`, or when the group has another generation. The group then
        serves again if it passes the usual checks.

        Parameters
        ----------
        group : str
            Name of the group.
        generation : int
            Generation of the group that is down.
        reason : str
            Reason for operators.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        bool
            Whether the group was not yet marked down in this generation.
        """
        previous = self._marked_down.get(group)
        self._marked_down[group] = (generation, now, reason)
        self._full_check_required = True
        return previous is None or previous[0] != generation

    def find_serving_groups(self, contract, model, now):
        """Find the groups that may serve a model.

        Parameters
        ----------
        contract : str
            Name of the contract that the groups serve.
        model : str
            Name of a model or of an adapter.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        sequence of balsamwind.objects.Group
            Records of the groups.
        """
        changed = (
            self._full_check_required
            or self._checked_change_count != self._observations.change_count
        )
        if changed or now - self._all_checked_at > FULL_CHECK_INTERVAL:
            self._check_all(now)
        elif now - self._expiry_checked_at > EXPIRY_CHECK_INTERVAL:
            self._check_expired(now)
        return self._serving_groups.get((contract, model), ())

    def _check_expired(self, now):
        """Check the groups whose result time alone can change.

        These are the groups whose evidence may have become stale, and the
        groups that were not serving. If a result differs, all groups are
        checked.
        """
        self._expiry_checked_at = now
        expired = [
            check.group
            for check in self._cached_checks.values()
            if now > check.valid_until
        ]
        if any(
            self._check_with_cache(group, now) for group in expired
        ) or not all(
            self._check_marked_down(group, now)
            or self._check_with_cache(group, now)
            for group in self._not_serving
        ):
            self._check_all(now)

    def _check_all(self, now):
        """Check all groups and rebuild the table."""
        self._checked_change_count = self._observations.change_count
        serving_groups = {}
        reasons = {}
        not_serving = []
        for stored in self._catalogue.list_objects('group'):
            group = stored.value
            reason = self._check_marked_down(
                group, now
            ) or self._check_with_cache(group, now)
            reasons[group.name] = reason
            if reason:
                not_serving.append(group)
            else:
                for model in (group.model, *group.adapters):
                    key = (group.contract, model)
                    serving_groups.setdefault(key, []).append(group)
        self._serving_groups = serving_groups
        self._unavailable_reasons = reasons
        for name in set(self._cached_checks) - set(reasons):
            del self._cached_checks[name]
        self._not_serving = not_serving
        self._full_check_required = False
        self._expiry_checked_at = now
        self._all_checked_at = now

    def _check_with_cache(self, group, now):
        """Run `check_group`, unless the cached result is still valid.

        Only the result that a group may serve is cached.
        """
        cached = self._cached_checks.get(group.name)
        if cached is not None and cached.is_valid(
            group, self.listed_vms, self._observations, now
        ):
            return ''
        reason = check_group(group, self._observations, self.listed_vms, now)
        if reason:
            self._cached_checks.pop(group.name, None)
            return reason
        views = tuple(self._observations.get(vm) for vm in group.vms)
        oldest = min(self._observations.confirmed_at(view) for view in views)
        self._cached_checks[group.name] = _CachedCheck(
            group,
            self.listed_vms,
            views,
            oldest + self._observations.stale_after,
        )
        return ''

    def _check_marked_down(self, group, now):
        """Get the reason of `mark_down`, or remove a mark that has ended."""
        mark = self._marked_down.get(group.name)
        if mark is None:
            return ''
        generation, marked_at, reason = mark
        if generation == group.generation:
            views = [self._observations.get(vm) for vm in group.vms]
            if any(
                view is None
                or self._observations.confirmed_at(view) <= marked_at
                for view in views
            ):
                return reason
        del self._marked_down[group.name]
        return ''
