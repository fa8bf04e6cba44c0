"""Lease of one shard: when to acquire, renew and stop relying on it.

Clocks of different nodes are never compared. A holder measures the lease
duration from the moment at which it *sent* its last renewal, and a candidate
from the moment at which it *observed* the last change of the lease object. The
second moment is never before the first, so a candidate never takes over early.
"""

import dataclasses

from balsamwind import objects

RENEW_FRACTION = 1.0 / 3.0
"""Fraction of the lease duration after which the holder renews."""

REMOTE_WAIT = 2.0
"""Extra takeover delay of nodes of other data centres (lease durations)."""


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseWrite:
    """Write the lease object if its current revision is the expected one.

    Parameters
    ----------
    value : balsamwind.objects.Lease
        New value of the lease.
    expected : int
        Revision that the object must have; 0 if it must not exist.
    """

    value: objects.Lease
    expected: int


class LeaseManager:
    """Decides when one node acquires, renews and releases a shard's lease.

    It does no I/O: the caller sends the planned writes and reports their
    results.

    Parameters
    ----------
    shard : str
        Name of the shard.
    node : str
        Name of this node.
    duration : float
        How long one renewal lasts (seconds).
    margin : float
        Safety margin for clock drift (seconds). The holder stops acting this
        much before the end of the duration, and a candidate takes over this
        much after it.
    extra_takeover_delay : float
        Additional delay before this node acquires a lease that is free or
        that another node held (seconds).
    """

    __slots__ = (
        '_acquired_at',
        '_acquired_revision',
        '_backoff_until',
        '_duration',
        '_extra_takeover_delay',
        '_fencing',
        '_free_since',
        '_held_until',
        '_initial_wait',
        '_margin',
        '_min_fencing',
        '_node',
        '_observed_duration',
        '_previous_duration',
        '_renew_at',
        '_shard',
    )

    def __init__(self, shard, node, duration, margin, extra_takeover_delay):
        self._shard = shard
        self._node = node
        self._duration = duration
        self._margin = margin
        self._extra_takeover_delay = extra_takeover_delay
        self._held_until = float('-inf')
        self._renew_at = float('-inf')
        self._acquired_at = float('inf')
        self._backoff_until = float('-inf')
        self._free_since = None
        self._initial_wait = 0.0
        self._observed_duration = None
        self._previous_duration = None
        self._acquired_revision = 0
        self._fencing = 0
        self._min_fencing = 0

    @property
    def revision(self):
        """Store revision of the write that acquired the lease."""
        return self._acquired_revision

    @property
    def shard(self):
        """Name of the shard."""
        return self._shard

    @property
    def fencing(self):
        """Fencing number of the lease that is held or was held last."""
        return self._fencing

    def set_extra_takeover_delay(self, wait):
        """Set the additional delay before this node acquires the lease.

        Parameters
        ----------
        wait : float
            Additional delay (seconds).
        """
        self._extra_takeover_delay = wait

    def set_creation_delay(self, wait):
        """Set how much longer to wait for a lease that has never existed.

        Parameters
        ----------
        wait : float
            Time left to other nodes to create the lease, in addition to the
            extra wait (seconds).
        """
        self._initial_wait = wait

    def set_min_fencing(self, fencing):
        """Set the lowest fencing number of a lease that this node takes.

        Parameters
        ----------
        fencing : int
            Number above all that were used before the store lost changes.
        """
        self._min_fencing = fencing

    def get_takeover_delay(self, lease):
        """Return how long a lease must be unchanged before a takeover.

        Parameters
        ----------
        lease : balsamwind.objects.Lease
            The lease as stored.

        Returns
        -------
        float
            Time since the last observed change (seconds).
        """
        if not lease.holder:
            return self._extra_takeover_delay
        return lease.duration + self._margin + self._extra_takeover_delay

    def holds(self, now):
        """Whether this node holds the lease.

        Parameters
        ----------
        now : float
            Monotonic time (seconds).
        """
        return now < self._held_until

    def held_for(self, now):
        """Return for how long this node has held the lease (seconds).

        It is 0 if the lease is not held at `now`.

        Parameters
        ----------
        now : float
            Monotonic time (seconds).
        """
        return now - self._acquired_at if self.holds(now) else 0.0

    def may_send_orders(self, now, order_timeout):
        """Whether orders of the previous holder are no longer expected.

        Parameters
        ----------
        now : float
            Monotonic time (seconds).
        order_timeout : float
            Time-out of one order (seconds).

        Notes
        -----
        Only engines that ignore fencing numbers require that orders wait.
        The wait ends one lease duration and one order time-out after the
        takeover. An order that is delayed for longer is detected by the
        generation that the engine reports.
        """
        if not self.holds(now):
            return False
        wait = self._previous_duration
        return wait is None or self.held_for(now) >= wait + order_timeout

    def back_off(self, until):
        """Make no attempt to acquire the lease for some time.

        Parameters
        ----------
        until : float
            Monotonic time of the next attempt (seconds).
        """
        self._backoff_until = max(self._backoff_until, until)

    def plan_write(self, stored, age, now, operation):
        """Decide whether to write the lease.

        Parameters
        ----------
        stored : balsamwind.objects.ObjectVersion or None
            Latest version of the lease object that this node has observed.
        age : float
            Time since this node first observed that version (seconds).
        now : float
            Monotonic time (seconds).
        operation : str
            Id of the write.

        Returns
        -------
        LeaseWrite or None
            None if nothing is to be written now.
        """
        if now < self._backoff_until and not self.holds(now):
            return None
        if self._defers_to_others(stored, now):
            return None
        if stored is None:
            return self._write(self._find_next_fencing(0), 0, operation)
        lease = stored.value
        self._observed_duration = None
        if lease.holder == self._node:
            if self.holds(now) and now < self._renew_at:
                return None
            fencing = (
                lease.fencing
                if self.holds(now)
                else self._find_next_fencing(lease.fencing)
            )
            return self._write(fencing, stored.revision, operation)
        if lease.holder and age < self.get_takeover_delay(lease):
            return None
        self._observed_duration = lease.duration if lease.holder else 0.0
        fencing = self._find_next_fencing(lease.fencing)
        return self._write(fencing, stored.revision, operation)

    def _find_next_fencing(self, stored):
        """Return a fencing number above all that are known."""
        return max(stored + 1, self._fencing + 1, self._min_fencing)

    def _defers_to_others(self, stored, now):
        """Whether to leave a free lease to nodes with a shorter wait."""
        if stored is not None and stored.value.holder:
            self._free_since = None
            return False
        if self._free_since is None:
            self._free_since = now
        wait = self._extra_takeover_delay
        if stored is None:
            wait += self._initial_wait
        return now - self._free_since < wait

    def _write(self, fencing, expected, operation):
        lease = objects.Lease(
            self._shard, self._node, fencing, self._duration, operation
        )
        return LeaseWrite(lease, expected)

    def confirm_write(self, lease, sent_at, revision=0):
        """Record that a planned write took effect.

        Parameters
        ----------
        lease : balsamwind.objects.Lease
            The lease as written.
        sent_at : float
            Monotonic time at which the write was sent (seconds).
        revision : int
            Store revision of the write.
        """
        if lease.fencing != self._fencing:
            self._acquired_at = sent_at
            self._acquired_revision = revision
            self._previous_duration = self._observed_duration
        self._fencing = lease.fencing
        self._held_until = sent_at + self._duration - self._margin
        self._renew_at = sent_at + self._duration * RENEW_FRACTION

    def invalidate(self):
        """Stop treating the lease as held, at once."""
        self._held_until = float('-inf')

    def plan_release(self, stored, operation):
        """Plan the release of the lease; it counts as lost from now on.

        Parameters
        ----------
        stored : balsamwind.objects.ObjectVersion or None
            Latest version of the lease object that this node has observed.
        operation : str
            Id of the write.

        Returns
        -------
        LeaseWrite or None
            None if this node is not the holder in `stored`.
        """
        self.invalidate()
        if stored is None or stored.value.holder != self._node:
            return None
        lease = objects.Lease(
            self._shard,
            '',
            stored.value.fencing,
            self._duration,
            operation,
        )
        return LeaseWrite(lease, stored.revision)
