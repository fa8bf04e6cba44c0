"""Orders to the engines of a shard, each on what the engine has accepted.

An entry may be older than what the engine does: it is kept through an outage
of the store. An order to join stands on the engine's own report, and the order
is void if the engine has begun another one since that report.
"""

import asyncio
import contextvars

from balsamwind import exceptions
from balsamwind import pool

ORDER_TIMEOUT = 0.5
"""Timeout of one order to an engine (seconds)."""

LATE_ORDER_TIME = 13.0
"""Time within which an engine may still carry out an order that it has not
answered (seconds)."""

PLANNED_UNDER = contextvars.ContextVar('planned_under', default=None)
"""Fencing number of the lease under which the running action was planned; None
outside of actions."""


class OrderSender:
    """Sends orders while the lease of the shard is held.

    Parameters
    ----------
    platform : balsamwind.platform.PlatformClient
        Client of the engines.
    registry : balsamwind.pool.ServerRegistry
        Entries of the backend servers.
    lease : ShardLease
        Lease of the shard.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the shard.

    Attributes
    ----------
    reported : balsamwind.pool.ReportedMemberships
        Corrects the entries that reports have refuted.
    """

    def __init__(self, platform, registry, lease, clock, log):
        self.reported = pool.ReportedMemberships(clock)
        self._platform = platform
        self._registry = registry
        self._lease = lease
        self._clock = clock
        self._log = log
        self._unanswered = {}
        self._sequences = {}
        self._judged = set()
        self._counted_under = lease.fencing

    def find_unanswered(self, order_type):
        """Find the engines that may still carry out an unanswered order.

        Parameters
        ----------
        order_type : type
            `balsamwind.pool.Join`, `balsamwind.pool.Open` or
            `balsamwind.pool.Leave`.

        Returns
        -------
        frozenset of str
            Ids of the engines.
        """
        now = self._clock.monotonic()
        for key, expires_at in list(self._unanswered.items()):
            if now >= expires_at:
                del self._unanswered[key]
        return frozenset(
            server_id
            for server_id, found_type in self._unanswered
            if found_type is order_type
        )

    async def check_members(self, members, order):
        """Check that the engines that are to join are what entries say.

        None of them is moved if one is not.

        Raises
        ------
        balsamwind.exceptions.Conflict
            One of them is in another group, or has started again.
        balsamwind.exceptions.TransportError
            One of them does not answer.
        """
        await asyncio.gather(
            *(self._find_sequence(member, order) for member in members)
        )

    @property
    def is_plan_current(self):
        """Whether the lease of the running action's plan is still held.

        What the plan stands on was judged before another node may have led.
        """
        return self._lease.held and PLANNED_UNDER.get() in (
            None,
            self._lease.fencing,
        )

    def _check_lease(self):
        if not self.is_plan_current:
            raise exceptions.Conflict(
                'the lease of the plan is no longer held'
            )

    async def send(self, record, order):
        """Send one order once and return its result.

        Raises
        ------
        balsamwind.exceptions.Conflict
            The lease of the plan is no longer held, or the order is to join
            and the engine is not what its entry says.
        """
        self._check_lease()
        sequence = await self._find_sequence(record, order)
        self._check_lease()
        result = await self._platform.send_order(
            record, order, self._lease.fencing, sequence, ORDER_TIMEOUT
        )
        self._record_result(record, order, sequence, result)
        self._record_answer(record, order, result)
        if result is pool.OrderResult.FENCED:
            self._lease.step_down(f'{record.server_id}: {order}')
        self._log.debug(
            'order',
            engine=record.server_id,
            order=repr(order),
            result=result.value,
        )
        return result

    async def _find_sequence(self, record, order):
        """Return the number of orders that the engine has accepted so far.

        Orders are counted from the start of the engine's process. The engine
        may have carried out other orders since its entry was written: one
        that is in another group by now, or heads an open one, must not join
        until the planner has judged that group. A number that was counted
        under an earlier lease says nothing: another leader may have opened
        the group that an engine joined then. Nor does one that was read for
        an order of another kind, without a look at the group.

        Raises
        ------
        balsamwind.exceptions.Conflict
            The order is to join, and the engine is not what its entry says.
        """
        if self._counted_under != self._lease.fencing:
            self._counted_under = self._lease.fencing
            self._sequences.clear()
            self._judged.clear()
        incarnation = (record.server_id, record.born)
        is_join = isinstance(order, pool.Join)
        sequence = self._sequences.get(incarnation)
        if sequence is None or (is_join and incarnation not in self._judged):
            report = await self._platform.fetch_engine_report(
                record, ORDER_TIMEOUT
            )
            self._check_lease()
            if is_join:
                self._check_membership(record, report, order)
                check_not_serving(record, report)
                self._judged.add(incarnation)
            sequence = self._sequences[incarnation] = report.sequence
        return sequence

    def _check_membership(self, record, report, order):
        """Check that the engine is in no other group than the entry says.

        That it has joined the group of the order already is no conflict.
        """
        reported = report.membership
        if (
            report.born == record.born
            and reported is not None
            and reported.key == (order.group, order.epoch)
        ) or not pool.is_refuted(record, report):
            return
        self.reported.record(record, report)
        self._registry.apply_report(record.server_id, report)
        now = self._clock.monotonic()
        self._log.info(
            'order_refuted',
            engine=record.server_id,
            order=repr(order),
            entry=repr(record.membership),
            entry_age=round(
                self._registry.confirmed_for(record.server_id, now), 3
            ),
            report=repr(reported),
            restarted=report.born != record.born,
        )
        raise exceptions.Conflict(
            f'{record.server_id} is not what its entry says: {reported}'
        )

    def _record_result(self, record, order, sequence, result):
        incarnation = (record.server_id, record.born)
        if result is pool.OrderResult.BEGUN:
            self._sequences[incarnation] = sequence + 1
        elif result is not pool.OrderResult.DONE:
            self._sequences.pop(incarnation, None)
            self._judged.discard(incarnation)
        if result.accepted and _names_group_of(order, record):
            # It is in that group, so its reports, which lag, need not say so.
            self._judged.add(incarnation)

    def _record_answer(self, record, order, result):
        """Note an order without an answer until the engine can't begin it.

        The engine counts its orders, so an order that it has begun since
        makes the earlier ones fail.
        """
        server_id = record.server_id
        if result is pool.OrderResult.BEGUN:
            for order_type in (pool.Join, pool.Open, pool.Leave):
                self._unanswered.pop((server_id, order_type), None)
        elif result is pool.OrderResult.UNKNOWN:
            self._unanswered[server_id, type(order)] = (
                self._clock.monotonic() + LATE_ORDER_TIME
            )


def _names_group_of(order, record):
    """Whether an order names the group that the engine's entry does."""
    return (
        not isinstance(order, pool.Stage)
        and record.membership is not None
        and record.membership.key == (order.group, order.epoch)
    )


def check_not_serving(record, report):
    """Check that an engine is not the head of an open group.

    Raises
    ------
    balsamwind.exceptions.Conflict
        Its report says that it is.
    """
    membership = report.membership
    if (
        report.born == record.born
        and membership is not None
        and membership.rank == 0
        and membership.state
        in (pool.MemberState.OPEN, pool.MemberState.CLOSING)
    ):
        raise exceptions.Conflict(
            f'{record.server_id} is still the head of an open group: '
            f'{membership}'
        )
