"""Tests of prompt hashes and of the index of cached prefixes.

Cache events carry sequence numbers and may arrive more than once or with
gaps.
"""

import pytest

from balsamwind import ports
from balsamwind import routing

EVENT = ports.CacheEvent


@pytest.mark.parametrize(
    'batches, prefix_length, gap_count',
    [
        ([[EVENT(1, (1, 2, 3))]], 3, 0),
        ([[EVENT(1, (1, 2, 3)), EVENT(2, (), (3,))]], 2, 0),
        ([[EVENT(1, (1, 2)), EVENT(2, (3,))], [EVENT(2, (3,))]], 3, 0),
        ([[EVENT(1, (1, 2))], [EVENT(2, (3,)), EVENT(3, (4,))]], 3, 0),
        ([[EVENT(1, (1, 2))], [EVENT(3, (3,))]], 3, 1),
        ([[EVENT(1, (1, 2, 3))], [EVENT(5, (9,))]], 0, 1),
        ([[EVENT(7, (1, 2))], [EVENT(1, (1,))]], 1, 1),
        ([[EVENT(7, (1, 2))]], 2, 0),
        ([[]], 0, 0),
    ],
    ids=[
        'stored',
        'removed',
        'received twice',
        'consecutive reports',
        'gap keeps only new blocks',
        'gap drops old blocks',
        'restarted',
        'first report',
        'nothing',
    ],
)
def test_events_update_the_index(batches, prefix_length, gap_count):
    index = routing.PrefixIndex()
    for events in batches:
        index.apply_events('g', 1, events)
    assert index.count_cached_blocks('g', (1, 2, 3)) == prefix_length
    assert index.gap_count == gap_count


def test_new_generation_has_an_empty_cache():
    index = routing.PrefixIndex()
    index.apply_events('g', 1, [EVENT(1, (1, 2))])
    index.record_prefill('g', 2, (5,))
    assert index.count_cached_blocks('g', (1, 2)) == 0
    assert index.find_holders((1, 2)) == []
    assert index.find_holders((5,)) == ['g']


def test_holder_of_the_longest_prefix_comes_first():
    index = routing.PrefixIndex()
    index.record_prefill('a', 1, (1,))
    index.record_prefill('b', 1, (1, 2))
    assert index.find_holders((1, 2, 3)) == ['b', 'a']
    index.remove_group('b')
    assert index.find_holders((1, 2, 3)) == ['a']


def test_least_recently_used_blocks_are_evicted():
    index = routing.PrefixIndex()
    for number in range(5000):
        index.record_prefill('g', 1, (number,))
    assert index.count_cached_blocks('g', (4999,)) == 1
    assert index.count_cached_blocks('g', (0,)) == 0
    assert len(index._holders_by_block) == 1024


@pytest.mark.parametrize(
    'prompt, count',
    [('x' * 1023, 0), ('ვ' * 1024, 1), ('x' * 100000, 32)],
)
def test_hashes_cover_complete_blocks(prompt, count):
    blocks = routing.hash_blocks('m', prompt)
    assert len(blocks) == count
    assert routing.hash_blocks('m', prompt + 'x' * 2000)[:count] == blocks
    assert not set(blocks) & set(routing.hash_blocks('n', prompt))
