"""Planned stop of a node: what it hands over, finishes and refuses."""

import asyncio

READINESS_PROPAGATION_TIME = 2.6
"""Time after readiness has ended until no new connections are opened to this
node (seconds)."""

EXIT_MARGIN = 0.6
"""Time before the end of the grace period at which the process exits
(seconds)."""

LAST_ANSWERS_TIME = 0.2
"""Part of that margin in which requests that are still open get their final
answers (seconds)."""

LAST_ANSWERS_POLL_INTERVAL = 0.01
"""Time between two checks for them (seconds)."""

DRAIN_POLL_INTERVAL = 0.05
"""Time between two checks for open requests while draining (seconds)."""


class Drain:
    """Ends the work of a node within the grace period.

    One rule holds for all connections of callers. From the start, each answer
    that begins announces the close of its connection. From the moment at which
    no new connections come any more, a connection is closed when it is idle,
    and a request that is complete later is refused as not run.

    Parameters
    ----------
    grace : float
        Time from the start until the process is killed (seconds).
    relay : balsamwind.relay.Relay
        Request path.
    attempt_carrier : balsamwind.relay.AttemptCarrier
        Carries attempts of other nodes.
    caller_server : balsamwind.adapters.RelayServer
        Connections of the callers.
    leases : list of ShardLease
        Leases that are released.
    has_untold : callable
        Returns whether this node knows of ends of servers that it has not
        told others yet.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.
    """

    __slots__ = (
        '_attempt_carrier',
        '_caller_server',
        '_clock',
        '_exit_time',
        '_has_untold',
        '_leases',
        '_log',
        '_relay',
    )

    def __init__(
        self,
        grace,
        relay,
        attempt_carrier,
        caller_server,
        leases,
        has_untold,
        clock,
        log,
    ):
        self._exit_time = grace - EXIT_MARGIN
        self._relay = relay
        self._attempt_carrier = attempt_carrier
        self._caller_server = caller_server
        self._leases = leases
        self._has_untold = has_untold
        self._clock = clock
        self._log = log

    @property
    def _has_open_work(self):
        return bool(
            self._relay.open_requests
            or self._attempt_carrier.open_attempts
            or self._relay.crash_reporter.has_open_checks
            or self._has_untold()
        )

    async def run(self):
        """Drain the node; all times are counted from the call."""
        deadline = self._clock.monotonic() + self._exit_time
        self._log.info('draining', open_requests=self._relay.open_requests)
        self._attempt_carrier.is_draining = True
        self._caller_server.disable_keep_alive()
        results = await asyncio.gather(
            self._close_callers(),
            *(lease.release() for lease in self._leases),
            return_exceptions=True,
        )
        for error in filter(None, results):
            self._log.error('drain_step_failed', error=repr(error))
        while self._has_open_work and self._clock.monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        if self._relay.open_requests:
            await self._end_open_requests()
        self._log.info('drained', open_requests=self._relay.open_requests)

    async def _close_callers(self):
        """Close connections without a request, and take no further ones.

        A request that arrives later could not finish in time.
        """
        await asyncio.sleep(
            min(READINESS_PROPAGATION_TIME, self._exit_time / 2)
        )
        self._relay.refuses_new = True
        self._caller_server.stop()
        self._caller_server.close_idle()
        await asyncio.sleep(DRAIN_POLL_INTERVAL)

    async def _end_open_requests(self):
        """Answer the requests that are open when this node must exit."""
        self._log.warning(
            'requests_ended_at_exit', open_requests=self._relay.open_requests
        )
        self._relay.end_open_requests()
        deadline = self._clock.monotonic() + LAST_ANSWERS_TIME
        while self._relay.open_requests and self._clock.monotonic() < deadline:
            await asyncio.sleep(LAST_ANSWERS_POLL_INTERVAL)
