"""A store that comes back from an older copy and begins a new era."""

import asyncio
import json

import pytest
from tornado import httputil

from balsamwind import adapters
from balsamwind.adapters import _http_client
from balsamwind import exceptions
from balsamwind.node.tests import helpers
from balsamwind.platform import _store

KIND = 'things'


def _run(scenario):
    async def body():
        async with helpers.open_platform(0) as fake_platform:
            client = adapters.HttpClient()
            store = _store.StoreClient(
                client, f'127.0.0.1:{fake_platform.store_port}'
            )
            eras = []
            store.eras.on_change = lambda previous, era: eras.append(
                (previous, era)
            )
            try:
                return await scenario(fake_platform.store, store, eras)
            finally:
                client.close()

    return asyncio.run(body())


def test_revisions_grow_over_eras():
    async def scenario(fake, store, eras):
        fake.put(KIND, 'a', 1)
        saved = fake.make_copy()
        fake.put(KIND, 'a', 2)
        before = await store.get(KIND, 'a', 1.0)
        fake.restore(saved)
        after = await store.get(KIND, 'a', 1.0)
        return before, after, eras

    before, after, eras = _run(scenario)
    assert (before.spec, after.spec) == (2, 1)
    assert after.revision > before.revision
    assert eras == [(1, 2)]


def test_watch_from_a_revision_that_exists_again_sees_the_new_era():
    """The store has other changes under the same revisions, and no 410."""

    async def scenario(fake, store, eras):
        saved = fake.make_copy()
        fake.put(KIND, 'a', 1)
        revision, _ = await store.list(KIND, 1.0)
        fake.restore(saved)
        for value in range(5):
            fake.put(KIND, 'b', value)
        calls = len(fake.calls)
        for _ in range(2):
            with pytest.raises(exceptions.HistoryGone):
                await store.watch(KIND, revision, 0.1, 1.0)
        return len(fake.calls) - calls, eras

    calls, eras = _run(scenario)
    assert calls == 1
    assert eras == [(1, 2)]


def test_watch_that_waits_through_the_restore_ends():
    async def scenario(fake, store, eras):
        saved = fake.make_copy()
        fake.put(KIND, 'a', 1)
        revision, _ = await store.list(KIND, 1.0)
        watch = asyncio.ensure_future(store.watch(KIND, revision, 2.0, 3.0))
        await asyncio.sleep(0.1)
        fake.restore(saved)
        fake.put(KIND, 'c', 1)
        fake.put(KIND, 'c', 2)
        with pytest.raises(exceptions.HistoryGone):
            await watch

    _run(scenario)


@pytest.mark.parametrize('knows', [False, True])
def test_write_on_a_revision_of_an_earlier_era_is_a_conflict(knows):
    async def scenario(fake, store, eras):
        fake.put(KIND, 'a', 0)
        saved = fake.make_copy()
        fake.put(KIND, 'a', 1)
        stored = await store.get(KIND, 'a', 1.0)
        fake.restore(saved)
        # The same number belongs to another change now.
        fake.put(KIND, 'a', 'other')
        if knows:
            await store.get(KIND, 'a', 1.0)
        with pytest.raises(exceptions.Conflict):
            await store.replace(KIND, 'a', 2, stored.revision, 1.0)
        return fake.get_objects(KIND)['a']['Spec']

    spec = _run(scenario)
    if knows:
        assert spec == 'other'


class _Client:
    """HTTP client whose answers state the eras of a script."""

    def __init__(self, eras):
        self._eras = list(eras)

    async def fetch(self, method, url, **values):
        era = self._eras.pop(0)
        headers = httputil.HTTPHeaders()
        if era is not None:
            headers['Store-Era'] = era
        row = {'Metadata': {'Name': 'a', 'Revision': 7}, 'Spec': 1}
        body = json.dumps(row).encode('ascii')
        return _http_client.Response(200, headers, body)


@pytest.mark.parametrize(
    ('eras', 'dropped', 'reported'),
    [
        pytest.param([None, None], 0, [], id='no eras'),
        pytest.param([None, '3', None], 0, [], id='not in each answer'),
        pytest.param(['3', '4'], 0, [(3, 4)], id='a new era'),
        pytest.param(['3', '2', '3'], 1, [(3, 2)], id='a stale answer'),
        pytest.param(['3', 'x', '3'], 0, [(3, None)], id='unreadable'),
        pytest.param(['3', '4, 5'], 0, [(3, None)], id='several values'),
        pytest.param(['3', '-4'], 0, [(3, None)], id='negative'),
        pytest.param(['3', '9' * 40], 0, [(3, None)], id='absurd'),
    ],
)
def test_eras_of_answers(eras, dropped, reported):
    async def scenario():
        store = _store.StoreClient(_Client(eras), 'x:1')
        seen = []
        store.eras.on_change = lambda previous, era: seen.append(
            (previous, era)
        )
        errors = 0
        revisions = []
        for _ in eras:
            try:
                stored = await store.get(KIND, 'a', 1.0)
                revisions.append(stored.revision)
            except exceptions.StoreError:
                errors += 1
        return errors, seen, revisions

    errors, seen, revisions = asyncio.run(scenario())
    assert errors == dropped
    assert seen == reported
    assert revisions == sorted(revisions)
