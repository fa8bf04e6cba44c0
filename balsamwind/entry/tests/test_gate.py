"""Places at an entry are given back, whatever happens to the caller."""

import asyncio

import pytest

from balsamwind import admission
from balsamwind.entry import _gate
from balsamwind import exceptions
from balsamwind.requests.tests import fakes


@pytest.fixture
def loop():
    """A virtual loop of its own for each test."""
    loop = fakes.VirtualLoop()
    yield loop
    loop.close()


class Callers:
    """Callers of a gate with one place, each until it is told to leave."""

    def __init__(self, loop, depth=5, max_wait=5.0):
        queue = admission.RequestQueue(1, depth, max_wait)
        self.gate = _gate.Gate(queue, fakes.LoopClock(loop))
        self.loop = loop
        self.leaves = []

    def arrive(self, deadline=100.0):
        """Start a caller; its task."""
        leave = self.loop.create_future()
        self.leaves.append(leave)

        async def run():
            async with self.gate.enter('a', 5, deadline) as waited:
                await leave
                return waited

        task = self.loop.create_task(run())
        self.loop.settle()
        return task


def test_next_starts_when_one_leaves(loop):
    callers = Callers(loop)
    first, second = callers.arrive(), callers.arrive()
    loop.advance(2.0)
    callers.leaves[0].set_result(None)
    callers.leaves[1].set_result(None)
    loop.settle()
    assert (first.result(), second.result()) == (0.0, 2.0)
    assert callers.gate.queue.running == 0


@pytest.mark.parametrize('cancel_first', [True, False])
def test_caller_that_leaves_in_its_turn(loop, cancel_first):
    callers = Callers(loop)
    callers.arrive()
    second, third = callers.arrive(), callers.arrive()
    if cancel_first:
        second.cancel()
        callers.leaves[0].set_result(None)
    else:
        callers.leaves[0].set_result(None)
        loop.run_until_complete(asyncio.sleep(0))
        second.cancel()
    loop.settle()
    assert second.cancelled()
    assert callers.gate.queue.running == 1
    callers.leaves[2].set_result(None)
    loop.settle()
    assert third.done()
    assert callers.gate.queue.running == 0


@pytest.mark.parametrize('deadline, at', [(3.0, 3.1), (100.0, 5.1)])
def test_shed_when_its_time_is_up(loop, deadline, at):
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
    callers.leaves[0].set_result(None)
    loop.settle()
    assert callers.gate.queue.running == 0


def test_shed_at_arrival(loop):
    callers = Callers(loop, depth=0)
    callers.arrive()
    assert isinstance(callers.arrive().exception(), exceptions.Overloaded)
