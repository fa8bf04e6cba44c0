"""Answers that are none, to the clients of the older interface."""

import asyncio

import pytest

from balsamwind import adapters
from balsamwind.adapters.tests import broken_answers
from balsamwind.adapters.tests import test_cut_heads
from balsamwind import exceptions
from balsamwind.requests import _resume
from standins import raw_server

JSON = b'Content-Type: application/json\r\n'

ANSWERS = broken_answers.make_statuses(JSON, test_cut_heads.BODY)
REFUSALS = broken_answers.make_statuses(
    JSON + b'Retry-After: 1\r\n', test_cut_heads.REFUSAL
)
STREAMS = broken_answers.make_statuses(
    b'Content-Type: text/event-stream\r\n', test_cut_heads.EVENTS
)
HEADS = broken_answers.make_other_heads(JSON, test_cut_heads.BODY)

KEEP = raw_server.KEEP


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize(
    ('answers', 'ending'),
    [
        pytest.param(ANSWERS, KEEP, id='answers'),
        pytest.param(REFUSALS, KEEP, id='refusals'),
        pytest.param(HEADS, raw_server.CLOSE, id='other heads'),
    ],
)
def test_call_whose_answer_is_none_was_answered(answers, ending, method):
    # Under a key, what was answered is recorded and repeated.
    found = test_cut_heads.find_harms(
        answers, ending, lambda server: test_cut_heads.call(server, method)
    )
    assert found == {}


@pytest.mark.parametrize('answers', [STREAMS, REFUSALS])
def test_completion_whose_answer_is_none_promises_nothing(
    monkeypatch, answers
):
    monkeypatch.setattr(_resume, 'MAX_GROUP_WAIT', 0.0)
    found = test_cut_heads.find_harms(answers, KEEP, test_cut_heads.complete)
    assert found == {}


async def _report(client, address):
    await adapters.HttpEngine(client).report(address, 1.0)


async def _list_vms(client, address):
    await adapters.HttpVmList(client, f'http://{address}', 1.0).fetch()


async def _take_ticket(client, address):
    store = adapters.HttpWeightStore(client, f'http://{address}', 1.0)
    await store.take_ticket('m', '1')


async def _get_object(client, address):
    store = adapters.HttpObjectStore(client, f'http://{address}', 1.0, 1.0)
    await store.get('k', 'a')


@pytest.mark.parametrize(
    ('call', 'error'),
    [
        (_report, exceptions.BadAnswer),
        (_list_vms, exceptions.StoreError),
        (_take_ticket, exceptions.StoreError),
        (_get_object, exceptions.StoreError),
    ],
)
@pytest.mark.parametrize('name', ANSWERS)
def test_answer_that_is_none_is_an_error(name, call, error):
    async def scenario():
        client = adapters.HttpClient()
        server = raw_server.RawServer([ANSWERS[name]])
        async with server.listen():
            try:
                with pytest.raises(error):
                    await call(client, server.address)
            finally:
                client.close()

    asyncio.run(scenario())


@pytest.mark.parametrize('name', ANSWERS)
def test_refused_head_leaves_no_traceback_and_no_task(caplog, name):
    async def scenario():
        client = adapters.HttpClient()
        server = raw_server.RawServer([ANSWERS[name]])
        async with server.listen():
            with pytest.raises(exceptions.BadAnswer):
                await client.open(
                    'POST', f'http://{server.address}/x', timeout=1.0
                )
            await asyncio.sleep(0.01)
            tasks = [
                task.get_coro().__qualname__ for task in asyncio.all_tasks()
            ]
        client.close()
        return tasks, server.requests, server.connections

    tasks, requests, connections = asyncio.run(scenario())
    assert not [name for name in tasks if 'HTTP1Connection' in name]
    assert (requests, connections) == (1, 1)
    assert caplog.records == []
