"""Outliers are ejected by comparison, and come back slowly."""

import random

import pytest

from balsamwind import routing

NAMES = [f'g{number}' for number in range(10)]


def make_table(first_token=(), gap=(), errors=(), samples=10):
    table = routing.HealthTable()
    for _ in range(samples):
        for name in NAMES:
            table.note_first_token(name, 10.0 if name in first_token else 1.0)
            table.note_gap(name, 0.5 if name in gap else 0.05)
            if name in errors:
                table.note_failure(name)
                table.note_failure(name)
                table.note_failure(name)
                table.note_failure(name)
    return table


@pytest.mark.parametrize(
    'fields, ejected',
    [
        ({}, []),
        ({'first_token': ['g3']}, ['g3']),
        ({'gap': ['g3']}, ['g3']),
        ({'errors': ['g3']}, ['g3']),
        ({'first_token': ['g3'], 'samples': 4}, []),
        ({'first_token': NAMES}, []),
        ({'errors': NAMES}, []),
        ({'gap': NAMES}, []),
    ],
    ids=[
        'none',
        'late first token',
        'slow tokens',
        'errors',
        'too few samples',
        'all late',
        'all sick',
        'all slow',
    ],
)
def test_outliers(fields, ejected):
    assert make_table(**fields).evaluate('p', NAMES, 0.0) == ejected


def test_never_more_than_the_share():
    table = make_table(first_token=NAMES[:4])
    assert len(table.evaluate('p', NAMES, 0.0)) == 2
    for _ in range(10):
        for name in NAMES:
            table.note_first_token(name, 10.0 if name in NAMES[:4] else 1.0)
    assert table.evaluate('p', NAMES, 1.0) == []


def test_small_pools_eject_nobody():
    table = make_table(first_token=['g0'])
    assert table.evaluate('p', NAMES[:4], 0.0) == []


def share_admitted(table, now):
    rng = random.Random(1)
    return sum(table.admits('g3', now, rng) for _ in range(1000)) / 1000


def test_slow_return():
    table = make_table(first_token=['g3'])
    table.evaluate('p', NAMES, 0.0)
    shares = [share_admitted(table, now) for now in (1.0, 5.0, 15.0, 25.0)]
    assert shares[0] == 0.0
    assert 0.05 < shares[1] < 0.15
    assert 0.45 < shares[2] < 0.65
    assert shares[3] == 1.0


def test_second_ejection_is_longer():
    table = make_table(first_token=['g3'])
    table.evaluate('p', NAMES, 0.0)
    for _ in range(10):
        table.note_first_token('g3', 10.0)
    assert table.evaluate('p', NAMES, 6.0) == ['g3']
    assert share_admitted(table, 15.9) == 0.0
    assert share_admitted(table, 16.1) > 0.0
