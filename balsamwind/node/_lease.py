"""Lease of a shard, kept in the platform's store."""

import uuid

from balsamwind import control
from balsamwind import exceptions

DURATION = 2.0
"""How long one renewal lasts (seconds)."""

MARGIN = 0.3
"""Part of the duration in which the holder no longer acts (seconds)."""

FOREIGN_WAITS = (0.5, 0.5, 1.2)
"""How much longer a node of another data centre waits, by the number of nodes
that the lease's own one has (seconds)."""

LONG_FOREIGN_WAIT = 2.5
"""The same where it has more nodes (seconds)."""

LOOK_INTERVALS = (0.7, 0.7, 2.0)
"""How often the first nodes of a data centre look at its lease (seconds)."""

LATER_LOOK_INTERVAL = 12.0
"""How often the other nodes look at it (seconds)."""

FOREIGN_LOOK_INTERVALS = (3.0, 6.0, 12.0)
"""How often the first nodes look at the lease of another data centre
(seconds)."""

FEW_NODES = 2
"""Nodes of a data centre up to which others look at its lease more often
(count)."""

FEW_NODES_FACTOR = 3.0
"""How much more often (factor)."""

LATER_FOREIGN_LOOK_INTERVAL = 60.0
"""How often the other nodes look at it (seconds)."""

RANK_WAIT = 0.4
"""How much longer each next node leaves a lease that never was to others
(seconds)."""

CONFLICT_PAUSE = 0.2
"""Wait after a write that another node was faster with (seconds)."""

RENEW_RETRY = 0.25
"""Wait after a renewal that failed (seconds)."""

CALL_TIMEOUT = 0.5
"""Longest wait for the store's answer (seconds)."""


class ShardLease:
    """One node's part in the lease of one shard.

    Parameters
    ----------
    shard : str
        Name of the shard.
    node : str
        This node.
    own : bool
        Whether the shard is of this node's data centre.
    outside, clock, log
        The platform, boot time, log.
    """

    def __init__(self, shard, node, own, outside, clock, log):
        self.shard = shard
        self._outside = outside
        self._clock = clock
        self._log = log
        self._own = own
        self._rank = 0
        self._candidates = FEW_NODES + 1
        self._keeper = control.LeaseKeeper(
            shard, node, DURATION, MARGIN, 0.0 if own else LONG_FOREIGN_WAIT
        )
        self._stored = None
        self._seen_at = clock.monotonic()
        self._look_at = 0.0
        self._write_at = 0.0
        self._held = False

    @property
    def held(self):
        """Whether this node may act for the shard now."""
        return self._keeper.holds(self._clock.monotonic())

    @property
    def fencing(self):
        """Fencing number of the lease held."""
        return self._keeper.fencing

    def lose(self, reason):
        """Stop acting at once."""
        self._log.warning('lease_refused', fencing=self.fencing, reason=reason)
        self._keeper.lose()
        self._keeper.back_off(self._clock.monotonic() + DURATION)

    def set_rank(self, rank, candidates):
        """Take this node's place among the nodes.

        Parameters
        ----------
        rank : int
            Its place among those of its own data centre.
        candidates : int
            Nodes in the shard's data centre (count).
        """
        self._rank = rank
        self._candidates = candidates
        first_wait = RANK_WAIT * min(rank, len(LOOK_INTERVALS))
        self._keeper.set_first_wait(first_wait)
        if not self._own:
            few = candidates < len(FOREIGN_WAITS)
            wait = FOREIGN_WAITS[candidates] if few else LONG_FOREIGN_WAIT
            self._keeper.set_extra_wait(wait)

    def _find_interval(self):
        if self._own:
            first, later = LOOK_INTERVALS, LATER_LOOK_INTERVAL
        else:
            first, later = FOREIGN_LOOK_INTERVALS, LATER_FOREIGN_LOOK_INTERVAL
        interval = first[self._rank] if self._rank < len(first) else later
        if not self._own and self._candidates <= FEW_NODES:
            return interval / FEW_NODES_FACTOR
        return interval

    async def step(self):
        """Look at the lease, and take or renew it when that is due.

        A lease is taken on a look of this step only: what was seen earlier
        may have been renewed since.
        """
        now = self._clock.monotonic()
        try:
            if self.held:
                if now >= self._write_at:
                    await self._write()
            elif now >= self._look_at:
                self._look_at = now + self._find_interval()
                await self._look()
                await self._write()
        except exceptions.Conflict:
            self._keeper.lose()
            self._look_at = self._clock.monotonic() + CONFLICT_PAUSE
        except exceptions.StoreError as error:
            self._log.debug('lease_call_failed', reason=str(error))
            self._write_at = self._clock.monotonic() + RENEW_RETRY
        self._note_change()

    async def _look(self):
        found = await self._outside.read_lease(self.shard, CALL_TIMEOUT)
        now = self._clock.monotonic()
        unchanged = found == self._stored
        if not unchanged:
            self._stored = found
            self._seen_at = now
        if found is None or (found.value.holder and not unchanged):
            return
        # Look again as soon as the lease could be taken.
        wait = self._keeper.find_wait(found.value)
        free_at = self._seen_at + wait
        if now < free_at:
            self._look_at = min(self._look_at, free_at)

    async def _write(self):
        now = self._clock.monotonic()
        decision = self._keeper.plan(
            self._stored, now - self._seen_at, now, uuid.uuid4().hex[:12]
        )
        if decision is None:
            return
        try:
            written = await self._outside.write_lease(
                decision.value, decision.expected, CALL_TIMEOUT
            )
        except exceptions.StoreError:
            # The write may have taken effect: read before the next one.
            written = await self._outside.read_lease(self.shard, CALL_TIMEOUT)
            if written is None or written.value != decision.value:
                raise
        self._stored = written
        self._seen_at = now
        self._keeper.accept(decision.value, now, written.revision)

    def _note_change(self):
        held = self.held
        if held != self._held:
            self._held = held
            self._log.info(
                'lease_taken' if held else 'lease_lost', fencing=self.fencing
            )

    async def release(self):
        """Give the lease back, if this node holds it."""
        decision = self._keeper.plan_release(self._stored, uuid.uuid4().hex)
        if decision is None:
            return
        try:
            await self._outside.write_lease(
                decision.value, decision.expected, CALL_TIMEOUT
            )
        except (exceptions.StoreError, exceptions.Conflict) as error:
            self._log.info('lease_not_returned', reason=str(error))
        self._note_change()
