"""Stores and engines whose answers have no status, but fields."""

import asyncio
import json

import pytest

from balsamwind import adapters
from balsamwind.adapters.tests import broken_answers
from balsamwind import exceptions
from balsamwind.platform import _client
from balsamwind.platform import _store
from balsamwind import pool
from standins import raw_server

OBJECT = {'Metadata': {'Name': 'a', 'Revision': 3}, 'Spec': {}}
PAGE = {'Items': [OBJECT], 'HasMore': False, 'StoreRevision': 7, **OBJECT}

STORE_ANSWERS = broken_answers.make_statuses(
    b'Store-Era: 9\r\n', json.dumps(PAGE).encode()
)
ENGINE_ANSWERS = broken_answers.make_statuses(
    b'Server-Leaving: 1\r\n', b'{"Seq": 1}'
)


def _make_parameters(answers):
    return [pytest.param(answers[name], id=name) for name in answers]


def _run(answer, scenario):
    """Run a scenario with a client and the address of a server."""

    async def body():
        client = adapters.HttpClient()
        server = raw_server.RawServer([answer])
        async with server.listen():
            try:
                return await scenario(client, server.address)
            finally:
                client.close()

    return asyncio.run(body())


@pytest.mark.parametrize(
    'call',
    [
        pytest.param(lambda store: store.get('k', 'a', 1.0), id='get'),
        pytest.param(lambda store: store.list('k', 1.0), id='list'),
        pytest.param(lambda store: store.watch('k', 0, 1.0, 2.0), id='watch'),
        pytest.param(lambda store: store.create('k', 'a', {}, 1.0), id='post'),
        pytest.param(
            lambda store: store.replace('k', 'a', {}, 0, 1.0), id='put'
        ),
    ],
)
@pytest.mark.parametrize('answer', _make_parameters(STORE_ANSWERS))
def test_era_in_an_answer_of_the_store_that_is_none_was_believed(answer, call):
    async def scenario(client, address):
        store = _store.StoreClient(client, address)
        newest = store.eras.newest
        with pytest.raises(exceptions.StoreError):
            await call(store)
        return store.eras.newest == newest

    assert _run(answer, scenario)


@pytest.mark.parametrize('answer', _make_parameters(ENGINE_ANSWERS))
def test_answer_of_an_engine_that_is_none_said_that_it_leaves(answer):
    async def scenario(client, address):
        platform = _client.PlatformClient(client, None)
        left = []
        platform.on_server_leaving = lambda *server: left.append(server)
        record = pool.ServerRecord('e1', 'llm', address, 'z1')
        with pytest.raises(exceptions.BadAnswer):
            await platform.fetch_engine_report(record, 1.0)
        order = pool.Join('g', 1, 'm', ('e1',))
        result = await platform.send_order(record, order, 1, 0, 1.0)
        return result, left

    assert _run(answer, scenario) == (pool.OrderResult.UNKNOWN, [])
