"""Tests of contract limits: shares follow the demand within the limit."""

import json

from hypothesis import given
from hypothesis import strategies
import pytest

from balsamwind import admission
from balsamwind import exceptions
from balsamwind import objects
from benchmarks import limits as limits_bench

RESERVATION_TIMEOUT = 300.0


def make_peer(demand, share, heartbeat_age=0.0):
    return admission.PeerUsage(admission.Usage(demand, share), heartbeat_age)


@pytest.mark.parametrize(
    'own, peers, low, high',
    [
        # Without peers, a quarter of the unallocated part is claimed.
        ((1.0, 0.0), [], 0.25, 0.25),
        # Nothing is unallocated until the peer has lowered its share.
        ((2.0, 0.5), [make_peer(0.0, 0.5)], 0.5, 0.5),
        # A share above the target is lowered at once.
        ((0.0, 0.9), [make_peer(2.0, 0.1)], 0.0, 0.1),
        # The share of a silent peer is reserved for 300 s, then released.
        ((2.0, 0.2), [make_peer(1.0, 0.8, 299.0)], 0.2, 0.2),
        ((2.0, 0.2), [make_peer(1.0, 0.8, 301.0)], 0.39, 0.41),
        # Without demand at any entry, the parts are equal.
        ((0.0, 0.5), [make_peer(0.0, 0.5)], 0.5, 0.5),
    ],
)
def test_plan_share(own, peers, low, high):
    share = admission.plan_share(
        admission.Usage(*own), peers, RESERVATION_TIMEOUT
    )
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
def test_sum_of_shares_never_exceeds_limit(usages, demands):
    total = sum(share for _, share in usages) or 1.0
    entries = [
        admission.Usage(demand, share / max(total, 1.0))
        for demand, share in usages
    ]
    for _ in range(8):
        entries = [
            admission.Usage(
                demands[index],
                admission.plan_share(
                    own,
                    [
                        admission.PeerUsage(other)
                        for other_index, other in enumerate(entries)
                        if other_index != index
                    ],
                    RESERVATION_TIMEOUT,
                ),
            )
            for index, own in enumerate(entries)
        ]
        assert sum(usage.share for usage in entries) <= 1.0 + 1e-6


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_overshoot_and_unused_share_over_trace(seed):
    figures = limits_bench.run(6, 3, False, seed, 1.0)
    bounds = json.loads(
        limits_bench.TRACE.with_suffix('.expected.json').read_text()
    )
    for phase, (highest, unused, _) in figures.items():
        assert highest <= bounds[phase]['highest_sum'], phase
        assert unused <= bounds[phase]['unused_mean'], phase


def make_contract(**limits):
    return objects.Contract(
        'c',
        (),
        '2026-01-01T00:00:00Z',
        '2099-01-01T00:00:00Z',
        limits=objects.Limits(**limits),
    )


def make_limiter(peers=()):
    return admission.ContractLimiter('a', peers, 0.0)


def count_admitted(limiter, contract, count, now):
    """Return how many of `count` requests are admitted; each ends at once."""
    admitted = 0
    for _ in range(count):
        try:
            with limiter.admit(contract, now):
                admitted += 1
        except exceptions.LimitReached as error:
            assert error.run == exceptions.NOT_RUN
            assert 0.0 < error.retry_after <= 4.0
    return admitted


def test_limit_of_requests_per_second():
    limiter = make_limiter()
    contract = make_contract(requests_per_second=10.0)
    total = sum(
        count_admitted(limiter, contract, 5, t / 10) for t in range(100)
    )
    assert 115 <= total <= 121


def test_limit_of_tokens_per_second():
    limiter = make_limiter()
    contract = make_contract(tokens_per_second=100.0)
    assert count_admitted(limiter, contract, 1, 0.0) == 1
    limiter.charge_tokens(contract, 300, 1.0)
    assert count_admitted(limiter, contract, 1, 2.0) == 0
    assert count_admitted(limiter, contract, 1, 3.2) == 1


def test_limit_of_requests_in_flight():
    limiter = make_limiter()
    contract = make_contract(in_flight=1)
    with limiter.admit(contract, 0.0):
        assert count_admitted(limiter, contract, 1, 1.0) == 0
    assert count_admitted(limiter, contract, 1, 2.0) == 1


@pytest.mark.parametrize('others, expected', [(0, 1), (1, 1), (2, 0)])
def test_in_flight_limit_smaller_than_number_of_entries(others, expected):
    # The share of each entry is less than one request. It must still admit
    # one while the entries together are below the limit.
    limiter = make_limiter([f'p{number}' for number in range(369)])
    for number in range(others):
        limiter.handle_heartbeat(f'p{number}', {}, {'c': 1}, False, 0.0)
    assert (
        count_admitted(limiter, make_contract(in_flight=2), 1, 0.0) == expected
    )


def test_new_entry_starts_with_small_share():
    limiter = make_limiter(['b', 'c'])
    limiter.update_shares({'c': objects.Limits()}, 0.5)
    assert limiter.get_share('c') <= 0.34


def test_share_of_draining_peer_is_released():
    limiter = make_limiter(['b'])
    limits = {'c': objects.Limits()}
    limiter.handle_heartbeat('b', {'c': (60000, 54000)}, {}, False, 0.0)
    for beat in range(20):
        limiter.handle_heartbeat('b', {}, {}, False, float(beat))
        limiter.update_shares(limits, float(beat))
    assert limiter.get_share('c') <= 0.1 + 1e-9
    for beat in range(20, 40):
        limiter.handle_heartbeat('b', {}, {}, True, float(beat))
        limiter.update_shares(limits, float(beat))
    assert limiter.get_share('c') > 0.45


def test_heartbeat_contains_only_changed_usage():
    limiter = make_limiter(['b'])
    limits = {f'c{number}': objects.Limits() for number in range(100)}
    limiter.handle_heartbeat('b', {}, {}, False, 0.0)
    for beat in range(60):
        limiter.handle_heartbeat('b', {}, {}, False, float(beat))
        limiter.update_shares(limits, float(beat))
        limiter.collect_usage_updates()
    assert len(limiter.collect_usage_updates()) <= 1
    assert len(limiter.collect_usage_updates(full=True)) == 100


@pytest.mark.parametrize('values', [(), (1,), (1, 2, 3), (-1, 5), (5, -1)])
def test_malformed_usage_is_ignored(values):
    # Only the malformed values are ignored: the share that the peer reports
    # for the other customer still counts.
    limiter = make_limiter(['b'])
    limiter.handle_heartbeat(
        'b', {'bad': values, 'c': (6000, 54000)}, {}, False, 0.0
    )
    for beat in range(20):
        limiter.update_shares({'c': objects.Limits()}, beat / 10)
    assert limiter.get_share('c') <= 0.1 + 1e-9
