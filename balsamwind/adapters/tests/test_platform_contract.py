"""What the ports of the platform promise, over HTTP and in memory."""

import asyncio

import pytest

from balsamwind.adapters.tests import benches
from balsamwind import exceptions
from balsamwind import objects

FIRST = objects.Claim('v', 'g', 1, 'first')
SECOND = objects.Claim('v', 'g', 1, 'second')
KINDS = ('claim', 'lease')
ROW = {
    'name': 'v',
    'address': 'h:1',
    'data_centre': 'a',
    'fabric_domain': 'd',
    'state': 'leaving',
}

both = pytest.mark.parametrize('bench_name', sorted(benches.BENCHES))


@both
def test_objects_are_written_by_condition(bench_name):
    async def check(bench):
        store = bench.store
        assert await store.get('claim', 'v') is None
        first = await store.put('claim', 'v', FIRST, 0)
        assert await store.get('claim', 'v') == first
        second = await store.put('claim', 'v', SECOND, first.revision)
        assert second.revision > first.revision
        gone = await store.delete('claim', 'v', second.revision)
        assert gone.deleted
        assert gone.revision > second.revision
        assert await store.get('claim', 'v') is None
        again = await store.put('claim', 'v', FIRST, 0)
        assert again.revision > gone.revision

    benches.run(bench_name, check)


@both
@pytest.mark.parametrize('verb', ['put', 'delete'])
@pytest.mark.parametrize(
    'exists, expected', [(True, 0), (True, 99), (False, 1)]
)
def test_conflict_says_what_is_there(bench_name, verb, exists, expected):
    async def check(bench):
        current = None
        if exists:
            current = await bench.store.put('claim', 'v', FIRST, 0)
        with pytest.raises(exceptions.Conflict) as caught:
            if verb == 'put':
                await bench.store.put('claim', 'v', SECOND, expected)
            else:
                await bench.store.delete('claim', 'v', expected)
        assert caught.value.current == current
        assert await bench.store.get('claim', 'v') == current

    benches.run(bench_name, check)


@both
def test_list_and_watch_are_complete_up_to_their_revision(bench_name):
    async def check(bench):
        store = bench.store
        empty = await store.list(KINDS)
        first = await store.put('claim', 'v', FIRST, 0)
        await store.put('node', 'n', objects.Node('n', 'a', 'h:1', 'i'), 0)
        listed = await store.list(KINDS)
        assert listed.items == (first,)
        assert listed.revision > first.revision
        gone = await store.delete('claim', 'v', first.revision)
        watched = await store.watch(KINDS, empty.revision)
        assert watched.items == (first, gone)
        assert watched.revision == gone.revision
        nothing = await store.watch(KINDS, gone.revision)
        assert nothing.items == ()

    benches.run(bench_name, check)


@both
def test_watch_ends_with_the_next_change(bench_name):
    async def check(bench):
        watch = asyncio.ensure_future(bench.store.watch(KINDS, 0))
        await asyncio.sleep(0)
        first = await bench.store.put('claim', 'v', FIRST, 0)
        assert (await watch).items == (first,)

    benches.run(bench_name, check)


@both
def test_watch_of_a_revision_that_is_not_held(bench_name):
    async def check(bench):
        with pytest.raises(exceptions.HistoryGone):
            await bench.store.watch(KINDS, 1000)

    benches.run(bench_name, check)


def test_watch_of_history_that_was_dropped():
    async def check(bench):
        await bench.store.put('claim', 'v', FIRST, 0)
        bench.platform.history.clear()
        with pytest.raises(exceptions.HistoryGone):
            await bench.store.watch(KINDS, 0)

    benches.run('http', check)


WRITES = [
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


@pytest.mark.parametrize('bench_name, fault, effect', WRITES)
def test_failed_write_says_that_its_effect_is_unknown(
    bench_name, fault, effect
):
    async def check(bench):
        bench.set_fault(fault)
        with pytest.raises(exceptions.StoreError) as caught:
            await bench.store.put('claim', 'v', FIRST, 0)
        assert caught.value.run == exceptions.OUTCOME_UNKNOWN
        if fault == 'refused':
            return
        bench.set_fault('')
        await asyncio.sleep(benches.LATE if fault == 'late answer' else 0.0)
        known = await bench.store.get('claim', 'v')
        assert (known is not None) is effect

    benches.run(bench_name, check)


@pytest.mark.parametrize(
    'fault',
    ['refused', 'down', 'late answer', 'cut body', 'nonsense', 'wrong types'],
)
@pytest.mark.parametrize('call', ['get', 'list', 'watch', 'fetch'])
def test_failed_read_is_a_store_error(fault, call):
    async def check(bench):
        await bench.store.put('claim', 'v', FIRST, 0)
        bench.set_fault(fault)
        calls = {
            'get': lambda: bench.store.get('claim', 'v'),
            'list': lambda: bench.store.list(KINDS),
            'watch': lambda: bench.store.watch(KINDS, 0),
            'fetch': lambda: bench.vm_list.fetch(),
        }
        if (call, fault) == ('watch', 'late answer'):
            return
        with pytest.raises(exceptions.StoreError):
            await calls[call]()

    benches.run('http', check)


def test_object_of_an_unknown_kind_is_left_out():
    async def check(bench):
        bench.platform.write(('claim', 'bad'), {'vm': 5}, 0)
        first = await bench.store.put('claim', 'v', FIRST, 0)
        listed = await bench.store.list(KINDS)
        assert listed.items == (first,)
        with pytest.raises(exceptions.StoreError):
            await bench.store.get('claim', 'bad')

    benches.run('http', check)


@pytest.mark.parametrize(
    'rows, state',
    [
        ([], None),
        ([ROW], 'leaving'),
        ([{**ROW, 'state': 'live', 'new': 1}], 'live'),
    ],
)
def test_vm_list(rows, state):
    async def check(bench):
        bench.platform.vms = rows
        listed = await bench.vm_list.fetch()
        assert [row.state.value for row in listed] == (
            [state] if state else []
        )

    benches.run('http', check)


@pytest.mark.parametrize(
    'row', [{}, {**ROW, 'state': 'odd'}, {**ROW, 'name': 5}, 7]
)
def test_malformed_vm_list_is_not_taken(row):
    async def check(bench):
        bench.platform.vms = [ROW, row]
        with pytest.raises(exceptions.StoreError):
            await bench.vm_list.fetch()

    benches.run('http', check)


def test_weight_store_says_when_to_come_back():
    async def check(bench):
        bench.platform.loads_per_second = 0.1
        assert await bench.weights.take_ticket('m', '1') == 0.0
        wait = await bench.weights.take_ticket('m', '1')
        assert 0.0 < wait <= 10.0

    benches.run('http', check)


@pytest.mark.parametrize('fault', ['refused', 'down', 'late answer'])
def test_failed_ticket_is_a_store_error(fault):
    async def check(bench):
        bench.set_fault(fault)
        with pytest.raises(exceptions.StoreError):
            await bench.weights.take_ticket('m', '1')

    benches.run('http', check)


@pytest.mark.parametrize(
    'text, seconds',
    [('3', 3.0), ('0.5', 0.5), ('Wed, 21 Oct 2026 07:28:00 GMT', 1.0)]
    + [('-4', 1.0), ('nan', 1.0), ('inf', 1.0)],
)
def test_odd_retry_after_is_no_crash(text, seconds):
    async def check(bench):
        bench.platform.retry_after = text
        bench.platform.next_load_at = float('inf')
        assert await bench.weights.take_ticket('m', '1') == seconds

    benches.run('http', check)
