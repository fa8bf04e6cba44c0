"""Every token once, in order, of the caller's own attempt."""

import pytest

from balsamwind import exceptions
from balsamwind import ports
from balsamwind import requests

OWN = 'r.1'


def token(index, attempt=OWN):
    return ports.Token(attempt, index, f't{index}')


@pytest.mark.parametrize(
    'events, tokens, late',
    [
        ([token(0), token(1)], ['t0', 't1'], 0),
        ([token(0), token(0, 'r.0'), token(1)], ['t0', 't1'], 1),
        ([token(0), ports.Finished(OWN, 'stop', 1)], ['t0'], 0),
    ],
)
def test_accepts(events, tokens, late):
    checker = requests.AnswerChecker(OWN, 0)
    assert checker.accept(events) == tokens
    assert checker.late == late


@pytest.mark.parametrize(
    'events',
    [
        [token(1)],
        [token(0), token(0)],
        [token(0), token(2)],
        [token(0), ports.Finished(OWN, 'stop', 2)],
        [ports.Finished(OWN, 'stop', 0), token(0)],
    ],
)
def test_refuses(events):
    checker = requests.AnswerChecker(OWN, 0)
    with pytest.raises(exceptions.TransportError):
        checker.accept(events)
