"""Lease of one shard: when to take it, renew it, and stop acting on it.

No clocks are compared between nodes. A holder counts from the moment it
*sent* its last renewal; a candidate counts from the moment it *saw* the last
change of the lease object. The second is never before the first.
"""

import dataclasses

from balsamwind import objects

RENEW_SHARE = 1.0 / 3.0
"""Part of the duration after which the holder renews."""

FOREIGN_WAIT = 2.0
"""Durations that a node of another data centre waits longer."""


@dataclasses.dataclass(slots=True, frozen=True)
class WriteLease:
    """Write the lease object if it has the expected revision.

    Parameters
    ----------
    value : balsamwind.objects.Lease
        The new lease.
    expected : int
        Revision that the object must have (0: no object).
    """

    value: objects.Lease
    expected: int


class LeaseKeeper:
    """One node's part in the lease of one shard.

    Parameters
    ----------
    shard, node : str
        Which shard, and this node.
    duration, margin : float
        How long a renewal lasts, and the safety margin (seconds).
    extra_wait : float
        How much longer than the duration this node waits before it takes
        over (seconds).
    """

    __slots__ = (
        '_deadline',
        '_duration',
        '_extra_wait',
        '_fencing',
        '_first_wait',
        '_free_since',
        '_inherited_wait',
        '_margin',
        '_node',
        '_not_before',
        '_planned_wait',
        '_renew_at',
        '_revision',
        '_shard',
        '_taken_at',
    )

    def __init__(self, shard, node, duration, margin, extra_wait):
        self._shard = shard
        self._node = node
        self._duration = duration
        self._margin = margin
        self._extra_wait = extra_wait
        self._deadline = float('-inf')
        self._renew_at = float('-inf')
        self._taken_at = float('inf')
        self._not_before = float('-inf')
        self._free_since = None
        self._first_wait = 0.0
        self._planned_wait = None
        self._inherited_wait = None
        self._revision = 0
        self._fencing = 0

    @property
    def revision(self):
        """Store revision of the write that took the lease."""
        return self._revision

    @property
    def shard(self):
        """Name of the shard."""
        return self._shard

    @property
    def fencing(self):
        """Fencing number of the lease held, or last held."""
        return self._fencing

    def set_extra_wait(self, wait):
        """How much longer than the duration this node waits (seconds)."""
        self._extra_wait = wait

    def set_first_wait(self, wait):
        """How long to leave a lease that never was to others (seconds)."""
        self._first_wait = wait

    def find_wait(self, lease):
        """How long unchanged until this node may take it (seconds)."""
        if not lease.holder:
            return self._extra_wait
        return lease.duration + self._margin + self._extra_wait

    def holds(self, now):
        """Whether this node may act for the shard at `now`."""
        return now < self._deadline

    def held_for(self, now):
        """How long this node has held the lease (seconds)."""
        return now - self._taken_at if self.holds(now) else 0.0

    def may_order(self, now, order_timeout):
        """Whether no order of the previous holder can still arrive.

        Parameters
        ----------
        now : float
            Monotonic time (seconds).
        order_timeout : float
            Time-out of one order (seconds).

        Notes
        -----
        Only engines that ignore fencing numbers need the wait. It ends one
        lease and one order time-out after the take-over. An order that was
        held back longer is seen by the generation that the engine reports.
        """
        if not self.holds(now):
            return False
        wait = self._inherited_wait
        return wait is None or self.held_for(now) >= wait + order_timeout

    def back_off(self, until):
        """Do not try to take the lease before `until` (seconds)."""
        self._not_before = until

    def plan(self, stored, age, now, operation):
        """Decide whether to write the lease.

        Parameters
        ----------
        stored : balsamwind.objects.Stored or None
            The lease object as known here.
        age : float
            Time since this version was first seen here (seconds).
        now : float
            Monotonic time (seconds).
        operation : str
            Id of the write.

        Returns
        -------
        WriteLease or None
        """
        if now < self._not_before and not self.holds(now):
            return None
        if self._waits_for_others(stored, now):
            return None
        if stored is None:
            return self._write(1, 0, operation)
        lease = stored.value
        self._planned_wait = None
        if lease.holder == self._node:
            if self.holds(now) and now < self._renew_at:
                return None
            fencing = lease.fencing + (0 if self.holds(now) else 1)
            return self._write(fencing, stored.revision, operation)
        if lease.holder and age < self.find_wait(lease):
            return None
        self._planned_wait = lease.duration if lease.holder else 0.0
        return self._write(lease.fencing + 1, stored.revision, operation)

    def _waits_for_others(self, stored, now):
        """Whether a free lease is left to nodes that wait less."""
        if stored is not None and stored.value.holder:
            self._free_since = None
            return False
        if self._free_since is None:
            self._free_since = now
        wait = self._extra_wait
        if stored is None:
            wait += self._first_wait
        return now - self._free_since < wait

    def _write(self, fencing, expected, operation):
        lease = objects.Lease(
            self._shard, self._node, fencing, self._duration, operation
        )
        return WriteLease(lease, expected)

    def accept(self, lease, sent_at, revision=0):
        """Note that a write sent at `sent_at` took effect."""
        if lease.fencing != self._fencing:
            self._taken_at = sent_at
            self._revision = revision
            self._inherited_wait = self._planned_wait
        self._fencing = lease.fencing
        self._deadline = sent_at + self._duration - self._margin
        self._renew_at = sent_at + self._duration * RENEW_SHARE

    def lose(self):
        """Stop acting at once."""
        self._deadline = float('-inf')

    def plan_release(self, stored, operation):
        """Give the lease back, if this node holds it."""
        self.lose()
        if stored is None or stored.value.holder != self._node:
            return None
        lease = objects.Lease(
            self._shard,
            '',
            stored.value.fencing,
            self._duration,
            operation,
        )
        return WriteLease(lease, stored.revision)
