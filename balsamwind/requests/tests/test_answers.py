"""Tests of the check of an attempt's events.

The caller must receive each token once and in order, and no token of
another attempt.
"""

import pytest

from balsamwind import exceptions
from balsamwind import ports
from balsamwind import requests

ATTEMPT_ID = 'r.1'


def make_token(index, attempt_id=ATTEMPT_ID):
    return ports.Token(attempt_id, index, f't{index}')


@pytest.mark.parametrize(
    'events, texts, late',
    [
        ([make_token(0), make_token(1)], ['t0', 't1'], 0),
        (
            [make_token(0), make_token(0, 'r.0'), make_token(1)],
            ['t0', 't1'],
            1,
        ),
        ([make_token(0), ports.FinishEvent(ATTEMPT_ID, 'stop', 1)], ['t0'], 0),
    ],
)
def test_valid_events_are_accepted(events, texts, late):
    checker = requests.AnswerChecker(ATTEMPT_ID, 0)
    assert checker.accept(events) == texts
    assert checker.late_events == late


@pytest.mark.parametrize(
    'events',
    [
        [make_token(1)],
        [make_token(0), make_token(0)],
        [make_token(0), make_token(2)],
        [make_token(0), ports.FinishEvent(ATTEMPT_ID, 'stop', 2)],
        [ports.FinishEvent(ATTEMPT_ID, 'stop', 0), make_token(0)],
    ],
)
def test_invalid_events_are_rejected(events):
    checker = requests.AnswerChecker(ATTEMPT_ID, 0)
    with pytest.raises(exceptions.TransportError):
        checker.accept(events)
