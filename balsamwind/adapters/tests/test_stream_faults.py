"""Every engine fault leads to the complete answer or to an error."""

import asyncio
import socket

import pytest

from balsamwind.adapters import _engine
from balsamwind.adapters.tests import completion_helpers
from balsamwind.adapters.tests import scripted
from balsamwind import exceptions
from balsamwind.requests import _resume

token_event = scripted.make_token
finish_event = scripted.make_finish
RESPONSE_HEAD = scripted.RESPONSE_HEAD
OTHER_ATTEMPT = 'r.0'

MALFORMED_EVENT = scripted.make_chunk(b'data: {"attempt"\n\n')
EVENT_WITHOUT_INDEX = scripted.make_chunk(
    b'data: {"attempt": "r.1", "text": "a "}\n\n'
)
NON_STRING_TEXT = {'attempt': scripted.OWN_ATTEMPT, 'index': 0, 'text': 7}
OVERSIZED_EVENT = scripted.make_chunk(
    b'data: ' + b'x' * (_engine.MAX_EVENT_SIZE + 1)
)

FAULTS = [
    # Test id, script of the first engine, resumption steps (None: not
    # checked), whether the first group is reported down, late events.
    ('reset before any byte', [scripted.RESET], ['Prefill'], True, 0),
    (
        'reset after headers',
        [RESPONSE_HEAD, scripted.RESET],
        ['Prefill'],
        True,
        0,
    ),
    (
        'cut in the middle of the stream',
        [RESPONSE_HEAD, token_event(0), token_event(1), scripted.CUT],
        ['Prefill'],
        True,
        0,
    ),
    (
        'cut before the finish event',
        [RESPONSE_HEAD, *map(token_event, range(4)), scripted.CUT],
        ['Prefill'],
        True,
        0,
    ),
    ('silent before headers', [scripted.STALL], ['Prefill'], False, 0),
    (
        'silent after headers',
        [RESPONSE_HEAD, scripted.STALL],
        ['Prefill'],
        False,
        0,
    ),
    (
        'stall',
        [RESPONSE_HEAD, token_event(0), scripted.STALL],
        ['Prefill'],
        False,
        0,
    ),
    (
        'late events of an abandoned attempt',
        [
            RESPONSE_HEAD,
            token_event(3, OTHER_ATTEMPT),
            *map(token_event, range(4)),
            finish_event(4, OTHER_ATTEMPT),
            finish_event(4),
            scripted.END,
        ],
        [],
        False,
        2,
    ),
    (
        'only events of another attempt',
        [
            RESPONSE_HEAD,
            token_event(0, OTHER_ATTEMPT),
            token_event(1, OTHER_ATTEMPT),
            scripted.STALL,
        ],
        ['Prefill'],
        False,
        2,
    ),
    (
        'duplicate token',
        [RESPONSE_HEAD, token_event(0), token_event(0), scripted.STALL],
        ['Prefill'],
        False,
        0,
    ),
    (
        'missing token',
        [RESPONSE_HEAD, token_event(0), token_event(2), scripted.STALL],
        ['Prefill'],
        False,
        0,
    ),
    (
        'tokens out of order',
        [
            RESPONSE_HEAD,
            token_event(1),
            token_event(0),
            finish_event(2),
            scripted.END,
        ],
        ['Prefill'],
        False,
        0,
    ),
    (
        'event after the finish event',
        [
            RESPONSE_HEAD,
            token_event(0),
            finish_event(1),
            token_event(1),
            scripted.END,
        ],
        None,
        False,
        0,
    ),
    (
        'finish event with another count',
        [RESPONSE_HEAD, token_event(0), finish_event(4), scripted.END],
        None,
        False,
        0,
    ),
    (
        'clean end without the finish event',
        [RESPONSE_HEAD, token_event(0), scripted.END],
        ['Reattach'],
        False,
        0,
    ),
    ('empty body', [RESPONSE_HEAD, scripted.END], ['Prefill'], False, 0),
    (
        'malformed event',
        [RESPONSE_HEAD, MALFORMED_EVENT],
        ['Prefill'],
        False,
        0,
    ),
    (
        'event without its index',
        [RESPONSE_HEAD, EVENT_WITHOUT_INDEX],
        ['Prefill'],
        False,
        0,
    ),
    (
        'token whose text is not a string',
        [RESPONSE_HEAD, NON_STRING_TEXT],
        ['Prefill'],
        False,
        0,
    ),
    (
        'oversized event',
        [RESPONSE_HEAD, OVERSIZED_EVENT],
        ['Prefill'],
        False,
        0,
    ),
    ('broken chunk', [RESPONSE_HEAD, b'zz\r\n'], ['Prefill'], True, 0),
    (
        'draining',
        [scripted.make_refusal(503, 'draining')],
        ['Prefill'],
        True,
        0,
    ),
    (
        'wrong group',
        [scripted.make_refusal(409, 'wrong_group')],
        ['Prefill'],
        True,
        0,
    ),
    (
        'overloaded',
        [scripted.make_refusal(503, 'overloaded')],
        ['Prefill'],
        False,
        0,
    ),
    (
        'error without not_run',
        [scripted.make_refusal(500, '', not_run=False)],
        ['Prefill'],
        False,
        0,
    ),
]


@pytest.mark.parametrize(
    'script, resumption_steps, down, late',
    [fault[1:] for fault in FAULTS],
    ids=[fault[0] for fault in FAULTS],
)
def test_answer_is_completed_by_another_group(
    script, resumption_steps, down, late
):
    async def run():
        first = scripted.ScriptedEngine([script])
        second = scripted.ScriptedEngine()
        async with first.listen(), second.listen():
            path = completion_helpers.CompletionPath(
                [first.address, second.address]
            )
            tokens = await path.collect()
            path.client.close()
            return path, tokens

    path, tokens = asyncio.run(run())
    assert tokens == scripted.ANSWER
    assert path.late_events == late
    assert path.groups.down == (['g0'] if down else [])
    if resumption_steps is not None:
        assert path.resumption_steps == resumption_steps


SINGLE_GROUP_FAULTS = [
    # Test id, scripts of the only engine, error, its field `run`.
    (
        'draining',
        [[scripted.make_refusal(503, 'draining')]],
        exceptions.NoCapacity,
        exceptions.NOT_RUN,
    ),
    (
        'permanently overloaded',
        [[scripted.make_refusal(503, 'overloaded')]] * 4,
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
            [scripted.make_refusal(500, '', not_run=False)],
            [scripted.make_refusal(503, 'draining')],
        ],
        exceptions.OutcomeUnknown,
        exceptions.OUTCOME_UNKNOWN,
    ),
    (
        'cut in the middle of the stream',
        [[RESPONSE_HEAD, token_event(0), scripted.PAUSE, scripted.CUT]],
        exceptions.StreamBroken,
        exceptions.RUN,
    ),
    (
        'clean end without the finish event on each attempt',
        [[RESPONSE_HEAD, scripted.END]] * 4,
        exceptions.OutcomeUnknown,
        exceptions.OUTCOME_UNKNOWN,
    ),
]


@pytest.mark.parametrize(
    'scripts, error, expected_run',
    [case[1:] for case in SINGLE_GROUP_FAULTS],
    ids=[case[0] for case in SINGLE_GROUP_FAULTS],
)
def test_error_states_whether_the_request_ran(
    monkeypatch, scripts, error, expected_run
):
    monkeypatch.setattr(_resume, 'MAX_GROUP_WAIT', 0.0)

    async def run():
        engine = scripted.ScriptedEngine(list(scripts))
        async with engine.listen():
            path = completion_helpers.CompletionPath([engine.address])
            with pytest.raises(error) as raised:
                await path.collect()
            path.client.close()
        return raised.value

    assert asyncio.run(run()).run == expected_run


@pytest.mark.parametrize('healthy_groups', [0, 1])
def test_refused_connection(healthy_groups):
    async def run():
        bound_socket = socket.socket()
        bound_socket.bind(('127.0.0.1', 0))
        refusing_address = f'127.0.0.1:{bound_socket.getsockname()[1]}'
        engine = scripted.ScriptedEngine()
        with bound_socket:
            async with engine.listen():
                path = completion_helpers.CompletionPath(
                    [refusing_address, *[engine.address] * healthy_groups]
                )
                try:
                    return path, await path.collect()
                except exceptions.NoCapacity as error:
                    return path, error.run
                finally:
                    path.client.close()

    path, outcome = asyncio.run(run())
    assert outcome == (
        scripted.ANSWER if healthy_groups else exceptions.NOT_RUN
    )
    assert path.groups.down == ['g0']


def test_deadline_passes_before_the_first_attempt():
    path = completion_helpers.CompletionPath([])
    with pytest.raises(exceptions.Overloaded) as raised:
        asyncio.run(path.collect(timeout=-1.0))
    assert raised.value.run == exceptions.NOT_RUN


def test_deadline_passes_in_mid_stream():
    async def run():
        script = [RESPONSE_HEAD, token_event(0), scripted.STALL]
        engine = scripted.ScriptedEngine([script])
        async with engine.listen():
            path = completion_helpers.CompletionPath([engine.address])
            with pytest.raises(exceptions.DeadlineExceeded) as raised:
                await path.collect(timeout=0.1)
            path.client.close()
        return raised.value

    assert asyncio.run(run()).run == exceptions.RUN


@pytest.mark.parametrize(
    'first, connections, down',
    [
        ([scripted.END], 2, []),
        ([scripted.END, scripted.CUT], 2, []),
        ([scripted.PAUSE, scripted.CUT], 2, []),
        ([scripted.END, b'HTTP/1.1 200 OK\r\n'], 2, []),
    ],
    ids=['clean end', 'closed after', 'cut after finish', 'unexpected bytes'],
)
def test_connection_of_a_completion_is_never_reused(first, connections, down):
    async def run():
        script = [
            RESPONSE_HEAD,
            *map(token_event, range(4)),
            finish_event(4),
            *first,
        ]
        engine = scripted.ScriptedEngine([script])
        async with engine.listen():
            path = completion_helpers.CompletionPath([engine.address])
            answers = []
            for _ in range(2):
                answers.append(await path.collect())
                await asyncio.sleep(0.02)
            path.client.close()
        return engine, path, answers

    engine, path, answers = asyncio.run(run())
    assert answers == [scripted.ANSWER] * 2
    assert engine.connections == connections
    assert path.groups.down == down


WHOLE_STREAM = [
    RESPONSE_HEAD,
    *map(token_event, range(4)),
    finish_event(4),
    scripted.END,
]
COPIES = {
    'draining': [scripted.make_refusal(503, 'draining')],
    'overloaded': [scripted.make_refusal(503, 'overloaded')],
    'error': [scripted.make_refusal(500, '', not_run=False)],
    'stream of another attempt': [
        RESPONSE_HEAD,
        token_event(0, OTHER_ATTEMPT),
        finish_event(1, OTHER_ATTEMPT),
        scripted.END,
    ],
}


class _CopyingEngine(scripted.ScriptedEngine):
    """Writes more before its second answer on a connection."""

    def __init__(self, copy):
        super().__init__()
        self._copy = copy

    async def _answer_request(self, reader, writer):
        await super()._answer_request(reader, writer)
        await reader.readuntil(b'\r\n\r\n')
        for step in self._copy + WHOLE_STREAM:
            await self._run_step(step, {'attempt_id': 'r.1'}, reader, writer)
        return False


@pytest.mark.parametrize('copy', COPIES.values(), ids=COPIES)
def test_copy_of_a_refusal_ended_the_next_completion(monkeypatch, copy):
    # Its caller was told 'not run', and the group was taken for down.
    monkeypatch.setattr(_resume, 'MAX_GROUP_WAIT', 0.0)

    async def run():
        engine = _CopyingEngine(copy)
        async with engine.listen():
            path = completion_helpers.CompletionPath([engine.address])
            answers = []
            for _ in range(2):
                answers.append(await path.collect())
                await asyncio.sleep(0.02)
            path.client.close()
        return path, answers

    path, answers = asyncio.run(run())
    assert answers == [scripted.ANSWER] * 2
    assert path.groups.down == []


def test_completion_after_another_has_a_connection_of_its_own(monkeypatch):
    # Its refusal is surely its own, and is believed at once.
    monkeypatch.setattr(_resume, 'MAX_GROUP_WAIT', 0.0)
    refusal = [scripted.make_refusal(503, 'draining')]

    async def run():
        engine = scripted.ScriptedEngine([WHOLE_STREAM, refusal])
        async with engine.listen():
            path = completion_helpers.CompletionPath([engine.address])
            await path.collect()
            await asyncio.sleep(0.02)
            with pytest.raises(exceptions.NoCapacity) as raised:
                await path.collect()
            path.client.close()
        return engine, path, raised.value

    engine, path, error = asyncio.run(run())
    assert error.run == exceptions.NOT_RUN
    assert path.groups.down == ['g0']
    assert len(engine.requests) == engine.connections == 2
