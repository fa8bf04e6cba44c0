"""Every fault of an engine ends in the whole answer or in an error."""

import asyncio
import socket

import pytest

from balsamwind.adapters import _engine
from balsamwind.adapters.tests import parts
from balsamwind.adapters.tests import scripted
from balsamwind import exceptions
from balsamwind.requests import _resume

TOKEN = scripted.token
FINISH = scripted.finish
HEADERS = scripted.HEADERS
OLD = 'r.0'

MALFORMED = scripted.make_chunk(b'data: {"attempt"\n\n')
NO_INDEX = scripted.make_chunk(b'data: {"attempt": "r.1", "text": "a "}\n\n')
NOT_TEXT = {'attempt': scripted.OWN, 'index': 0, 'text': 7}
OVERSIZED = scripted.make_chunk(
    b'data: ' + b'x' * (_engine.MAX_EVENT_SIZE + 1)
)

FAULTS = [
    # name, script of the first engine, ways, first group down, late events
    ('reset before any byte', [scripted.RESET], ['Prefill'], True, 0),
    ('reset after headers', [HEADERS, scripted.RESET], ['Prefill'], True, 0),
    (
        'cut in mid-stream',
        [HEADERS, TOKEN(0), TOKEN(1), scripted.CUT],
        ['Prefill'],
        True,
        0,
    ),
    (
        'cut before the finish mark',
        [HEADERS, *map(TOKEN, range(4)), scripted.CUT],
        ['Prefill'],
        True,
        0,
    ),
    ('silent before headers', [scripted.STALL], ['Prefill'], False, 0),
    ('silent after headers', [HEADERS, scripted.STALL], ['Prefill'], False, 0),
    ('stall', [HEADERS, TOKEN(0), scripted.STALL], ['Prefill'], False, 0),
    (
        'late events of an abandoned attempt',
        [
            HEADERS,
            TOKEN(3, OLD),
            *map(TOKEN, range(4)),
            FINISH(4, OLD),
            FINISH(4),
            scripted.END,
        ],
        [],
        False,
        2,
    ),
    (
        'only events of another attempt',
        [HEADERS, TOKEN(0, OLD), TOKEN(1, OLD), scripted.STALL],
        ['Prefill'],
        False,
        2,
    ),
    (
        'token twice',
        [HEADERS, TOKEN(0), TOKEN(0), scripted.STALL],
        ['Prefill'],
        False,
        0,
    ),
    (
        'token missing',
        [HEADERS, TOKEN(0), TOKEN(2), scripted.STALL],
        ['Prefill'],
        False,
        0,
    ),
    (
        'tokens out of order',
        [HEADERS, TOKEN(1), TOKEN(0), FINISH(2), scripted.END],
        ['Prefill'],
        False,
        0,
    ),
    (
        'event after the finish mark',
        [HEADERS, TOKEN(0), FINISH(1), TOKEN(1), scripted.END],
        None,
        False,
        0,
    ),
    (
        'finish mark with another count',
        [HEADERS, TOKEN(0), FINISH(4), scripted.END],
        None,
        False,
        0,
    ),
    (
        'clean end without the finish mark',
        [HEADERS, TOKEN(0), scripted.END],
        ['Reattach'],
        False,
        0,
    ),
    ('empty body', [HEADERS, scripted.END], ['Prefill'], False, 0),
    ('malformed event', [HEADERS, MALFORMED], ['Prefill'], False, 0),
    ('event without its index', [HEADERS, NO_INDEX], ['Prefill'], False, 0),
    ('token that is no text', [HEADERS, NOT_TEXT], ['Prefill'], False, 0),
    ('oversized event', [HEADERS, OVERSIZED], ['Prefill'], False, 0),
    ('broken chunk', [HEADERS, b'zz\r\n'], ['Prefill'], True, 0),
    (
        'draining',
        [scripted.refuse(503, 'draining')],
        ['Prefill'],
        True,
        0,
    ),
    (
        'wrong group',
        [scripted.refuse(409, 'wrong_group')],
        ['Prefill'],
        True,
        0,
    ),
    (
        'overloaded',
        [scripted.refuse(503, 'overloaded')],
        ['Prefill'],
        False,
        0,
    ),
    (
        'error without not_run',
        [scripted.refuse(500, '', not_run=False)],
        ['Prefill'],
        False,
        0,
    ),
]


@pytest.mark.parametrize(
    'script, ways, down, late',
    [fault[1:] for fault in FAULTS],
    ids=[fault[0] for fault in FAULTS],
)
def test_answer_is_whole_from_another_group(script, ways, down, late):
    async def run():
        first = scripted.ScriptedEngine([script])
        second = scripted.ScriptedEngine()
        async with first.listen(), second.listen():
            path = parts.Path([first.address, second.address])
            tokens = await path.collect()
            path.client.close()
            return path, tokens

    path, tokens = asyncio.run(run())
    assert tokens == scripted.WORDS
    assert path.late == late
    assert path.groups.down == (['g0'] if down else [])
    if ways is not None:
        assert path.ways == ways


ALONE = [
    # name, scripts of the only engine, error, what it says of the run
    (
        'draining',
        [[scripted.refuse(503, 'draining')]],
        exceptions.NoCapacity,
        exceptions.NOT_RUN,
    ),
    (
        'overloaded for good',
        [[scripted.refuse(503, 'overloaded')]] * 4,
        exceptions.Overloaded,
        exceptions.NOT_RUN,
    ),
    (
        'reset before any byte',
        [[scripted.RESET]],
        exceptions.OutcomeUnknown,
        exceptions.OUTCOME_UNKNOWN,
    ),
    (
        'error, then draining',
        [
            [scripted.refuse(500, '', not_run=False)],
            [scripted.refuse(503, 'draining')],
        ],
        exceptions.OutcomeUnknown,
        exceptions.OUTCOME_UNKNOWN,
    ),
    (
        'cut in mid-stream',
        [[HEADERS, TOKEN(0), scripted.PAUSE, scripted.CUT]],
        exceptions.StreamBroken,
        exceptions.RUN,
    ),
    (
        'clean end without the finish mark, again and again',
        [[HEADERS, scripted.END]] * 4,
        exceptions.OutcomeUnknown,
        exceptions.OUTCOME_UNKNOWN,
    ),
]


@pytest.mark.parametrize(
    'scripts, error, says',
    [case[1:] for case in ALONE],
    ids=[case[0] for case in ALONE],
)
def test_error_is_explicit_and_true(monkeypatch, scripts, error, says):
    monkeypatch.setattr(_resume, 'RESUME_WAIT', 0.0)

    async def run():
        engine = scripted.ScriptedEngine(list(scripts))
        async with engine.listen():
            path = parts.Path([engine.address])
            with pytest.raises(error) as raised:
                await path.collect()
            path.client.close()
        return raised.value

    assert asyncio.run(run()).run == says


@pytest.mark.parametrize('others', [0, 1])
def test_refused_connection(others):
    async def run():
        holder = socket.socket()
        holder.bind(('127.0.0.1', 0))
        refused = f'127.0.0.1:{holder.getsockname()[1]}'
        engine = scripted.ScriptedEngine()
        with holder:
            async with engine.listen():
                path = parts.Path([refused, *[engine.address] * others])
                try:
                    return path, await path.collect()
                except exceptions.NoCapacity as error:
                    return path, error.run
                finally:
                    path.client.close()

    path, outcome = asyncio.run(run())
    assert outcome == (scripted.WORDS if others else exceptions.NOT_RUN)
    assert path.groups.down == ['g0']


def test_deadline_passes_before_a_group_was_asked():
    path = parts.Path([])
    with pytest.raises(exceptions.Overloaded) as raised:
        asyncio.run(path.collect(timeout=-1.0))
    assert raised.value.run == exceptions.NOT_RUN


def test_deadline_passes_in_mid_stream():
    async def run():
        script = [HEADERS, TOKEN(0), scripted.STALL]
        engine = scripted.ScriptedEngine([script])
        async with engine.listen():
            path = parts.Path([engine.address])
            with pytest.raises(exceptions.DeadlineExceeded) as raised:
                await path.collect(timeout=0.1)
            path.client.close()
        return raised.value

    assert asyncio.run(run()).run == exceptions.RUN


@pytest.mark.parametrize(
    'first, connections, down',
    [
        ([scripted.END], 1, []),
        ([scripted.END, scripted.CUT], 2, []),
        ([scripted.PAUSE, scripted.CUT], 2, []),
        ([scripted.END, b'HTTP/1.1 200 OK\r\n'], 2, []),
    ],
    ids=['kept', 'closed when idle', 'cut after the mark', 'stray bytes'],
)
def test_connection_between_requests(first, connections, down):
    async def run():
        script = [HEADERS, *map(TOKEN, range(4)), FINISH(4), *first]
        engine = scripted.ScriptedEngine([script])
        async with engine.listen():
            path = parts.Path([engine.address])
            answers = []
            for _ in range(2):
                answers.append(await path.collect())
                await asyncio.sleep(0.02)
            path.client.close()
        return engine, path, answers

    engine, path, answers = asyncio.run(run())
    assert answers == [scripted.WORDS] * 2
    assert engine.connections == connections
    assert path.groups.down == down
