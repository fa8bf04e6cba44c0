"""Cache events: numbered, late, with gaps."""

import pytest

from balsamwind import ports
from balsamwind import routing

EVENT = ports.CacheEvent


@pytest.mark.parametrize(
    'batches, depth, gaps',
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
        'seen twice',
        'in two reports',
        'gap keeps only the newest',
        'gap drops the rest',
        'restarted',
        'first report',
        'nothing',
    ],
)
def test_events(batches, depth, gaps):
    index = routing.PrefixIndex()
    for events in batches:
        index.apply_events('g', 1, events)
    assert index.depth('g', (1, 2, 3)) == depth
    assert index.gaps == gaps


def test_another_generation_has_an_empty_cache():
    index = routing.PrefixIndex()
    index.apply_events('g', 1, [EVENT(1, (1, 2))])
    index.note_sent('g', 2, (5,))
    assert index.depth('g', (1, 2)) == 0
    assert index.holders((1, 2)) == []
    assert index.holders((5,)) == ['g']


def test_deepest_holder_comes_first():
    index = routing.PrefixIndex()
    index.note_sent('a', 1, (1,))
    index.note_sent('b', 1, (1, 2))
    assert index.holders((1, 2, 3)) == ['b', 'a']
    index.forget('b')
    assert index.holders((1, 2, 3)) == ['a']


def test_memory_is_bounded():
    index = routing.PrefixIndex()
    for number in range(5000):
        index.note_sent('g', 1, (number,))
    assert index.depth('g', (4999,)) == 1
    assert index.depth('g', (0,)) == 0
    assert len(index._holders) == 1024


@pytest.mark.parametrize(
    'prompt, count',
    [('x' * 1023, 0), ('ვ' * 1024, 1), ('x' * 100000, 32)],
)
def test_blocks(prompt, count):
    blocks = routing.hash_blocks('m', prompt)
    assert len(blocks) == count
    assert routing.hash_blocks('m', prompt + 'x' * 2000)[:count] == blocks
    assert not set(blocks) & set(routing.hash_blocks('n', prompt))
