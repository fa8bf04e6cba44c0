"""Tests of requests that arrive before the first configuration."""

import asyncio

import pytest

from balsamwind.node.tests import doubles
from balsamwind.relay import _start_wait


class Log:
    """Keeps the events."""

    def __init__(self):
        self.events = []

    def info(self, event, **values):
        """Keep an event."""
        self.events.append((event, values))


async def run_waits(count, time_budget, end_after, clock_step=0.0):
    """Let requests wait; the times after which each goes on (seconds)."""
    clock = doubles.Clock()
    log = Log()
    gate = _start_wait.StartWait(clock, log)
    clock.now += clock_step
    loop = asyncio.get_running_loop()
    started_at = loop.time()

    async def wait():
        await gate.wait(time_budget)
        return loop.time() - started_at

    tasks = [asyncio.ensure_future(wait()) for _ in range(count)]
    if end_after is not None:
        await asyncio.sleep(end_after)
        gate.end()
    return await asyncio.gather(*tasks), log.events


def test_requests_go_on_when_the_configuration_arrives():
    # Rejected callers gave up, although the node could serve a moment later.
    times, events = asyncio.run(run_waits(3, 6.0, 0.05))
    assert min(times) >= 0.05
    assert events == [('start_wait_ended', {'requests': 3})]


@pytest.mark.parametrize(
    ('time_budget', 'clock_step'),
    [
        pytest.param(0.1, 0.0, id='half of the time of the caller has passed'),
        pytest.param(6.0, 1.15, id='the node started long ago'),
        pytest.param(6.0, 9.0, id='the time has passed before'),
    ],
)
def test_wait_is_bounded(time_budget, clock_step):
    # A node that gets no configuration would hold requests to their deadline.
    times, events = asyncio.run(run_waits(1, time_budget, None, clock_step))
    assert times[0] < 1.0
    assert not events


@pytest.mark.parametrize(
    ('awaited_at', 'later', 'waits'),
    [
        pytest.param(1.1, 0.05, True, id='all else was known just in time'),
        pytest.param(1.7, 0.05, True, id='all else was known late'),
        pytest.param(0.1, 1.05, True, id='all else was known at once'),
        pytest.param(1.1, 0.85, False, id='nobody tells it for too long'),
    ],
)
def test_node_sent_requests_before_it_was_told_what_is_held(
    awaited_at, later, waits
):
    async def run():
        clock = doubles.Clock()
        gate = _start_wait.StartWait(clock, Log())
        clock.now += awaited_at
        gate.await_evidence()
        clock.now += later
        gate.await_evidence()
        task = asyncio.ensure_future(gate.wait(6.0))
        await asyncio.sleep(0.01)
        was_waiting = not task.done()
        gate.end()
        await task
        return was_waiting

    assert asyncio.run(run()) is waits


def test_waiting_request_went_on_as_the_wait_was_prolonged(monkeypatch):
    monkeypatch.setattr(_start_wait, 'MAX_START_WAIT', 0.05)

    async def run():
        gate = _start_wait.StartWait(doubles.Clock(), Log())
        task = asyncio.ensure_future(gate.wait(6.0))
        await asyncio.sleep(0.01)
        gate.await_evidence()
        await asyncio.sleep(0.2)
        was_waiting = not task.done()
        gate.end()
        await task
        return was_waiting

    assert asyncio.run(run())


def test_number_of_waiting_requests_is_bounded(monkeypatch):
    # A node with little memory would hold the bodies of all callers.
    monkeypatch.setattr(_start_wait, 'MAX_WAITING', 2)
    times, _ = asyncio.run(run_waits(3, 6.0, 0.1))
    assert sum(time >= 0.1 for time in times) == 2


def test_caller_that_leaves_frees_its_place():
    # Places that are never freed would end the wait for all later requests.
    async def run():
        gate = _start_wait.StartWait(doubles.Clock(), Log())
        task = asyncio.ensure_future(gate.wait(6.0))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return gate._waiting

    assert asyncio.run(run()) == 0
