"""Which replica groups are complete, and so may serve."""

import dataclasses

from balsamwind import objects
from balsamwind import ports

REFRESH_INTERVAL = 0.1
"""Longest time between two checks of what grows old (seconds)."""

FULL_INTERVAL = 1.0
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


@dataclasses.dataclass(slots=True)
class _Verdict:
    """Evidence on which a group was found complete."""

    group: objects.Group
    listed: dict
    views: tuple
    until: float

    def holds(self, group, listed, observations, now):
        """Whether the same evidence still counts."""
        if self.group is not group or self.listed is not listed:
            return False
        if now > self.until:
            return False
        return all(
            observations.get(view.vm) is view and view.reachable
            for view in self.views
        )


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
        '_changes',
        '_checked_at',
        '_dirty',
        '_down',
        '_groups',
        '_incomplete',
        '_observations',
        '_reasons',
        '_refreshed_at',
        '_verdicts',
        'listed',
    )

    def __init__(self, catalogue, observations):
        self._catalogue = catalogue
        self._observations = observations
        self._groups = {}
        self._reasons = {}
        self._verdicts = {}
        self._changes = -1
        self._incomplete = []
        self._refreshed_at = float('-inf')
        self._down = {}
        self._dirty = True
        self._checked_at = float('-inf')
        self.listed = {}

    @property
    def reasons(self):
        """Group -> why it may not serve; empty if it may."""
        return self._reasons

    def find_data_centre(self, vm):
        """Data centre of a listed VM; empty if it is not listed."""
        row = self.listed.get(vm)
        return '' if row is None else row.data_centre

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
        changed = self._dirty or self._changes != self._observations.changes
        if changed or now - self._refreshed_at > FULL_INTERVAL:
            self._refresh(now)
        elif now - self._checked_at > REFRESH_INTERVAL:
            self._recheck(now)
        return self._groups.get((contract, model), ())

    def _recheck(self, now):
        """Check what time alone can change."""
        self._checked_at = now
        old = [v.group for v in self._verdicts.values() if now > v.until]
        if any(self._check(group, now) for group in old) or not all(
            self._check_down(group, now) or self._check(group, now)
            for group in self._incomplete
        ):
            self._refresh(now)

    def _refresh(self, now):
        self._changes = self._observations.changes
        groups = {}
        reasons = {}
        incomplete = []
        for stored in self._catalogue.items('group'):
            group = stored.value
            reason = self._check_down(group, now) or self._check(group, now)
            reasons[group.name] = reason
            if reason:
                incomplete.append(group)
            else:
                for model in (group.model, *group.adapters):
                    key = (group.contract, model)
                    groups.setdefault(key, []).append(group)
        self._groups = groups
        self._reasons = reasons
        for name in set(self._verdicts) - set(reasons):
            del self._verdicts[name]
        self._incomplete = incomplete
        self._dirty = False
        self._checked_at = now
        self._refreshed_at = now

    def _check(self, group, now):
        """Like `check_group`, unless earlier evidence still counts."""
        verdict = self._verdicts.get(group.name)
        if verdict is not None and verdict.holds(
            group, self.listed, self._observations, now
        ):
            return ''
        reason = check_group(group, self._observations, self.listed, now)
        if reason:
            self._verdicts.pop(group.name, None)
            return reason
        views = tuple(self._observations.get(vm) for vm in group.vms)
        oldest = min(self._observations.seen_at(view) for view in views)
        self._verdicts[group.name] = _Verdict(
            group,
            self.listed,
            views,
            oldest + self._observations.stale_after,
        )
        return ''

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
