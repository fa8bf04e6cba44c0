"""What a node tells of the VMs that it observes, and when."""

from balsamwind import membership
from balsamwind.peers import _group_status
from balsamwind.peers import _messages

REFRESH_INTERVAL = 30.0
"""Time after which what did not change is told again (seconds)."""

LOAD_INTERVAL = 1.0
"""Shortest time between two loads of one group (seconds)."""


class Publisher:
    """Decides which observations to send.

    A group whose members are all well is told by one status, again when
    its rounded load changes. Of other VMs, what changed is told, one by
    one. All is told again now and then, so that a lost or overtaken message
    has an end.

    Parameters
    ----------
    rng : random.Random
        Spreads the repetitions.
    """

    __slots__ = ('_groups', '_rng', '_vms')

    def __init__(self, rng):
        self._rng = rng
        self._groups = {}
        self._vms = {}

    def forget(self, vm):
        """Tell of `vm` again when it is next observed."""
        self._vms.pop(vm, None)

    def forget_all(self):
        """Tell everything again."""
        self._vms.clear()
        self._groups.clear()

    def plan(self, groups, views, now):
        """Decide what to tell.

        Parameters
        ----------
        groups : iterable of balsamwind.objects.Group
            Records of all groups.
        views : dict of str to balsamwind.membership.VmView
            What this node saw itself.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        Reports or None
        """
        statuses = []
        members = {}
        names = set()
        for group in groups:
            if not any(vm in views for vm in group.vms):
                continue
            names.add(group.name)
            members.update(dict.fromkeys(group.vms, group))
            if self._is_well(group, views):
                self._note_well(group, views, now, statuses)
        for name in set(self._groups) - names:
            del self._groups[name]
        items = [
            item
            for vm, view in views.items()
            for item in self._plan_vm(vm, view, members.get(vm), now)
        ]
        for vm in set(self._vms) - set(views):
            del self._vms[vm]
        if not items and not statuses:
            return None
        return _messages.Reports(tuple(items), (), tuple(statuses))

    def _is_well(self, group, views):
        for vm in group.vms:
            view = views.get(vm)
            if view is None or not view.reachable or view.report is None:
                return False
            if membership.check_report(group, view.report):
                return False
        return True

    def _note_well(self, group, views, now, statuses):
        report = views[group.vms[0]].report
        status = _group_status.make_status(group, report)
        known, sent_at, until = self._groups.get(group.name, (None, 0.0, 0.0))
        keys = {
            member.vm: _key(True, member, group)
            for member in (
                _group_status.make_head_report(group, status.load),
                *_group_status.make_other_reports(group),
            )
        }
        told = all(self._vms.get(vm, ('',))[0] == keys[vm] for vm in keys)
        if told and known is not None and now < until:
            if status == known or now - sent_at < LOAD_INTERVAL:
                return
        until = now + REFRESH_INTERVAL * self._rng.uniform(0.5, 1.0)
        self._groups[group.name] = (status, now, until)
        for vm, key in keys.items():
            self._vms[vm] = (key, until)
        statuses.append(status)

    def _plan_vm(self, vm, view, group, now):
        if view.report is None and view.reachable:
            return
        key = _key(view.reachable, view.report, group)
        known, until = self._vms.get(vm, (None, 0.0))
        if known == key and now < until:
            return
        until = now + REFRESH_INTERVAL * self._rng.uniform(0.5, 1.0)
        self._vms[vm] = (key, until)
        yield _messages.Observation(vm, view.reachable, view.report)


def _key(reachable, report, group):
    """What of a view is worth a message when it changes."""
    if report is None:
        return (reachable, None)
    key = (
        reachable,
        report.state,
        report.group,
        report.generation,
        report.model,
        report.version,
    )
    return key if group is not None else (*key, report.cached)
