"""Shares follow demand, and their sum stays within the limit."""

import json

from hypothesis import given
from hypothesis import strategies
import pytest

from balsamwind import admission
from balsamwind import exceptions
from balsamwind import objects
from benchmarks import limits as limits_bench

HOLD = 300.0


def usage(demand, share, silent_for=0.0):
    return admission.PeerUsage(admission.Usage(demand, share), silent_for)


@pytest.mark.parametrize(
    'own, peers, low, high',
    [
        # Alone: a quarter of what is free in a beat.
        ((1.0, 0.0), [], 0.25, 0.25),
        # Nothing is free: wait until the peer has lowered its share.
        ((2.0, 0.5), [usage(0.0, 0.5)], 0.5, 0.5),
        # More than the demand asks for: lowered at once.
        ((0.0, 0.9), [usage(2.0, 0.1)], 0.0, 0.1),
        # A silent peer's share stays reserved, then is free.
        ((2.0, 0.2), [usage(1.0, 0.8, 299.0)], 0.2, 0.2),
        ((2.0, 0.2), [usage(1.0, 0.8, 301.0)], 0.39, 0.41),
        # No demand anywhere: equal parts.
        ((0.0, 0.5), [usage(0.0, 0.5)], 0.5, 0.5),
    ],
)
def test_plan(own, peers, low, high):
    share = admission.plan_share(admission.Usage(*own), peers, HOLD)
    assert low - 1e-9 <= share <= high + 1e-9


@given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 3.0), strategies.floats(0.0, 1.0)
        ),
        min_size=1,
        max_size=12,
    ),
    strategies.lists(strategies.floats(0.0, 3.0), min_size=12, max_size=12),
)
def test_sum_never_grows_over_the_limit(rows, demands):
    total = sum(share for _, share in rows) or 1.0
    state = [
        admission.Usage(demand, share / max(total, 1.0))
        for demand, share in rows
    ]
    for _ in range(8):
        state = [
            admission.Usage(
                demands[index],
                admission.plan_share(
                    own,
                    [
                        admission.PeerUsage(other)
                        for place, other in enumerate(state)
                        if place != index
                    ],
                    HOLD,
                ),
            )
            for index, own in enumerate(state)
        ]
        assert sum(usage.share for usage in state) <= 1.0 + 1e-6


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_trace(seed):
    figures = limits_bench.run(6, 3, False, seed, 1.0)
    bounds = json.loads(
        limits_bench.TRACE.with_suffix('.expected.json').read_text()
    )
    for phase, (top, mean, _) in figures.items():
        assert top <= bounds[phase]['highest_sum'], phase
        assert mean <= bounds[phase]['unused_mean'], phase


def contract(**limits):
    return objects.Contract(
        'c',
        (),
        '2026-01-01T00:00:00Z',
        '2099-01-01T00:00:00Z',
        limits=objects.Limits(**limits),
    )


def make_keeper(peers=()):
    return admission.LimitKeeper('a', peers, 0.0)


def admitted(keeper, terms, count, now):
    """How many of `count` requests that end at once are admitted."""
    done = 0
    for _ in range(count):
        try:
            with keeper.admit(terms, now):
                done += 1
        except exceptions.LimitReached as error:
            assert error.run == exceptions.NOT_RUN
            assert 0.0 < error.retry_after <= 4.0
    return done


def test_requests_a_second():
    keeper = make_keeper()
    terms = contract(requests_per_second=10.0)
    total = sum(admitted(keeper, terms, 5, t / 10) for t in range(100))
    assert 115 <= total <= 121


def test_tokens_a_second():
    keeper = make_keeper()
    terms = contract(tokens_per_second=100.0)
    assert admitted(keeper, terms, 1, 0.0) == 1
    keeper.charge_tokens(terms, 300, 1.0)
    assert admitted(keeper, terms, 1, 2.0) == 0
    assert admitted(keeper, terms, 1, 3.2) == 1


def test_in_flight():
    keeper = make_keeper()
    terms = contract(in_flight=1)
    with keeper.admit(terms, 0.0):
        assert admitted(keeper, terms, 1, 1.0) == 0
    assert admitted(keeper, terms, 1, 2.0) == 1


@pytest.mark.parametrize('others, expected', [(0, 1), (1, 1), (2, 0)])
def test_small_limit_over_many_entries(others, expected):
    keeper = make_keeper([f'p{number}' for number in range(369)])
    for number in range(others):
        keeper.hear(f'p{number}', {}, {'c': 1}, False, 0.0)
    assert admitted(keeper, contract(in_flight=2), 1, 0.0) == expected


def test_new_entry_starts_small():
    keeper = make_keeper(['b', 'c'])
    keeper.beat({'c': objects.Limits()}, 0.5)
    assert keeper.get_share('c') <= 0.34


def test_share_of_a_draining_peer_is_free():
    keeper = make_keeper(['b'])
    limits = {'c': objects.Limits()}
    keeper.hear('b', {'c': (60000, 54000)}, {}, False, 0.0)
    for beat in range(20):
        keeper.hear('b', {}, {}, False, float(beat))
        keeper.beat(limits, float(beat))
    assert keeper.get_share('c') <= 0.1 + 1e-9
    for beat in range(20, 40):
        keeper.hear('b', {}, {}, True, float(beat))
        keeper.beat(limits, float(beat))
    assert keeper.get_share('c') > 0.45


def test_usage_tells_what_changed():
    keeper = make_keeper(['b'])
    limits = {f'c{number}': objects.Limits() for number in range(100)}
    keeper.hear('b', {}, {}, False, 0.0)
    for beat in range(60):
        keeper.hear('b', {}, {}, False, float(beat))
        keeper.beat(limits, float(beat))
        keeper.make_usage()
    assert len(keeper.make_usage()) <= 1
    assert len(keeper.make_usage(full=True)) == 100


@pytest.mark.parametrize('values', [(), (1,), (1, 2, 3), (-1, 5), (5, -1)])
def test_malformed_usage_is_left_out(values):
    keeper = make_keeper(['b'])
    keeper.hear('b', {'bad': values, 'c': (6000, 54000)}, {}, False, 0.0)
    for beat in range(20):
        keeper.beat({'c': objects.Limits()}, beat / 10)
    assert keeper.get_share('c') <= 0.1 + 1e-9
