"""Selection of the observations that a node sends to its peers."""

from balsamwind import membership
from balsamwind.peers import _group_status
from balsamwind.peers import _messages

RESEND_INTERVAL = 30.0
"""Longest time after which an unchanged state is sent again (seconds).

The time is drawn at random between half of it and all of it, so that the
repetitions are spread out.
"""

MIN_LOAD_INTERVAL = 1.0
"""Shortest time between two updates of the load of a group (seconds)."""


class Publisher:
    """Selects which observations to send to the peers.

    A group whose members are all healthy is covered by one status, which is
    sent again when its rounded load changes. Any other VM has its own
    observation, which is sent when it changes. Everything is also repeated
    at intervals, so that the effect of a lost or reordered message is
    limited in time.

    Parameters
    ----------
    rng : random.Random
        Source of the random times between repetitions.
    """

    __slots__ = ('_rng', '_sent_observations', '_sent_statuses')

    def __init__(self, rng):
        self._rng = rng
        self._sent_statuses = {}
        self._sent_observations = {}

    def forget(self, vm):
        """Forget what was last sent about a VM, so that it is sent again.

        Parameters
        ----------
        vm : str
            Name of the VM.
        """
        self._sent_observations.pop(vm, None)

    def forget_all(self):
        """Forget everything that was sent, so that it is sent again."""
        self._sent_observations.clear()
        self._sent_statuses.clear()

    def plan(self, groups, views, now):
        """Select the statuses and observations that are due.

        They are taken to be sent: the next call leaves out what has not
        changed since.

        Parameters
        ----------
        groups : iterable of balsamwind.objects.Group
            Records of all groups.
        views : dict of str to balsamwind.membership.VmView
            This node's own views, by name of the VM.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        ObservationChanges or None
            None if nothing is due.
        """
        statuses = []
        group_by_vm = {}
        group_names = set()
        for group in groups:
            if not any(vm in views for vm in group.vms):
                continue
            group_names.add(group.name)
            group_by_vm.update(dict.fromkeys(group.vms, group))
            if self._is_healthy(group, views):
                self._plan_group(group, views, now, statuses)
        for name in set(self._sent_statuses) - group_names:
            del self._sent_statuses[name]
        observations = [
            observation
            for vm, view in views.items()
            for observation in self._plan_vm(
                vm, view, group_by_vm.get(vm), now
            )
        ]
        for vm in set(self._sent_observations) - set(views):
            del self._sent_observations[vm]
        if not observations and not statuses:
            return None
        return _messages.ObservationChanges(
            tuple(observations), (), tuple(statuses)
        )

    def _is_healthy(self, group, views):
        for vm in group.vms:
            view = views.get(vm)
            if view is None or not view.reachable or view.report is None:
                return False
            if membership.check_report(group, view.report):
                return False
        return True

    def _plan_group(self, group, views, now, statuses):
        """Add the status of a healthy group to `statuses` if it is due.

        The observations that the status stands for count as sent, so that
        `_plan_vm` does not send them one by one as well.
        """
        report = views[group.vms[0]].report
        status = _group_status.make_group_status(group, report)
        last_status, sent_at, resend_at = self._sent_statuses.get(
            group.name, (None, 0.0, 0.0)
        )
        keys = {
            member_report.vm: _make_change_key(True, member_report, group)
            for member_report in (
                _group_status.make_head_report(group, status.load),
                *_group_status.make_other_reports(group),
            )
        }
        members_unchanged = all(
            self._sent_observations.get(vm, ('',))[0] == keys[vm]
            for vm in keys
        )
        if members_unchanged and last_status is not None and now < resend_at:
            if status == last_status or now - sent_at < MIN_LOAD_INTERVAL:
                return
        resend_at = now + RESEND_INTERVAL * self._rng.uniform(0.5, 1.0)
        self._sent_statuses[group.name] = (status, now, resend_at)
        for vm, key in keys.items():
            self._sent_observations[vm] = (key, resend_at)
        statuses.append(status)

    def _plan_vm(self, vm, view, group, now):
        """Yield the observation of a VM if it is due.

        A reachable VM without a report has not been polled with success yet,
        and there is nothing to send.
        """
        if view.report is None and view.reachable:
            return
        key = _make_change_key(view.reachable, view.report, group)
        last_key, resend_at = self._sent_observations.get(vm, (None, 0.0))
        if last_key == key and now < resend_at:
            return
        resend_at = now + RESEND_INTERVAL * self._rng.uniform(0.5, 1.0)
        self._sent_observations[vm] = (key, resend_at)
        yield _messages.Observation(vm, view.reachable, view.report)


def _make_change_key(reachable, report, group):
    """Make the part of a view of which each change is sent.

    The list of cached weights belongs to it for free VMs only.
    """
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
