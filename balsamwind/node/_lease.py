"""Lease of a shard, which is an object in the platform's store."""

import uuid

from balsamwind import control
from balsamwind import exceptions

LEASE_DURATION = 2.0
"""Duration of the lease after a renewal (seconds)."""

SAFETY_MARGIN = 0.3
"""Time before the lease expires in which its holder no longer acts
(seconds)."""

REMOTE_TAKEOVER_DELAYS = (0.5, 0.5, 1.2)
"""Additional time that a node of another data centre waits before it takes a
free or expired lease, by the number of nodes in the lease's data centre
(seconds)."""

MAX_REMOTE_TAKEOVER_DELAY = 2.5
"""Additional time that it waits where the data centre has more nodes
(seconds)."""

LOCAL_READ_INTERVALS = (0.7, 0.7, 2.0)
"""Time between two reads of the lease of the own data centre, by the rank of
the node in that data centre (seconds)."""

MAX_LOCAL_READ_INTERVAL = 6.0
"""Time between two such reads for nodes of a higher rank (seconds)."""

REMOTE_READ_INTERVALS = (3.0, 6.0, 12.0)
"""Time between two reads of the lease of another data centre, by the rank of
the node in its own data centre (seconds)."""

SMALL_DATA_CENTRE = 2
"""Largest number of nodes of a data centre whose lease the nodes of other data
centres read more often (count)."""

SMALL_DATA_CENTRE_FACTOR = 3.0
"""Factor by which they read it more often."""

MAX_REMOTE_READ_INTERVAL = 60.0
"""Time between two reads of the lease of another data centre, for nodes of a
higher rank (seconds)."""

RANK_DELAY = 0.4
"""Additional time per rank that a node waits before it creates a lease
that does not exist yet (seconds)."""

CONFLICT_BACKOFF = 0.2
"""Wait after a write that failed because another node had written the lease
first (seconds)."""

RENEWAL_RETRY_INTERVAL = 0.25
"""Wait after a renewal that failed (seconds)."""

STANDBY_COUNT = 2
"""Nodes of a data centre, first by rank, that are ready to take over its
lease (count)."""

DISCOVERY_TIME = 2.0
"""Time after the start in which a node waits for its rank (seconds)."""

FIRST_READ_STEPS = 8
"""Steps over which the first reads of nodes of a high rank are spread
(count)."""

FENCING_PER_ERA = 1 << 20
"""Distance of the fencing numbers of two eras of the store, so that none is
used again after changes of the holder were lost (count)."""

DEFERRAL_TIME = 0.6
"""Time for which a node that does not reach the engines leaves the lease to
others, from each time that it sees so (seconds)."""

YIELD_TIME = 3.0
"""Time for which a node that has given up the lease leaves it to others
(seconds)."""

CALL_TIMEOUT = 0.5
"""Timeout of one call to the store (seconds)."""


class ShardLease:
    """Competes for the lease of one shard on behalf of one node.

    Parameters
    ----------
    shard : str
        Name of the shard.
    node : str
        Name of this node.
    local : bool
        Whether the shard is the data centre of this node.
    records : LeaseRecords
        Leases in the store.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the shard.
    """

    def __init__(self, shard, node, local, records, clock, log):
        self.shard = shard
        self._records = records
        self._clock = clock
        self._log = log
        self._local = local
        self._rank = 0
        self._rank_known = False
        self._acts_unranked_at = clock.monotonic() + DISCOVERY_TIME
        self._candidate_count = SMALL_DATA_CENTRE + 1
        self._manager = control.LeaseManager(
            shard,
            node,
            LEASE_DURATION,
            SAFETY_MARGIN,
            0.0 if local else MAX_REMOTE_TAKEOVER_DELAY,
        )
        self._stored = None
        self._unchanged_since = clock.monotonic()
        self._next_read_at = 0.0
        self._next_write_at = 0.0
        self._was_held = False

    @property
    def held(self):
        """Whether this node holds the lease and may act for the shard now."""
        return self._manager.holds(self._clock.monotonic())

    @property
    def is_standby(self):
        """Whether this node is among those that take the lease first."""
        return self._local and self._rank < STANDBY_COUNT

    @property
    def fencing(self):
        """Fencing number of the lease that is held, or was held last."""
        return self._manager.fencing

    def step_down(self, reason):
        """Stop acting for the shard at once.

        Does not compete for the lease again for one lease duration.

        Parameters
        ----------
        reason : str
            Why the lease is given up, for the log.
        """
        self._log.warning('lease_refused', fencing=self.fencing, reason=reason)
        self._manager.invalidate()
        self._manager.back_off(self._clock.monotonic() + LEASE_DURATION)

    def defer(self):
        """Leave the lease to others for a moment, unless it is held."""
        self._manager.back_off(self._clock.monotonic() + DEFERRAL_TIME)

    async def yield_to_others(self, reason):
        """Release the lease, and leave it to other nodes for a while.

        Parameters
        ----------
        reason : str
            Why this node can not act for the shard, for the log.
        """
        self._log.warning('lease_yielded', fencing=self.fencing, reason=reason)
        self._manager.back_off(self._clock.monotonic() + YIELD_TIME)
        await self.release()

    def handle_restored_store(self):
        """Give up the lease, as the store has lost its last changes.

        A holder that does not know this yet acts for one duration at most, so
        the lease is not taken sooner.
        """
        now = self._clock.monotonic()
        self._manager.invalidate()
        self._manager.back_off(now + LEASE_DURATION)
        self._stored = None
        self._unchanged_since = now
        self._next_read_at = now
        self._log_change()

    def set_rank(self, rank, candidate_count):
        """Set the rank that determines how often and how early this node acts.

        Parameters
        ----------
        rank : int
            Rank of this node among the nodes of its own data centre; 0 is the
            first.
        candidate_count : int
            Nodes in the shard's data centre (count).
        """
        self._rank = rank
        self._candidate_count = candidate_count
        if not self._rank_known:
            self._rank_known = True
            self._next_read_at = self._find_first_read_time()
        first_wait = RANK_DELAY * min(rank, len(LOCAL_READ_INTERVALS))
        self._manager.set_creation_delay(first_wait)
        if not self._local:
            is_small = candidate_count < len(REMOTE_TAKEOVER_DELAYS)
            wait = (
                REMOTE_TAKEOVER_DELAYS[candidate_count]
                if is_small
                else MAX_REMOTE_TAKEOVER_DELAY
            )
            self._manager.set_extra_takeover_delay(wait)

    def time_to_next_read(self):
        """Return the time until the lease is read again (seconds)."""
        return self._next_read_at - self._clock.monotonic()

    def _find_read_interval(self):
        if self._local:
            by_rank, longest = LOCAL_READ_INTERVALS, MAX_LOCAL_READ_INTERVAL
        else:
            by_rank, longest = REMOTE_READ_INTERVALS, MAX_REMOTE_READ_INTERVAL
        interval = (
            by_rank[self._rank] if self._rank < len(by_rank) else longest
        )
        if not self._local and self._candidate_count <= SMALL_DATA_CENTRE:
            return interval / SMALL_DATA_CENTRE_FACTOR
        return interval

    def _find_first_read_time(self):
        """Spread the first reads of the nodes of a high rank over time."""
        if self._rank < len(LOCAL_READ_INTERVALS):
            return 0.0
        fraction = self._rank % FIRST_READ_STEPS / FIRST_READ_STEPS
        return self._clock.monotonic() + fraction * self._find_read_interval()

    async def step(self):
        """Read the lease, and take or renew it when that is due.

        A read that may be stale shows whether the lease looks free. It is
        only taken on a current read of the same step, because it may have
        been renewed since.
        """
        now = self._clock.monotonic()
        if not self._rank_known and now < self._acts_unranked_at:
            return
        try:
            if self.held:
                if now >= self._next_write_at:
                    await self._write()
            elif now >= self._next_read_at:
                self._next_read_at = now + self._find_read_interval()
                await self._read(may_be_stale=True)
                if self._plan_write() is not None:
                    await self._read(may_be_stale=False)
                    await self._write()
        except exceptions.Conflict:
            self._manager.invalidate()
            self._next_read_at = self._clock.monotonic() + CONFLICT_BACKOFF
        except exceptions.StoreError as error:
            self._log.debug('lease_call_failed', reason=str(error))
            self._next_write_at = (
                self._clock.monotonic() + RENEWAL_RETRY_INTERVAL
            )
        self._log_change()

    async def _read(self, may_be_stale):
        found = await self._records.read_lease(
            self.shard, CALL_TIMEOUT, may_be_stale
        )
        if may_be_stale and _is_older(found, self._stored):
            return
        now = self._clock.monotonic()
        unchanged = found == self._stored
        if not unchanged:
            self._stored = found
            self._unchanged_since = now
        if found is None or (found.value.holder and not unchanged):
            return
        # Read again as soon as this node may take the lease.
        wait = self._manager.get_takeover_delay(found.value)
        takeover_at = self._unchanged_since + wait
        if now < takeover_at:
            self._next_read_at = min(self._next_read_at, takeover_at)

    def _plan_write(self):
        now = self._clock.monotonic()
        self._manager.set_min_fencing(self._records.era * FENCING_PER_ERA)
        return self._manager.plan_write(
            self._stored,
            now - self._unchanged_since,
            now,
            uuid.uuid4().hex[:12],
        )

    async def _write(self):
        now = self._clock.monotonic()
        decision = self._plan_write()
        if decision is None:
            return
        try:
            written = await self._records.write_lease(
                decision.value, decision.expected, CALL_TIMEOUT
            )
        except exceptions.StoreError:
            # The write may have taken effect, so the lease is read back.
            written = await self._records.read_lease(self.shard, CALL_TIMEOUT)
            if written is None or written.value != decision.value:
                raise
        self._stored = written
        self._unchanged_since = now
        self._manager.confirm_write(decision.value, now, written.revision)

    def _log_change(self):
        held = self.held
        if held != self._was_held:
            self._was_held = held
            self._log.info(
                'lease_taken' if held else 'lease_lost', fencing=self.fencing
            )

    async def release(self):
        """Release the lease, if this node holds it."""
        decision = self._manager.plan_release(self._stored, uuid.uuid4().hex)
        if decision is None:
            return
        try:
            await self._records.write_lease(
                decision.value, decision.expected, CALL_TIMEOUT
            )
        except (exceptions.StoreError, exceptions.Conflict) as error:
            self._log.info('lease_not_returned', reason=str(error))
        self._log_change()


def _is_older(found, known):
    """Whether a read that may be stale returned less than what is known."""
    if known is None:
        return False
    return found is None or found.revision < known.revision
