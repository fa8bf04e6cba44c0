"""What is known of each VM, and how old that is."""

import dataclasses

from balsamwind import ports

SUSPECT_MINIMUM = 2
"""VMs that an observer must see down to become suspect (count)."""

SUSPECT_TIME = 30.0
"""How long an observer stays suspect (seconds)."""

CONFIRM_TIME = 20.0
"""Time that a VM seen down by suspect observers alone counts as up
(seconds)."""


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
    witnesses : frozenset of str
        Nodes that saw it down since then.
    changed_at : float
        Monotonic time at which the report last named another group,
        generation or state (seconds).
    """

    vm: str
    report: ports.EngineReport | None
    reachable: bool
    observer: str
    seen_at: float
    down_since: float | None = None
    witnesses: frozenset = frozenset()
    changed_at: float = 0.0


class Observations:
    """Views of all VMs, from own observation and from peers.

    Parameters
    ----------
    stale_after : float
        Age at which a view no longer counts (seconds).
    place_of : callable
        VM -> its data centre. Whether an observer is suspect is judged for
        each data centre by itself, so that a node that can't reach another
        one is still believed on its own.

    Attributes
    ----------
    changes : int
        Grows when a VM is seen to answer or not, or to do something else.

    Notes
    -----
    An observer that sees most of its VMs down at once is more likely cut
    off itself. It becomes suspect: its VMs stop serving all the same, but
    they count as down, which is what repair asks, only when another
    observer has seen them down too, or after `CONFIRM_TIME`.

    Of two observers that differ, the one that sees a VM answer is right as
    long as it says so: a node that was cut off comes back with views of
    VMs that it could not reach. What the other saw is kept, and counts
    once nobody vouches for the VM.
    """

    __slots__ = (
        '_doubts',
        '_heartbeats',
        '_place_of',
        '_stale_after',
        '_suspects',
        '_views',
        'changes',
    )

    def __init__(self, stale_after, place_of=lambda vm: ''):
        self._stale_after = stale_after
        self._place_of = place_of
        self._views = {}
        self._doubts = {}
        self._heartbeats = {}
        self._suspects = {}
        self.changes = 0

    @property
    def stale_after(self):
        """Age at which a view no longer counts (seconds)."""
        return self._stale_after

    def update(self, vm, reachable, report, observer, now):
        """Take in what `observer` saw of `vm` at `now`."""
        known = self._views.get(vm)
        self._forget_doubt(vm, observer)
        if not reachable and self._is_vouched_for(known, observer, now):
            self._doubts.setdefault(observer, {})[vm] = now
            return
        if report is None and known is not None and not reachable:
            report = known.report
        view = VmView(vm, report, reachable, observer, now)
        view.changed_at = now
        same = known is not None and _key(known.report) == _key(report)
        if same:
            view.changed_at = known.changed_at
        if not same or known.reachable != reachable:
            self.changes += 1
        if not reachable:
            view.down_since = now
            view.witnesses = frozenset((observer,))
            if known is not None and known.down_since is not None:
                view.down_since = known.down_since
                view.witnesses |= known.witnesses
        self._views[vm] = view
        if not reachable and known is not None and known.reachable:
            self._judge(observer, self._place_of(vm), now)

    def _is_vouched_for(self, known, observer, now):
        """Whether another observer sees the VM answer, and says so still."""
        if known is None or not known.reachable:
            return False
        if known.observer in ('', observer):
            return False
        return self.is_fresh(known, now)

    def _forget_doubt(self, vm, observer):
        doubts = self._doubts.get(observer)
        if doubts is not None:
            doubts.pop(vm, None)

    def _settle_doubt(self, vm, observer, at):
        """Take in what `observer` saw, if nobody vouches for `vm` now."""
        if not self._is_vouched_for(self._views.get(vm), observer, at):
            self.update(vm, False, None, observer, at)

    def _judge(self, observer, place, now):
        views = [
            view
            for view in self.views_of(observer)
            if self._place_of(view.vm) == place
        ]
        down = sum(not view.reachable for view in views)
        if down >= SUSPECT_MINIMUM and 2 * down > len(views):
            self._suspects[observer, place] = now + SUSPECT_TIME

    def is_suspect(self, observer, now, place=''):
        """Whether `observer` is likely cut off itself from `place`."""
        return now < self._suspects.get((observer, place), float('-inf'))

    def trusted(self, observers, now, place=''):
        """Observers that are not suspect on `place`; all, if none is."""
        trusted = [o for o in observers if not self.is_suspect(o, now, place)]
        return trusted or observers

    def _settle_doubts_on(self, vm):
        for observer, doubts in self._doubts.items():
            if vm in doubts:
                at = max(doubts[vm], self._heartbeats.get(observer, 0.0))
                self._settle_doubt(vm, observer, at)
                return

    def drop(self, vm, observer):
        """Note that `observer` no longer vouches for its view of `vm`.

        The view keeps the age that it has, and goes stale by itself.
        """
        self._forget_doubt(vm, observer)
        view = self._views.get(vm)
        if view is not None and view.observer == observer:
            view.seen_at = self.seen_at(view)
            view.observer = ''
            self._settle_doubts_on(vm)

    def hear(self, observer, now, report_age):
        """Note that all views of `observer` held `report_age` ago."""
        self._heartbeats[observer] = now - report_age
        for vm in tuple(self._doubts.get(observer, ())):
            self._settle_doubt(vm, observer, now - report_age)

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
        since = view.down_since
        place = self._place_of(vm)
        if all(self.is_suspect(n, now, place) for n in view.witnesses):
            if len(view.witnesses) < 2:
                since += CONFIRM_TIME
        return max(now - since, 0.0 if since > now else 1e-9)

    def items(self):
        """All views, sorted by the name of the VM."""
        return [self._views[vm] for vm in sorted(self._views)]

    def views_of(self, observer):
        """Views that `observer` saw itself."""
        return [v for v in self._views.values() if v.observer == observer]


def _key(report):
    if report is None:
        return None
    return (
        report.group,
        report.generation,
        report.state,
        report.model,
        report.version,
    )
