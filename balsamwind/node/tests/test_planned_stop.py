"""Connections of callers around the planned stop of a node."""

import asyncio
import contextlib
import dataclasses
import os
import signal
import types

import pytest

from balsamwind import node
from balsamwind.node import _drain
from balsamwind.node.tests import helpers
from balsamwind import platform
from balsamwind.relay import _start_wait

CLOSE_DELAY = 0.4
"""Time from the signal to the close of idle connections (seconds)."""

EVENT_INTERVAL = 0.15
"""Time between two of the six events of a stream (seconds)."""


@pytest.fixture(autouse=True)
def _shorten_times(monkeypatch):
    monkeypatch.setattr(_drain, 'READINESS_PROPAGATION_TIME', CLOSE_DELAY)


def _run_scenario(scenario, engines=2, **values):
    async def body():
        async with (
            helpers.open_platform(engines) as fake_platform,
            helpers.open_node(fake_platform, **values) as process,
        ):
            await helpers.wait_until(
                lambda: helpers.count_serving_groups(process) == engines // 2
            )
            for engine in fake_platform.engines.values():
                engine.event_interval = EVENT_INTERVAL
            return await scenario(fake_platform, process)

    return asyncio.run(body())


def _list_ran(fake_platform):
    return [run.request_id for run in fake_platform.trace.runs]


async def _connect(process):
    host, port = process.settings.callers.rsplit(':', 1)
    return await asyncio.open_connection(host, int(port))


async def _read_answer(reader):
    """Read one answer; empty if the connection ends before it."""
    answer = b''
    while not answer.endswith(b'0\r\n\r\n'):
        chunk = await asyncio.wait_for(reader.read(65536), 4.0)
        if not chunk:
            break
        answer += chunk
        head, separator, body = answer.partition(b'\r\n\r\n')
        if separator and b'Content-Length' in head:
            break
    return answer


REQUEST = helpers.make_request(request_id='late')
HEAD, _, BODY = REQUEST.partition(b'\r\n\r\n')
HEAD += b'\r\n\r\n'


def _find_split(sent_before):
    return {'head': 30, 'body': len(HEAD) + 1, 'nothing': 0}[sent_before]


@pytest.mark.parametrize('has_answer', [False, True])
@pytest.mark.parametrize('sent_before', ['nothing', 'head', 'body'])
def test_request_that_is_complete_after_the_close_is_not_run(
    sent_before, has_answer
):
    # A connection that was busy when the idle ones were closed stayed open:
    # its next request ran, and was cut as the process exited (LOST).
    async def scenario(fake_platform, process):
        reader, writer = await _connect(process)
        if has_answer:
            writer.write(helpers.make_request(request_id='first'))
            await helpers.wait_until(lambda: process.relay.open_requests)
        split = _find_split(sent_before)
        if not has_answer:
            writer.write(REQUEST[:split])
        draining = asyncio.ensure_future(process.drain())
        await asyncio.sleep(CLOSE_DELAY + 0.2)
        first = await _read_answer(reader) if has_answer else b''
        if has_answer:
            writer.write(REQUEST[:split])
            await asyncio.sleep(0.05)
        writer.write(REQUEST[split:])
        try:
            answer = await _read_answer(reader)
        except ConnectionError:
            answer = b''
        await draining
        return first, answer, _list_ran(fake_platform)

    first, answer, ran = _run_scenario(scenario)
    assert 'late' not in ran
    assert answer == b'' or answer.startswith(b'HTTP/1.1 503')
    if has_answer:
        assert first.count(b'data: token') == 6
    elif sent_before != 'nothing':
        # What a caller has begun to send is read, and refused at once.
        assert b'Connection: close' in answer
        assert b'Retry-After: 0.000' in answer


def test_request_sent_behind_another_is_not_run_after_the_close():
    # Both arrive before the signal; the first is answered after the close.
    async def scenario(fake_platform, process):
        reader, writer = await _connect(process)
        writer.write(helpers.make_request(request_id='first') + REQUEST)
        await helpers.wait_until(lambda: process.relay.open_requests)
        await process.drain()
        answers = await asyncio.wait_for(reader.read(), 2.0)
        return answers, _list_ran(fake_platform)

    answers, ran = _run_scenario(scenario)
    assert ran == ['first']
    assert answers.count(b'data: token') == 6
    assert answers.count(b'HTTP/1.1') == 1 or b'HTTP/1.1 503' in answers


def test_answer_that_begins_after_the_signal_ends_its_connection():
    # The head of the request came before the signal, so that tornado kept
    # the connection alive without a word to the caller.
    async def scenario(fake_platform, process):
        reader, writer = await _connect(process)
        writer.write(HEAD)
        await asyncio.sleep(0.1)
        draining = asyncio.ensure_future(process.drain())
        await asyncio.sleep(0.1)
        writer.write(BODY)
        answer = await _read_answer(reader)
        is_closed = await asyncio.wait_for(reader.read(), 2.0) == b''
        await draining
        return answer, is_closed

    answer, is_closed = _run_scenario(scenario)
    assert answer.count(b'data: token') == 6
    assert b'Connection: close' in answer
    assert is_closed


def test_connections_are_closed_in_time_while_the_store_is_silent():
    # The close waited for the answer to the release of the leases, so that
    # requests were taken later than they could finish.
    async def scenario(fake_platform, process):
        await helpers.wait_until(process._is_leader)
        reader, _ = await _connect(process)
        fake_platform.store.faults.down = 'silent'
        started_at = asyncio.get_running_loop().time()
        draining = asyncio.ensure_future(process.drain())
        await reader.read()
        lasted = asyncio.get_running_loop().time() - started_at
        await draining
        return lasted

    assert _run_scenario(scenario) < CLOSE_DELAY + 0.3


@pytest.mark.parametrize(
    ('engines', 'status'),
    [
        pytest.param(0, b'503', id='waits for a group'),
        pytest.param(2, b'504', id='waits for a silent engine'),
    ],
)
def test_request_that_is_open_at_the_exit_gets_an_answer(
    monkeypatch, engines, status
):
    # Its connection was cut, and its caller knew nothing of it (LOST).
    async def scenario(fake_platform, process):
        for engine in fake_platform.engines.values():
            engine.dark = True
        monkeypatch.setattr(_drain, 'EXIT_MARGIN', 7.5)
        reader, writer = await _connect(process)
        writer.write(REQUEST)
        await helpers.wait_until(lambda: process.relay.open_requests)
        answer = asyncio.ensure_future(_read_answer(reader))
        await process.drain()
        await asyncio.sleep(0.05)
        return answer.result() if answer.done() else b''

    answer = _run_scenario(scenario, engines)
    assert answer.startswith(b'HTTP/1.1 ' + status)


GRACES = [
    pytest.param(1.0, id='very short'),
    pytest.param(3.0, id='short'),
    pytest.param(8.0, id='usual'),
    pytest.param(60.0, id='long'),
]


@pytest.mark.parametrize('grace', GRACES)
@pytest.mark.parametrize('fault', ['', 'silent'])
def test_no_request_runs_after_the_close_whatever_the_grace(grace, fault):
    # A request was taken long after the signal and given up (LOST).
    async def scenario(fake_platform, process):
        process._settings = dataclasses.replace(
            process._settings,
            bounds=dataclasses.replace(process._settings.bounds, grace=grace),
        )
        await helpers.wait_until(process._is_leader)
        for engine in fake_platform.engines.values():
            engine.event_count = 30
        fake_platform.store.faults.down = fault
        # This stream keeps the node from its exit.
        _, long_writer = await _connect(process)
        long_writer.write(helpers.make_request(request_id='long'))
        await helpers.wait_until(lambda: process.relay.open_requests)
        connections = [await _connect(process) for _ in range(8)]
        draining = asyncio.ensure_future(process.drain())
        close_delay = min(CLOSE_DELAY, (grace - _drain.EXIT_MARGIN) / 2)
        await asyncio.sleep(close_delay + 0.1)
        sent = []
        for number, (_, writer) in enumerate(connections):
            if not draining.done():
                request = helpers.make_request(request_id=f'late{number}')
                writer.write(request)
                sent.append(number)
            await asyncio.sleep(0.1)
            with contextlib.suppress(OSError):
                _, writer = await _connect(process)
                writer.write(helpers.make_request(request_id='late new'))
        await draining
        return sent, _list_ran(fake_platform)

    sent, ran = _run_scenario(scenario)
    assert sent or grace == 1.0
    assert ran == ['long']


def test_request_that_waited_for_the_start_ends_with_its_own_time(
    monkeypatch,
):
    # It is passed on after the close; its time counts from its arrival.
    async def scenario(fake_platform, process):
        wait = process.relay.start_wait = _start_wait.StartWait(
            process._clock, process._log
        )
        monkeypatch.setattr(process.relay, 'is_starting', lambda: True)
        reader, writer = await _connect(process)
        draining = asyncio.ensure_future(process.drain())
        await asyncio.sleep(CLOSE_DELAY - 0.1)
        writer.write(REQUEST)
        await asyncio.sleep(0.3)
        was_waiting = bool(process.relay.open_requests)
        wait.end()
        answer = await _read_answer(reader)
        await draining
        return was_waiting, answer

    was_waiting, answer = _run_scenario(scenario)
    assert was_waiting
    assert answer.count(b'data: token') == 6
    assert answer.endswith(b'0\r\n\r\n')


def test_second_signal_and_a_reload_leave_the_drain_alone(monkeypatch):
    # They come while a stream runs that was taken before the first signal.
    async def scenario():
        async with helpers.open_platform(2) as fake_platform:
            settings = helpers.make_settings('n1', fake_platform.store_port)
            running = asyncio.ensure_future(
                node.run_node(
                    settings, platform.make_platform_client, lambda: settings
                )
            )
            await helpers.wait_until(
                lambda: helpers.count_open_groups(fake_platform)
            )
            for engine in fake_platform.engines.values():
                engine.event_interval = EVENT_INTERVAL
            await asyncio.sleep(0.3)
            process = types.SimpleNamespace(settings=settings)
            reader, writer = await _connect(process)
            writer.write(REQUEST)
            await reader.readuntil(b'data:')
            for number in (
                signal.SIGTERM,
                signal.SIGTERM,
                signal.SIGHUP,
                signal.SIGINT,
            ):
                os.kill(os.getpid(), number)
                await asyncio.sleep(0.05)
            answer = await _read_answer(reader)
            await running
            return answer

    answer = asyncio.run(scenario())
    assert answer.endswith(b'0\r\n\r\n')
    assert answer.count(b'data: token') == 5
