"""One cost function decides how a broken answer goes on."""

import pytest

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import requests

RATES = requests.EngineRates(
    prefill_rate=1000.0,
    kv_bytes_per_token=1e5,
    transfer_rate=1e9,
    transfer_overhead=0.1,
)
FAILURE = requests.Failure


def make_candidate(name, wait):
    group = objects.Group(
        name=name,
        contract='c',
        model='m',
        version='1',
        data_centre='a',
        fabric_domain='d',
        members=(),
        generation=1,
        state=objects.GroupState.READY,
    )
    return requests.Candidate(group, wait)


def make_progress(tokens=100, failure=FAILURE.SILENT, **fields):
    fields = {'prompt_tokens': 900.0, 'sent': True, 'failures': 1, **fields}
    return requests.Progress(tokens=tokens, failure=failure, **fields)


NEW = requests.Progress(tokens=0, prompt_tokens=100.0)

WAYS = [
    # name, progress, wait elsewhere, wait at the source, export, way, cost
    ('first try', NEW, 0.5, None, False, 'Prefill', 0.6),
    ('long prefix', make_progress(), 0.0, 0.0, True, 'ImportCache', 0.2),
    ('no export', make_progress(), 0.0, 0.0, False, 'Prefill', 1.0),
    (
        'short prefix is prefilled',
        make_progress(tokens=10, prompt_tokens=90.0),
        0.0,
        0.0,
        True,
        'Prefill',
        0.1,
    ),
    (
        'same engine by offset',
        make_progress(failure=FAILURE.BAD_ANSWER),
        0.0,
        0.05,
        True,
        'Reattach',
        0.05,
    ),
    (
        'same engine is busy',
        make_progress(failure=FAILURE.BAD_ANSWER),
        0.0,
        3.0,
        True,
        'ImportCache',
        0.2,
    ),
    (
        'same engine failed twice',
        make_progress(failure=FAILURE.BAD_ANSWER, failures=2),
        0.0,
        0.0,
        False,
        'Prefill',
        1.0,
    ),
    (
        'silent engine is not asked again',
        make_progress(),
        0.5,
        0.0,
        False,
        'Prefill',
        1.5,
    ),
    (
        'nothing to import before the first token',
        make_progress(tokens=0),
        0.0,
        0.0,
        True,
        'Prefill',
        0.9,
    ),
]


@pytest.mark.parametrize(
    'progress, elsewhere, source, export, way, cost',
    [case[1:] for case in WAYS],
    ids=[case[0] for case in WAYS],
)
def test_cheapest_way(progress, elsewhere, source, export, way, cost):
    step = requests.choose_next_step(
        progress,
        make_candidate('new', elsewhere),
        None if source is None else make_candidate('old', source),
        export,
        RATES,
    )
    assert type(step).__name__ == way
    assert step.cost == pytest.approx(cost)


ENDS = [
    # name, progress, wait elsewhere, error or step
    ('nobody serves', NEW, None, exceptions.NoCapacity),
    (
        'late before sending',
        requests.Progress(0, 1.0, time_left=0.0),
        0.0,
        exceptions.Overloaded,
    ),
    (
        'late after sending',
        make_progress(tokens=0, time_left=0.0),
        0.0,
        exceptions.DeadlineExceeded,
    ),
    (
        'too late to prefill again',
        make_progress(time_left=0.9),
        0.0,
        exceptions.DeadlineExceeded,
    ),
    (
        'waited in vain',
        make_progress(group_wait=3.0),
        None,
        exceptions.StreamBroken,
    ),
    (
        'sent, no token, waited in vain',
        make_progress(tokens=0, group_wait=3.0),
        None,
        exceptions.OutcomeUnknown,
    ),
    (
        'refused everywhere',
        make_progress(tokens=0, sent=False, failure=FAILURE.OVERLOADED),
        None,
        exceptions.Overloaded,
    ),
    (
        'left everywhere',
        make_progress(tokens=0, sent=False, failure=FAILURE.LEFT),
        None,
        exceptions.NoCapacity,
    ),
    (
        'no progress',
        make_progress(failures=4),
        0.0,
        exceptions.StreamBroken,
    ),
    (
        'broken too often',
        make_progress(total_failures=16),
        0.0,
        exceptions.StreamBroken,
    ),
]


@pytest.mark.parametrize(
    'progress, elsewhere, error',
    [case[1:] for case in ENDS],
    ids=[case[0] for case in ENDS],
)
def test_gives_up(progress, elsewhere, error):
    target = None if elsewhere is None else make_candidate('new', elsewhere)
    step = requests.choose_next_step(progress, target, None, False, RATES)
    assert step == requests.GiveUp(error)


def test_begun_answer_waits_for_a_group():
    step = requests.choose_next_step(make_progress(), None, None, False, RATES)
    assert isinstance(step, requests.Wait)


@pytest.mark.parametrize(
    'error, failure, down',
    [
        (exceptions.BackendRefused('', 'draining'), FAILURE.LEFT, True),
        (exceptions.BackendRefused('', 'full'), FAILURE.OVERLOADED, False),
        (exceptions.TransportError('', False), FAILURE.UNREACHABLE, True),
        (exceptions.TransportError(''), FAILURE.CUT, True),
        (exceptions.AnswerTimeout(''), FAILURE.SILENT, False),
        (exceptions.BadAnswer(''), FAILURE.BAD_ANSWER, False),
    ],
)
def test_failure_of_an_error(error, failure, down):
    assert requests.classify_failure(error) is failure
    assert failure.takes_group_down is down
