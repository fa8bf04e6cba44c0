"""What is known of each VM, and how old that is."""

import dataclasses

from balsamwind import ports


@dataclasses.dataclass(slots=True)
class VmView:
    """What is known of one VM.

    Parameters
    ----------
    vm : str
        Name of the VM.
    report : balsamwind.ports.EngineReport or None
        Last report.
    reachable : bool
        Whether the observer's last attempts got an answer.
    observer : str
        Node that saw it.
    seen_at : float
        Monotonic time to which the view holds (seconds).
    down_since : float or None
        Monotonic time at which it was first seen down (seconds).
    """

    vm: str
    report: ports.EngineReport | None
    reachable: bool
    observer: str
    seen_at: float
    down_since: float | None = None


class Observations:
    """Views of all VMs, from own observation and from peers.

    Parameters
    ----------
    stale_after : float
        Age at which a view no longer counts (seconds).
    """

    __slots__ = ('_heartbeats', '_stale_after', '_views')

    def __init__(self, stale_after):
        self._stale_after = stale_after
        self._views = {}
        self._heartbeats = {}

    @property
    def stale_after(self):
        """Age at which a view no longer counts (seconds)."""
        return self._stale_after

    def update(self, vm, reachable, report, observer, now):
        """Take in what `observer` saw of `vm` at `now`."""
        known = self._views.get(vm)
        down_since = None
        if not reachable:
            down_since = now
            if known is not None and known.down_since is not None:
                down_since = known.down_since
            if report is None and known is not None:
                report = known.report
        self._views[vm] = VmView(
            vm, report, reachable, observer, now, down_since
        )

    def drop(self, vm, observer):
        """Note that `observer` no longer observes `vm`."""
        view = self._views.get(vm)
        if view is not None and view.observer == observer:
            view.observer = ''

    def hear(self, observer, now, report_age):
        """Note that all views of `observer` held `report_age` ago."""
        self._heartbeats[observer] = now - report_age

    def get(self, vm):
        """View of a VM, or None."""
        return self._views.get(vm)

    def seen_at(self, view):
        """Monotonic time to which `view` holds (seconds)."""
        heartbeat = self._heartbeats.get(view.observer, view.seen_at)
        return max(view.seen_at, heartbeat)

    def is_fresh(self, view, now):
        """Whether a view still counts."""
        return now - self.seen_at(view) <= self._stale_after

    def is_up(self, vm, now):
        """Whether `vm` is known to answer."""
        view = self._views.get(vm)
        return view is not None and view.reachable and self.is_fresh(view, now)

    def down_for(self, vm, now):
        """How long `vm` has been known to be down (seconds); 0 if not."""
        view = self._views.get(vm)
        if view is None or view.down_since is None:
            return 0.0
        if not self.is_fresh(view, now):
            return 0.0
        return max(now - view.down_since, 1e-9)

    def views_of(self, observer):
        """Views that `observer` saw itself."""
        return [v for v in self._views.values() if v.observer == observer]
