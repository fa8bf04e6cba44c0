"""Tests of the ejection of outliers and of the slow start afterwards."""

import random

import pytest

from balsamwind import routing

NAMES = [f'g{number}' for number in range(10)]


def make_detector(first_token=(), gap=(), errors=(), samples=10):
    detector = routing.OutlierDetector()
    for _ in range(samples):
        for name in NAMES:
            detector.record_first_token(
                name, 10.0 if name in first_token else 1.0
            )
            detector.record_inter_token_latency(
                name, 0.5 if name in gap else 0.05
            )
            if name in errors:
                detector.record_failure(name)
                detector.record_failure(name)
                detector.record_failure(name)
                detector.record_failure(name)
    return detector


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
        'slow first token',
        'high inter-token latency',
        'errors',
        'too few samples',
        'all with slow first token',
        'all with errors',
        'all with high inter-token latency',
    ],
)
def test_only_outliers_are_ejected(fields, ejected):
    assert make_detector(**fields).eject_outliers('p', NAMES, 0.0) == ejected


def test_ejected_fraction_is_limited():
    detector = make_detector(first_token=NAMES[:4])
    assert len(detector.eject_outliers('p', NAMES, 0.0)) == 2
    for _ in range(10):
        for name in NAMES:
            detector.record_first_token(
                name, 10.0 if name in NAMES[:4] else 1.0
            )
    assert detector.eject_outliers('p', NAMES, 1.0) == []


def test_no_ejection_from_a_small_pool():
    detector = make_detector(first_token=['g0'])
    assert detector.eject_outliers('p', NAMES[:4], 0.0) == []


def measure_admitted_share(detector, now):
    rng = random.Random(1)
    return sum(detector.admits('g3', now, rng) for _ in range(1000)) / 1000


def test_slow_start_after_an_ejection():
    detector = make_detector(first_token=['g3'])
    detector.eject_outliers('p', NAMES, 0.0)
    shares = [
        measure_admitted_share(detector, now) for now in (1.0, 5.0, 15.0, 25.0)
    ]
    assert shares[0] == 0.0
    assert 0.05 < shares[1] < 0.15
    assert 0.45 < shares[2] < 0.65
    assert shares[3] == 1.0


def test_second_ejection_is_longer():
    detector = make_detector(first_token=['g3'])
    detector.eject_outliers('p', NAMES, 0.0)
    for _ in range(10):
        detector.record_first_token('g3', 10.0)
    assert detector.eject_outliers('p', NAMES, 6.0) == ['g3']
    assert measure_admitted_share(detector, 15.9) == 0.0
    assert measure_admitted_share(detector, 16.1) > 0.0
