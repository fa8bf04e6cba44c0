"""Answers of the store that are malformed, cut short or never end."""

import asyncio
import json

import pytest

from balsamwind.adapters import _http_client
from balsamwind import exceptions
from balsamwind.platform import _store

OBJECT = {'Metadata': {'Name': 'a', 'Revision': 3}, 'Spec': {}}

PAGE = {'Items': [OBJECT], 'HasMore': False, 'StoreRevision': 7}


class _ScriptedClient:
    """HTTP client that answers each call by the same body."""

    def __init__(self, body):
        self._body = body
        self.paths = []

    async def fetch(self, method, url, **arguments):
        self.paths.append(url)
        body = self._body
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        return _http_client.Response(200, {}, body)


def _call(body, call):
    client = _ScriptedClient(body)
    store = _store.StoreClient(client, 'store:1')
    return asyncio.run(call(store)), client.paths


BODIES = [
    pytest.param(b'\xff\xfe', id='no JSON'),
    pytest.param([1, 2], id='no object'),
    pytest.param({}, id='no fields'),
    pytest.param(
        {**PAGE, 'StoreRevision': 'x', 'Metadata': 5}, id='wrong types'
    ),
]


@pytest.mark.parametrize('body', BODIES)
@pytest.mark.parametrize(
    'call',
    [
        pytest.param(lambda store: store.get('k', 'a', 1.0), id='get'),
        pytest.param(lambda store: store.list('k', 1.0), id='list'),
        pytest.param(lambda store: store.watch('k', 5, 1.0, 2.0), id='watch'),
        pytest.param(lambda store: store.create('k', 'a', {}, 1.0), id='post'),
        pytest.param(
            lambda store: store.replace('k', 'a', {}, 3, 1.0), id='put'
        ),
    ],
)
def test_malformed_answer_is_a_store_error(body, call):
    with pytest.raises(exceptions.StoreError):
        _call(body, call)


@pytest.mark.parametrize(
    'page',
    [
        pytest.param({**PAGE, 'HasMore': True}, id='more and more pages'),
        pytest.param(
            {**PAGE, 'HasMore': True, 'Items': []}, id='an empty page'
        ),
        pytest.param(
            {**PAGE, 'HasMore': True, 'Items': [{}]},
            id='a page of malformed objects',
        ),
    ],
)
def test_list_that_can_not_be_read_whole_is_an_error(page):
    with pytest.raises(exceptions.StoreError):
        _call(page, lambda store: store.list('k', 1.0))


def test_malformed_change_makes_a_new_list_due():
    """The watch must not go on behind a change that was not applied."""
    body = {
        'events': [{'Object': OBJECT}, {'Object': {'Metadata': {}}}],
        'StoreRevision': 9,
    }
    with pytest.raises(exceptions.HistoryGone):
        _call(body, lambda store: store.watch('k', 5, 1.0, 2.0))


@pytest.mark.parametrize(
    ('call', 'path'),
    [
        (
            lambda store: store.get('k', 'a', 1.0, may_be_stale=True),
            '/k/a?Serializable=1',
        ),
        (lambda store: store.get('k', 'a', 1.0), '/k/a'),
    ],
)
def test_only_a_read_that_may_be_stale_says_so(call, path):
    _, paths = _call(OBJECT, call)
    assert paths == [f'http://store:1/v1/objects{path}']
