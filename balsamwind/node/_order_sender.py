"""Orders to the engines of a shard, each on what the engine has accepted."""

from balsamwind import exceptions
from balsamwind import pool

ORDER_TIMEOUT = 0.5
"""Timeout of one order to an engine (seconds)."""

LATE_ORDER_TIME = 13.0
"""Time within which an engine may still carry out an order that it has not
answered (seconds)."""


class OrderSender:
    """Sends orders while the lease of the shard is held.

    Parameters
    ----------
    platform : balsamwind.platform.PlatformClient
        Client of the engines.
    lease : ShardLease
        Lease of the shard.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the shard.
    """

    def __init__(self, platform, lease, clock, log):
        self._platform = platform
        self._lease = lease
        self._clock = clock
        self._log = log
        self._unanswered = {}
        self._sequences = {}

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

    async def send(self, record, order):
        """Send one order once and return its result.

        Raises
        ------
        balsamwind.exceptions.Conflict
            The lease is no longer held.
        """
        if not self._lease.held:
            raise exceptions.Conflict('the lease is no longer held')
        sequence = await self._find_sequence(record, order)
        if not self._lease.held:
            raise exceptions.Conflict('the lease is no longer held')
        result = await self._platform.send_order(
            record, order, self._lease.fencing, sequence, ORDER_TIMEOUT
        )
        self._record_result(record, sequence, result)
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
        may have carried out a late order since its group was checked: one
        that heads an open group by now must not join another.

        Raises
        ------
        balsamwind.exceptions.Conflict
            The order is to join, and the engine heads an open group.
        """
        incarnation = (record.server_id, record.born)
        sequence = self._sequences.get(incarnation)
        if sequence is None:
            report = await self._platform.fetch_engine_report(
                record, ORDER_TIMEOUT
            )
            if isinstance(order, pool.Join):
                check_not_serving(record, report)
            sequence = self._sequences[incarnation] = report.sequence
        return sequence

    def _record_result(self, record, sequence, result):
        incarnation = (record.server_id, record.born)
        if result is pool.OrderResult.BEGUN:
            self._sequences[incarnation] = sequence + 1
        elif result is not pool.OrderResult.DONE:
            self._sequences.pop(incarnation, None)

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
