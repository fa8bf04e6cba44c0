"""Requests to another node to choose the backends of this node's attempts."""

import asyncio
import dataclasses

from balsamwind.node import _updates
from balsamwind import relay

PLACEMENT_TIMEOUT = 0.03
"""Longest wait for the answer of the placing node (seconds). A choice without
it is worse, and a later one delays the first event."""

MAX_TIMEOUTS = 3
"""Consecutive timeouts after which the placing node is not asked for a while
(count)."""

WAITING_TIMEOUT = 0.6
"""Longest time without a sign of a publisher at which a request waits
(seconds). It sends one every quarter of a second."""

SUCCESSION_TIMEOUT = 0.2
"""Longest wait for the next publisher after the loss of the one at which a
request waits (seconds). The next one is tried after 0.05 s."""

LOST = object()
"""Stands for the answer of a publisher that was lost."""

TIMEOUT_PAUSE = 1.0
"""Time for which it is not asked then (seconds)."""


class PlacementClient:
    """Asks the publisher that this node is connected to for placements.

    Parameters
    ----------
    link : PublisherLink
        Connection to the publisher.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.

    Attributes
    ----------
    convert_time : callable
        Takes a boot time of the publisher and returns a lower bound of the
        same moment by the clock of this node (seconds).
    """

    __slots__ = (
        '_clock',
        '_connected',
        '_link',
        '_log',
        '_next_number',
        '_paused_until',
        '_pending',
        '_timeouts',
        'convert_time',
    )

    def __init__(self, link, clock, log):
        self._clock = clock
        self._log = log
        self._link = link
        self._next_number = 0
        self._pending = {}
        self._connected = asyncio.Event()
        self._timeouts = 0
        self._paused_until = float('-inf')
        self.convert_time = lambda publisher_time: float('-inf')

    def reset(self):
        """Ask the publisher of a new connection without a pause."""
        self._timeouts = 0
        self._paused_until = float('-inf')
        self._connected.set()

    def handle_loss(self):
        """Let the requests that wait at the publisher look for another."""
        self._connected.clear()
        for pending in self._pending.values():
            pending.lose()

    async def place(
        self,
        service,
        requirements,
        tried,
        quiet,
        max_wait=0.0,
        on_waiting=lambda: None,
    ):
        """Ask for the backend of one attempt.

        Parameters
        ----------
        service : balsamwind.traffic.Service
            Service of model engines.
        requirements : balsamwind.relay.RequestRequirements
            What the request needs.
        tried : iterable of tuple
            Keys of the backends that earlier attempts of the request used.
        quiet : balsamwind.relay.QuietServers
            Servers that get no requests of this node for a while.
        max_wait : float
            How long the answer may be waited for if the publisher says that
            the request waits (seconds); 0 if it may not wait.
        on_waiting : callable
            Called without arguments when the publisher says so.

        Returns
        -------
        balsamwind.relay.Placement, NoBackendAvailable or None
            None if no node answers in time; this node then chooses itself.
        """
        began_at = self._clock.monotonic()
        waited = 0.0
        while True:
            placed = await self._ask(
                service,
                _shorten(requirements, waited),
                tried,
                quiet,
                max(max_wait - waited, 0.0),
                waited,
                on_waiting,
            )
            if placed is not LOST or not await self._wait_for_connection():
                return None if placed is LOST else placed
            waited = self._clock.monotonic() - began_at

    async def _wait_for_connection(self):
        """Wait for the next publisher; tell whether there is one in time."""
        try:
            async with asyncio.timeout(SUCCESSION_TIMEOUT):
                await self._connected.wait()
        except TimeoutError:
            return False
        return True

    async def _ask(
        self,
        service,
        requirements,
        tried,
        quiet,
        max_wait,
        waited,
        on_waiting,
    ):
        """Ask the publisher of the current connection.

        Returns
        -------
        balsamwind.relay.Placement, NoBackendAvailable or None
            `LOST` if the connection was lost while the request waited.
        """
        now = self._clock.monotonic()
        if not self._link.is_open or now < self._paused_until:
            return None
        self._next_number += 1
        number = self._next_number
        request = _updates.PlacementRequest(
            number,
            service.name,
            requirements,
            tuple(relay.BackendKey(*key) for key in tried),
            quiet.list(now),
            max_wait,
            waited,
        )
        pending = self._pending[number] = _PendingPlacement(on_waiting)
        self._link.send(request)
        try:
            async with asyncio.timeout(PLACEMENT_TIMEOUT) as timeout:
                pending.timeout = timeout
                return self._decode_reply(await pending.reply)
        except TimeoutError:
            self._record_timeout()
            self.end(number, relay.Outcome.REFUSED, None)
            return None
        except asyncio.CancelledError:
            self.end(number, relay.Outcome.REFUSED, None)
            raise
        finally:
            del self._pending[number]

    def _record_timeout(self):
        self._timeouts += 1
        if self._timeouts >= MAX_TIMEOUTS:
            self._timeouts = 0
            self._paused_until = self._clock.monotonic() + TIMEOUT_PAUSE
            self._log.info('placement_paused', seconds=TIMEOUT_PAUSE)

    def _decode_reply(self, reply):
        if reply is None or reply is LOST:
            return reply
        if reply.key is not None:
            return relay.Placement(
                reply.number, reply.key, self.convert_time(reply.chosen_at)
            )
        if reply.reason:
            return relay.NoBackendAvailable(reply.reason, reply.retry_after)
        return None

    def handle_reply(self, reply):
        """Handle a reply of the publisher.

        Parameters
        ----------
        reply : PlacementReply
            The reply; one that comes too late is given back.
        """
        pending = self._pending.get(reply.number)
        if pending is not None and not pending.reply.done():
            self._timeouts = 0
            pending.reply.set_result(reply)
        elif reply.key is not None:
            self.end(reply.number, relay.Outcome.REFUSED, None)

    def handle_waiting(self, message):
        """Handle the publisher's statement that a request waits.

        Parameters
        ----------
        message : PlacementWaiting
            The statement; one that comes too late is ignored.
        """
        pending = self._pending.get(message.number)
        if pending is not None and not pending.reply.done():
            self._timeouts = 0
            pending.extend()

    def report_stall(self, number):
        """Tell the publisher that a placed attempt makes no progress.

        Parameters
        ----------
        number : int
            Number of the placement.
        """
        self._link.send(_updates.PlacementStall(number))

    def report_progress(self, number, time_to_first_event, load):
        """Tell the publisher that the answer to a placed attempt has begun.

        Parameters
        ----------
        number : int
            Number of the placement.
        time_to_first_event : float
            Time from the send to the first event (seconds).
        load : balsamwind.relay.ReportedLoad or None
            Load that the backend reported with the answer.
        """
        if _updates.PROGRESS in self._link.features:
            self._link.send(
                _updates.PlacementProgress(number, time_to_first_event, load)
            )

    def end(self, number, outcome, load):
        """Tell the publisher that a placed attempt has ended.

        Parameters
        ----------
        number : int
            Number of the placement.
        outcome : balsamwind.relay.Outcome
            How it ended.
        load : balsamwind.relay.ReportedLoad or None
            Load that the backend reported with a refusal.
        """
        self._link.send(_updates.PlacementEnd(number, outcome, load))


class _PendingPlacement:
    """Request to the publisher that has no answer yet."""

    __slots__ = ('_is_waiting', '_on_waiting', 'reply', 'timeout')

    def __init__(self, on_waiting):
        self._on_waiting = on_waiting
        self._is_waiting = False
        self.reply = asyncio.get_running_loop().create_future()
        self.timeout = None

    def extend(self):
        """Wait for a further sign of the publisher."""
        self._is_waiting = True
        self._on_waiting()
        if self.timeout is not None and not self.timeout.expired():
            now = asyncio.get_running_loop().time()
            self.timeout.reschedule(now + WAITING_TIMEOUT)

    def lose(self):
        """Stop waiting, as the connection was lost."""
        if not self.reply.done():
            self.reply.set_result(LOST if self._is_waiting else None)


def _shorten(requirements, waited):
    """Take the time that a request has waited off the time that it has."""
    if not waited:
        return requirements
    return dataclasses.replace(
        requirements,
        time_left=requirements.time_left - waited,
        latency_objective=requirements.latency_objective - waited,
    )
