"""Carries out what the request queue decides."""

import asyncio
import contextlib

from balsamwind import admission
from balsamwind import exceptions

TIMER_MARGIN = 0.001
"""Added to a timer, so that it does not fire early (seconds)."""


class Gate:
    """Lets requests of an entry run, wait or be shed.

    Parameters
    ----------
    queue : balsamwind.admission.RequestQueue
        Decides.
    clock : balsamwind.ports.Clock
        Source of time.
    """

    __slots__ = ('_clock', '_futures', '_queue')

    def __init__(self, queue, clock):
        self._queue = queue
        self._clock = clock
        self._futures = {}

    @property
    def queue(self):
        """The queue."""
        return self._queue

    @contextlib.asynccontextmanager
    async def enter(self, customer, priority, deadline):
        """Hold a place until the block ends.

        Yields
        ------
        float
            How long the request waited (seconds).

        Raises
        ------
        balsamwind.exceptions.Overloaded
            The request was shed; it was not run.
        """
        now = self._clock.monotonic()
        ticket = admission.Ticket(customer, priority, deadline, now)
        future = asyncio.get_running_loop().create_future()
        self._futures[ticket] = future
        self._carry_out(self._queue.offer(ticket, now))
        timer = self._start_timer(future, ticket, now)
        try:
            await future
        except BaseException:
            self._futures.pop(ticket, None)
            started = future.done() and not future.cancelled()
            if started and future.exception() is None:
                self._end(now)
            else:
                self._queue.cancel(ticket)
            raise
        finally:
            timer.cancel()
        started_at = self._clock.monotonic()
        try:
            yield started_at - now
        finally:
            self._end(started_at)

    def _start_timer(self, future, ticket, now):
        delay = max(0.0, self._queue.latest_start(ticket) - now)
        loop = asyncio.get_running_loop()
        return loop.call_later(delay + TIMER_MARGIN, self._expire, future)

    def _expire(self, future):
        if not future.done():
            self._carry_out(self._queue.expire(self._clock.monotonic()))

    def _end(self, started_at):
        now = self._clock.monotonic()
        self._carry_out(self._queue.finish(started_at, now))

    def _carry_out(self, decisions):
        for decision in decisions:
            match decision:
                case admission.Start(ticket=ticket):
                    future = self._futures.pop(ticket)
                    if future.cancelled():
                        # The caller left while it was its turn.
                        self._end(self._clock.monotonic())
                    else:
                        future.set_result(None)
                case admission.Shed(ticket=ticket, retry_after=seconds):
                    future = self._futures.pop(ticket)
                    if not future.cancelled():
                        future.set_exception(
                            exceptions.Overloaded(
                                'this entry is overloaded', seconds
                            )
                        )


def make_gate(settings, clock):
    """Build the gate that `settings` of the request path ask for."""
    queue = admission.RequestQueue(
        settings.max_running, settings.max_waiting, settings.max_queue_wait
    )
    return Gate(queue, clock)
