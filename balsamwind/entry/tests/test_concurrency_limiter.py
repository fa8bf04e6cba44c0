"""Slots of the concurrency limiter are released however a request ends."""

import asyncio

import pytest

from balsamwind import admission
from balsamwind.entry import _concurrency_limiter
from balsamwind import exceptions
from balsamwind.requests.tests import fakes


@pytest.fixture
def loop():
    """Event loop with virtual time, new for each test."""
    loop = fakes.VirtualLoop()
    yield loop
    loop.close()


class Callers:
    """Callers of a limiter with one slot; each holds it until released."""

    def __init__(self, loop, depth=5, max_wait=5.0):
        queue = admission.RequestQueue(1, depth, max_wait)
        self.limiter = _concurrency_limiter.ConcurrencyLimiter(
            queue, fakes.LoopClock(loop)
        )
        self.loop = loop
        self.releases = []

    def arrive(self, deadline=100.0):
        """Start a caller and return its task."""
        release = self.loop.create_future()
        self.releases.append(release)

        async def hold_slot():
            async with self.limiter.acquire_slot(
                'a', 5, deadline
            ) as queue_time:
                await release
                return queue_time

        task = self.loop.create_task(hold_slot())
        self.loop.run_ready_callbacks()
        return task


def test_waiting_request_starts_when_slot_is_released(loop):
    callers = Callers(loop)
    first, second = callers.arrive(), callers.arrive()
    loop.advance(2.0)
    callers.releases[0].set_result(None)
    callers.releases[1].set_result(None)
    loop.run_ready_callbacks()
    assert (first.result(), second.result()) == (0.0, 2.0)
    assert callers.limiter.queue.running == 0


@pytest.mark.parametrize('cancel_first', [True, False])
def test_slot_is_not_lost_if_caller_is_cancelled_when_granted(
    loop, cancel_first
):
    callers = Callers(loop)
    callers.arrive()
    second, third = callers.arrive(), callers.arrive()
    if cancel_first:
        second.cancel()
        callers.releases[0].set_result(None)
    else:
        callers.releases[0].set_result(None)
        loop.run_until_complete(asyncio.sleep(0))
        second.cancel()
    loop.run_ready_callbacks()
    assert second.cancelled()
    assert callers.limiter.queue.running == 1
    callers.releases[2].set_result(None)
    loop.run_ready_callbacks()
    assert third.done()
    assert callers.limiter.queue.running == 0


@pytest.mark.parametrize('deadline, at', [(3.0, 3.1), (100.0, 5.1)])
def test_waiting_request_is_shed_at_deadline_or_max_wait(loop, deadline, at):
    callers = Callers(loop)
    callers.arrive()
    waiting = callers.arrive(deadline)
    loop.advance(at - 0.2)
    assert not waiting.done()
    loop.advance(0.2)
    error = waiting.exception()
    assert isinstance(error, exceptions.Overloaded)
    assert error.run == exceptions.NOT_RUN
    assert error.retry_after > 0.0
    callers.releases[0].set_result(None)
    loop.run_ready_callbacks()
    assert callers.limiter.queue.running == 0


def test_request_is_shed_at_once_if_queue_is_full(loop):
    callers = Callers(loop, depth=0)
    callers.arrive()
    assert isinstance(callers.arrive().exception(), exceptions.Overloaded)
