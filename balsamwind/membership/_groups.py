"""Which replica groups are complete, and so may serve."""

from balsamwind import objects
from balsamwind import ports

REFRESH_INTERVAL = 0.1
"""Longest time between two checks of all groups (seconds)."""


def check_group(group, observations, listed, now):
    """Why a group may not serve; empty if it may.

    A group serves when its record says so and every member's own fresh
    report names the same group, generation, model and version. The VM list
    lags, so a VM that it lacks proves nothing; one that it calls leaving
    takes no new work.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Record of the group.
    observations : Observations
        What is known of the VMs.
    listed : dict of str to balsamwind.ports.ListedVm
        The VM list.
    now : float
        Monotonic time (seconds).

    Returns
    -------
    str
    """
    if group.state is not objects.GroupState.READY:
        return f'record says {group.state.value}'
    for member in group.members:
        reason = check_member(group, member.vm, observations, listed, now)
        if reason:
            return f'{member.vm}: {reason}'
    return ''


def check_member(group, vm, observations, listed, now):
    """Why a member does not complete its group; empty if it does."""
    row = listed.get(vm)
    if row is not None and row.state is ports.VmState.LEAVING:
        return 'leaving'
    view = observations.get(vm)
    if view is None or view.report is None:
        return 'never seen'
    if not view.reachable:
        return 'unreachable'
    if not observations.is_fresh(view, now):
        return 'no fresh report'
    return check_report(group, view.report)


def check_report(group, report):
    """Why a report does not fit a group; empty if it does."""
    if (report.group, report.generation) != (group.name, group.generation):
        return f'reports {report.group or "no group"}/{report.generation}'
    if (report.model, report.version) != (group.model, group.version):
        return f'reports {report.model}@{report.version}'
    if report.state is not ports.EngineState.READY:
        return f'reports {report.state.value}'
    return ''


class GroupTable:
    """Groups that may serve, by contract and model.

    Parameters
    ----------
    catalogue : balsamwind.catalogue.Catalogue
        Objects in memory.
    observations : Observations
        What is known of the VMs.
    """

    __slots__ = (
        '_catalogue',
        '_checked_at',
        '_dirty',
        '_down',
        '_groups',
        '_observations',
        '_reasons',
        'listed',
    )

    def __init__(self, catalogue, observations):
        self._catalogue = catalogue
        self._observations = observations
        self._groups = {}
        self._reasons = {}
        self._down = {}
        self._dirty = True
        self._checked_at = float('-inf')
        self.listed = {}

    @property
    def reasons(self):
        """Group -> why it may not serve; empty if it may."""
        return self._reasons

    def invalidate(self):
        """Check all groups before the next use."""
        self._dirty = True

    def mark_down(self, group, generation, reason, now):
        """Take a group out of service at once.

        It comes back when every member has been seen to be well after
        `now`, or with another generation.

        Returns
        -------
        bool
            Whether this was news.
        """
        known = self._down.get(group)
        self._down[group] = (generation, now, reason)
        self._dirty = True
        return known is None or known[0] != generation

    def serving(self, contract, model, now):
        """Records of the groups that may serve `model` now."""
        if self._dirty or now - self._checked_at > REFRESH_INTERVAL:
            self._refresh(now)
        return self._groups.get((contract, model), ())

    def _refresh(self, now):
        groups = {}
        reasons = {}
        for stored in self._catalogue.items('group'):
            group = stored.value
            reason = self._check_down(group, now) or check_group(
                group, self._observations, self.listed, now
            )
            reasons[group.name] = reason
            if not reason:
                for model in (group.model, *group.adapters):
                    key = (group.contract, model)
                    groups.setdefault(key, []).append(group)
        self._groups = groups
        self._reasons = reasons
        self._dirty = False
        self._checked_at = now

    def _check_down(self, group, now):
        known = self._down.get(group.name)
        if known is None:
            return ''
        generation, since, reason = known
        if generation == group.generation:
            views = [self._observations.get(vm) for vm in group.vms]
            if any(
                view is None or self._observations.seen_at(view) <= since
                for view in views
            ):
                return reason
        del self._down[group.name]
        return ''
