"""Concurrency limit of an entry, as decided by its request queue."""

import asyncio
import contextlib

from balsamwind import admission
from balsamwind import exceptions

TIMER_MARGIN = 0.001
"""Added to the timer of a queued request, so that it does not fire before
the queue considers the request expired (seconds)."""


class ConcurrencyLimiter:
    """Starts, queues or sheds the requests of an entry.

    Parameters
    ----------
    queue : balsamwind.admission.RequestQueue
        Decides which requests start, wait or are shed.
    clock : balsamwind.ports.Clock
        Source of monotonic time (seconds).
    """

    __slots__ = ('_clock', '_futures', '_queue')

    def __init__(self, queue, clock):
        self._queue = queue
        self._clock = clock
        self._futures = {}

    @property
    def queue(self):
        """Queue that decides; a `balsamwind.admission.RequestQueue`."""
        return self._queue

    @contextlib.asynccontextmanager
    async def acquire_slot(self, customer, priority, deadline):
        """Wait for a slot and hold it until the block ends.

        Parameters
        ----------
        customer : str
            Customer whose request it is.
        priority : int
            0 (first to be shed) to 9.
        deadline : float
            Monotonic time at which the caller gives up (seconds).

        Yields
        ------
        float
            Time that the request waited for its slot (seconds).

        Raises
        ------
        balsamwind.exceptions.Overloaded
            The request was shed and not run.
        """
        now = self._clock.monotonic()
        request = admission.QueuedRequest(customer, priority, deadline, now)
        future = asyncio.get_running_loop().create_future()
        self._futures[request] = future
        self._apply_decisions(self._queue.offer(request, now))
        timer = self._start_timer(future, request, now)
        try:
            await future
        except BaseException:
            self._futures.pop(request, None)
            slot_granted = future.done() and not future.cancelled()
            if slot_granted and future.exception() is None:
                self._release_slot(now)
            else:
                self._queue.cancel(request)
            raise
        finally:
            timer.cancel()
        started_at = self._clock.monotonic()
        try:
            yield started_at - now
        finally:
            self._release_slot(started_at)

    def _start_timer(self, future, request, now):
        delay = max(0.0, self._queue.latest_start(request) - now)
        loop = asyncio.get_running_loop()
        return loop.call_later(delay + TIMER_MARGIN, self._expire, future)

    def _expire(self, future):
        if not future.done():
            self._apply_decisions(self._queue.expire(self._clock.monotonic()))

    def _release_slot(self, started_at):
        now = self._clock.monotonic()
        self._apply_decisions(self._queue.finish(started_at, now))

    def _apply_decisions(self, decisions):
        for decision in decisions:
            match decision:
                case admission.Start(request=request):
                    future = self._futures.pop(request)
                    if future.cancelled():
                        # The caller was cancelled while it waited, so its
                        # slot goes to the next request.
                        self._release_slot(self._clock.monotonic())
                    else:
                        future.set_result(None)
                case admission.Shed(request=request, retry_after=retry_after):
                    future = self._futures.pop(request)
                    if not future.cancelled():
                        future.set_exception(
                            exceptions.Overloaded(
                                'entry overloaded: request shed before it'
                                ' was run',
                                retry_after,
                            )
                        )


def make_concurrency_limiter(settings, clock):
    """Build the concurrency limiter of an entry.

    Parameters
    ----------
    settings : balsamwind.settings.RequestSettings
        Names the slots, the length of the queue (counts) and the longest
        wait (seconds).
    clock : balsamwind.ports.Clock
        Source of monotonic time (seconds).

    Returns
    -------
    ConcurrencyLimiter
    """
    queue = admission.RequestQueue(
        settings.max_running, settings.max_waiting, settings.max_queue_wait
    )
    return ConcurrencyLimiter(queue, clock)
