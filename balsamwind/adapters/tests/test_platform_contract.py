"""Contract tests of the platform's ports, over HTTP and in memory."""

import asyncio

import pytest

from balsamwind.adapters.tests import platform_fixtures
from balsamwind import exceptions
from balsamwind import objects

FIRST_CLAIM = objects.Claim('v', 'g', 1, 'first')
SECOND_CLAIM = objects.Claim('v', 'g', 1, 'second')
KINDS = ('claim', 'lease')
VM_ROW = {
    'name': 'v',
    'address': 'h:1',
    'data_centre': 'a',
    'fabric_domain': 'd',
    'state': 'leaving',
}

with_each_fixture = pytest.mark.parametrize(
    'fixture_name', sorted(platform_fixtures.FIXTURES)
)


@with_each_fixture
def test_writes_are_conditional_on_the_revision(fixture_name):
    async def check(fixture):
        store = fixture.store
        assert await store.get('claim', 'v') is None
        first = await store.put('claim', 'v', FIRST_CLAIM, 0)
        assert await store.get('claim', 'v') == first
        second = await store.put('claim', 'v', SECOND_CLAIM, first.revision)
        assert second.revision > first.revision
        tombstone = await store.delete('claim', 'v', second.revision)
        assert tombstone.deleted
        assert tombstone.revision > second.revision
        assert await store.get('claim', 'v') is None
        recreated = await store.put('claim', 'v', FIRST_CLAIM, 0)
        assert recreated.revision > tombstone.revision

    platform_fixtures.run_check(fixture_name, check)


@with_each_fixture
@pytest.mark.parametrize('method', ['put', 'delete'])
@pytest.mark.parametrize(
    'exists, expected', [(True, 0), (True, 99), (False, 1)]
)
def test_conflict_carries_the_current_object(
    fixture_name, method, exists, expected
):
    async def check(fixture):
        current = None
        if exists:
            current = await fixture.store.put('claim', 'v', FIRST_CLAIM, 0)
        with pytest.raises(exceptions.Conflict) as caught:
            if method == 'put':
                await fixture.store.put('claim', 'v', SECOND_CLAIM, expected)
            else:
                await fixture.store.delete('claim', 'v', expected)
        assert caught.value.current == current
        assert await fixture.store.get('claim', 'v') == current

    platform_fixtures.run_check(fixture_name, check)


@with_each_fixture
def test_list_and_watch_are_complete_up_to_their_revision(fixture_name):
    async def check(fixture):
        store = fixture.store
        empty = await store.list(KINDS)
        first = await store.put('claim', 'v', FIRST_CLAIM, 0)
        await store.put('node', 'n', objects.Node('n', 'a', 'h:1', 'i'), 0)
        listed = await store.list(KINDS)
        assert listed.items == (first,)
        assert listed.revision > first.revision
        tombstone = await store.delete('claim', 'v', first.revision)
        watched = await store.watch(KINDS, empty.revision)
        assert watched.items == (first, tombstone)
        assert watched.revision == tombstone.revision
        unchanged = await store.watch(KINDS, tombstone.revision)
        assert unchanged.items == ()

    platform_fixtures.run_check(fixture_name, check)


@with_each_fixture
def test_watch_ends_with_the_next_change(fixture_name):
    async def check(fixture):
        watch = asyncio.ensure_future(fixture.store.watch(KINDS, 0))
        await asyncio.sleep(0)
        first = await fixture.store.put('claim', 'v', FIRST_CLAIM, 0)
        assert (await watch).items == (first,)

    platform_fixtures.run_check(fixture_name, check)


@with_each_fixture
def test_watch_of_an_unknown_revision_is_refused(fixture_name):
    async def check(fixture):
        with pytest.raises(exceptions.HistoryGone):
            await fixture.store.watch(KINDS, 1000)

    platform_fixtures.run_check(fixture_name, check)


def test_watch_of_discarded_history_is_refused():
    async def check(fixture):
        await fixture.store.put('claim', 'v', FIRST_CLAIM, 0)
        fixture.platform.history.clear()
        with pytest.raises(exceptions.HistoryGone):
            await fixture.store.watch(KINDS, 0)

    platform_fixtures.run_check('http', check)


FAILED_WRITES = [
    ('http', 'refused', False),
    ('http', 'down', False),
    ('http', 'lost answer', True),
    ('http', 'late answer', True),
    ('http', 'cut body', True),
    ('http', 'nonsense', True),
    ('http', 'wrong types', True),
    ('memory', 'refused', False),
    ('memory', 'down', False),
    ('memory', 'lost answer', True),
    ('memory', 'late answer', True),
]


@pytest.mark.parametrize('fixture_name, fault, took_effect', FAILED_WRITES)
def test_failed_write_reports_an_unknown_outcome(
    fixture_name, fault, took_effect
):
    async def check(fixture):
        fixture.set_fault(fault)
        with pytest.raises(exceptions.StoreError) as caught:
            await fixture.store.put('claim', 'v', FIRST_CLAIM, 0)
        assert caught.value.run == exceptions.OUTCOME_UNKNOWN
        if fault == 'refused':
            return
        fixture.set_fault('')
        await asyncio.sleep(
            platform_fixtures.LATE_RESPONSE_DELAY
            if fault == 'late answer'
            else 0.0
        )
        stored = await fixture.store.get('claim', 'v')
        assert (stored is not None) is took_effect

    platform_fixtures.run_check(fixture_name, check)


@pytest.mark.parametrize(
    'fault',
    ['refused', 'down', 'late answer', 'cut body', 'nonsense', 'wrong types'],
)
@pytest.mark.parametrize('call', ['get', 'list', 'watch', 'fetch'])
def test_failed_read_is_a_store_error(fault, call):
    async def check(fixture):
        await fixture.store.put('claim', 'v', FIRST_CLAIM, 0)
        fixture.set_fault(fault)
        calls = {
            'get': lambda: fixture.store.get('claim', 'v'),
            'list': lambda: fixture.store.list(KINDS),
            'watch': lambda: fixture.store.watch(KINDS, 0),
            'fetch': lambda: fixture.vm_list.fetch(),
        }
        if (call, fault) == ('watch', 'late answer'):
            return
        with pytest.raises(exceptions.StoreError):
            await calls[call]()

    platform_fixtures.run_check('http', check)


def test_malformed_object_is_left_out_of_a_list():
    async def check(fixture):
        fixture.platform.write(('claim', 'bad'), {'vm': 5}, 0)
        first = await fixture.store.put('claim', 'v', FIRST_CLAIM, 0)
        listed = await fixture.store.list(KINDS)
        assert listed.items == (first,)
        with pytest.raises(exceptions.StoreError):
            await fixture.store.get('claim', 'bad')

    platform_fixtures.run_check('http', check)


@pytest.mark.parametrize(
    'rows, state',
    [
        ([], None),
        ([VM_ROW], 'leaving'),
        ([{**VM_ROW, 'state': 'live', 'new': 1}], 'live'),
    ],
)
def test_vm_list(rows, state):
    async def check(fixture):
        fixture.platform.vms = rows
        listed = await fixture.vm_list.fetch()
        assert [row.state.value for row in listed] == (
            [state] if state else []
        )

    platform_fixtures.run_check('http', check)


@pytest.mark.parametrize(
    'row', [{}, {**VM_ROW, 'state': 'odd'}, {**VM_ROW, 'name': 5}, 7]
)
def test_malformed_vm_list_is_rejected(row):
    async def check(fixture):
        fixture.platform.vms = [VM_ROW, row]
        with pytest.raises(exceptions.StoreError):
            await fixture.vm_list.fetch()

    platform_fixtures.run_check('http', check)


def test_refused_ticket_carries_the_wait():
    async def check(fixture):
        fixture.platform.loads_per_second = 0.1
        assert await fixture.weight_store.take_ticket('m', '1') == 0.0
        wait = await fixture.weight_store.take_ticket('m', '1')
        assert 0.0 < wait <= 10.0

    platform_fixtures.run_check('http', check)


@pytest.mark.parametrize('fault', ['refused', 'down', 'late answer'])
def test_failed_ticket_is_a_store_error(fault):
    async def check(fixture):
        fixture.set_fault(fault)
        with pytest.raises(exceptions.StoreError):
            await fixture.weight_store.take_ticket('m', '1')

    platform_fixtures.run_check('http', check)


@pytest.mark.parametrize(
    'text, seconds',
    [('3', 3.0), ('0.5', 0.5), ('Wed, 21 Oct 2026 07:28:00 GMT', 1.0)]
    + [('-4', 1.0), ('nan', 1.0), ('inf', 1.0)],
)
def test_invalid_retry_after_falls_back_to_the_default(text, seconds):
    async def check(fixture):
        fixture.platform.retry_after = text
        fixture.platform.next_load_at = float('inf')
        assert await fixture.weight_store.take_ticket('m', '1') == seconds

    platform_fixtures.run_check('http', check)
