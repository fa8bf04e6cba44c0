"""Latest observation of each VM, and how old it is."""

import dataclasses

from balsamwind import ports

SUSPECT_MIN_DOWN_VMS = 2
"""VMs of one data centre that an observer must see down to become suspect
(count)."""

SUSPECT_DURATION = 30.0
"""Time for which an observer stays suspect (seconds)."""

UNCONFIRMED_DOWN_DELAY = 20.0
"""Time for which a VM that only one observer, a suspect one, has seen down
does not count as down (seconds)."""


@dataclasses.dataclass(slots=True)
class VmView:
    """Latest observation of one VM.

    Parameters
    ----------
    vm : str
        Name of the VM.
    report : balsamwind.ports.EngineReport or None
        Last report of the VM's engine; None if there was none.
    reachable : bool
        Whether the observer counts the VM as reachable.
    observer : str
        Node that made the observation; empty once it has withdrawn it.
    seen_at : float
        Monotonic time up to which the view is known to hold, without the
        observer's later heartbeats (seconds).
    down_since : float or None
        Monotonic time at which the VM was first seen down (seconds); None
        if it is reachable.
    down_observers : frozenset of str
        Nodes that have seen the VM down since then.
    report_changed_at : float
        Monotonic time at which the group, generation, state, model or
        version in the report last changed (seconds).
    """

    vm: str
    report: ports.EngineReport | None
    reachable: bool
    observer: str
    seen_at: float
    down_since: float | None = None
    down_observers: frozenset = frozenset()
    report_changed_at: float = 0.0


class Observations:
    """Views of all VMs, from this node's own polls and from its peers.

    Parameters
    ----------
    stale_after : float
        Age above which a view is stale (seconds).
    data_centre_of : callable
        Takes the name of a VM and returns the name of its data centre.
        Whether an observer is suspect is decided for each data centre
        separately, so that a node that cannot reach one data centre is
        still believed about its own.

    Attributes
    ----------
    change_count : int
        Number of updates that changed whether a VM is reachable, or the
        group, generation, state, model or version that it reports.

    Notes
    -----
    An observer that sees most of its VMs down at once is more likely to be
    cut off itself. It becomes suspect. The VMs that it sees down stop
    serving all the same, but they count as down, which is what triggers
    repair, only when another observer has seen them down too or
    `UNCONFIRMED_DOWN_DELAY` has passed.

    If two observers disagree about a VM, the one that reaches it is right
    for as long as its view is fresh, because a node that was cut off comes
    back with views of VMs that it could not reach. The other observer's
    view is deferred, and takes effect once no fresh view of another
    observer says that the VM is reachable.
    """

    __slots__ = (
        '_confirmed_at',
        '_data_centre_of',
        '_deferred_down',
        '_stale_after',
        '_suspect_until',
        '_views',
        'change_count',
    )

    def __init__(self, stale_after, data_centre_of=lambda vm: ''):
        self._stale_after = stale_after
        self._data_centre_of = data_centre_of
        self._views = {}
        self._deferred_down = {}
        self._confirmed_at = {}
        self._suspect_until = {}
        self.change_count = 0

    @property
    def stale_after(self):
        """Age above which a view is stale (seconds)."""
        return self._stale_after

    def update(self, vm, reachable, report, observer, now):
        """Record what an observer has seen of a VM.

        If another observer reaches the VM, an observation that it is down
        is deferred.

        Parameters
        ----------
        vm : str
            Name of the VM.
        reachable : bool
            Whether the observer counts the VM as reachable.
        report : balsamwind.ports.EngineReport or None
            Report of the VM's engine; None if the engine did not answer.
        observer : str
            Node that made the observation.
        now : float
            Monotonic time of the observation (seconds).
        """
        previous = self._views.get(vm)
        self._discard_deferred(vm, observer)
        if not reachable and self._is_reached_by_other(
            previous, observer, now
        ):
            self._deferred_down.setdefault(observer, {})[vm] = now
            return
        if report is None and previous is not None and not reachable:
            report = previous.report
        view = VmView(vm, report, reachable, observer, now)
        view.report_changed_at = now
        unchanged = previous is not None and (
            _make_change_key(previous.report) == _make_change_key(report)
        )
        if unchanged:
            view.report_changed_at = previous.report_changed_at
        if not unchanged or previous.reachable != reachable:
            self.change_count += 1
        if not reachable:
            view.down_since = now
            view.down_observers = frozenset((observer,))
            if previous is not None and previous.down_since is not None:
                view.down_since = previous.down_since
                view.down_observers |= previous.down_observers
        self._views[vm] = view
        if not reachable and previous is not None and previous.reachable:
            self._update_suspicion(observer, self._data_centre_of(vm), now)

    def _is_reached_by_other(self, view, observer, now):
        """Tell whether a fresh view of another observer reaches the VM.

        Parameters
        ----------
        view : VmView or None
            Latest view of the VM.
        observer : str
            Node that sees the VM down.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        bool
        """
        if view is None or not view.reachable:
            return False
        if view.observer in ('', observer):
            return False
        return self.is_fresh(view, now)

    def _discard_deferred(self, vm, observer):
        """Remove the deferred observation of `vm` by `observer`, if any."""
        deferred = self._deferred_down.get(observer)
        if deferred is not None:
            deferred.pop(vm, None)

    def _apply_deferred(self, vm, observer, at):
        """Record a deferred observation if no other observer reaches `vm`.

        Parameters
        ----------
        vm : str
            Name of the VM.
        observer : str
            Node that sees the VM down.
        at : float
            Monotonic time up to which its observation holds (seconds).
        """
        if not self._is_reached_by_other(self._views.get(vm), observer, at):
            self.update(vm, False, None, observer, at)

    def _update_suspicion(self, observer, data_centre, now):
        """Make an observer suspect if it sees most of its VMs down.

        Only its VMs in `data_centre` are counted.
        """
        views = [
            view
            for view in self.list_views_by(observer)
            if self._data_centre_of(view.vm) == data_centre
        ]
        down = sum(not view.reachable for view in views)
        if down >= SUSPECT_MIN_DOWN_VMS and 2 * down > len(views):
            self._suspect_until[observer, data_centre] = now + SUSPECT_DURATION

    def is_suspect(self, observer, now, data_centre=''):
        """Tell whether an observer is likely cut off from a data centre.

        Parameters
        ----------
        observer : str
            Name of the observing node.
        now : float
            Monotonic time (seconds).
        data_centre : str
            Data centre of the VMs in question.

        Returns
        -------
        bool
        """
        return now < self._suspect_until.get(
            (observer, data_centre), float('-inf')
        )

    def exclude_suspects(self, observers, now, data_centre=''):
        """Select the observers that are not suspect.

        Parameters
        ----------
        observers : sequence of str
            Names of the nodes to choose from.
        now : float
            Monotonic time (seconds).
        data_centre : str
            Data centre of the VMs to observe.

        Returns
        -------
        sequence of str
            Observers that are not suspect for the data centre. If all are
            suspect, all of them, so that the VMs are still observed.
        """
        trusted = [
            node
            for node in observers
            if not self.is_suspect(node, now, data_centre)
        ]
        return trusted or observers

    def _apply_first_deferred(self, vm):
        """Apply the deferred observation of the first observer of `vm`."""
        for observer, deferred in self._deferred_down.items():
            if vm in deferred:
                at = max(deferred[vm], self._confirmed_at.get(observer, 0.0))
                self._apply_deferred(vm, observer, at)
                return

    def withdraw_view(self, vm, observer):
        """Record that an observer no longer confirms its view of a VM.

        The view stays in use with the age that it has. Later heartbeats of
        the observer do not keep it fresh, so it becomes stale unless
        another observation replaces it.

        Parameters
        ----------
        vm : str
            Name of the VM.
        observer : str
            Node that made the observation.
        """
        self._discard_deferred(vm, observer)
        view = self._views.get(vm)
        if view is not None and view.observer == observer:
            view.seen_at = self.confirmed_at(view)
            view.observer = ''
            self._apply_first_deferred(vm)

    def record_heartbeat(self, observer, now, report_age):
        """Record a heartbeat, which confirms all views of its sender.

        Parameters
        ----------
        observer : str
            Node that has sent the heartbeat.
        now : float
            Monotonic time of its arrival (seconds).
        report_age : float
            Age of the sender's oldest observation (seconds). All its views
            hold at least up to this time before `now`.
        """
        self._confirmed_at[observer] = now - report_age
        for vm in tuple(self._deferred_down.get(observer, ())):
            self._apply_deferred(vm, observer, now - report_age)

    def get(self, vm):
        """Look up the view of a VM.

        Parameters
        ----------
        vm : str
            Name of the VM.

        Returns
        -------
        VmView or None
        """
        return self._views.get(vm)

    def confirmed_at(self, view):
        """Compute the time up to which a view is known to hold.

        Parameters
        ----------
        view : VmView
            View of a VM.

        Returns
        -------
        float
            Monotonic time of the observation, or the later one that a
            heartbeat of the observer has confirmed (seconds).
        """
        confirmed_at = self._confirmed_at.get(view.observer, view.seen_at)
        return max(view.seen_at, confirmed_at)

    def is_fresh(self, view, now):
        """Tell whether a view is not stale.

        Parameters
        ----------
        view : VmView
            View of a VM.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        bool
        """
        return now - self.confirmed_at(view) <= self._stale_after

    def is_up(self, vm, now):
        """Tell whether a fresh view says that a VM is reachable.

        Parameters
        ----------
        vm : str
            Name of the VM.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        bool
        """
        view = self._views.get(vm)
        return view is not None and view.reachable and self.is_fresh(view, now)

    def down_duration(self, vm, now):
        """Compute for how long a VM has counted as down.

        If suspect observers alone have seen the VM down, and fewer than
        two of them, the time starts `UNCONFIRMED_DOWN_DELAY` later.

        Parameters
        ----------
        vm : str
            Name of the VM.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        float
            Time (seconds); 0 if the VM does not count as down or its view
            is stale. It is above 0 also for a VM that counts as down from
            `now` on.
        """
        view = self._views.get(vm)
        if view is None or view.down_since is None:
            return 0.0
        if not self.is_fresh(view, now):
            return 0.0
        down_since = view.down_since
        data_centre = self._data_centre_of(vm)
        if all(
            self.is_suspect(node, now, data_centre)
            for node in view.down_observers
        ):
            if len(view.down_observers) < 2:
                down_since += UNCONFIRMED_DOWN_DELAY
        return max(now - down_since, 0.0 if down_since > now else 1e-9)

    def list_views(self):
        """List all views, sorted by the name of the VM.

        Returns
        -------
        list of VmView
        """
        return [self._views[vm] for vm in sorted(self._views)]

    def list_views_by(self, observer):
        """List the views that come from one observer.

        Parameters
        ----------
        observer : str
            Name of the observing node.

        Returns
        -------
        list of VmView
        """
        return [
            view for view in self._views.values() if view.observer == observer
        ]


def _make_change_key(report):
    """Extract the fields of a report whose change counts as a change."""
    if report is None:
        return None
    return (
        report.group,
        report.generation,
        report.state,
        report.model,
        report.version,
    )
