"""Tests of the choice of the next step after a failed attempt.

The cheapest attempt is chosen by one cost estimate; a request that cannot
be continued is given up with an error that says whether it may have run.
"""

import pytest

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import requests

RATES = requests.ResumeCostParameters(
    prefill_rate=1000.0,
    kv_bytes_per_token=1e5,
    transfer_rate=1e9,
    transfer_overhead=0.1,
)
FAILURE = requests.FailureKind


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


def make_progress(tokens=100, failure=FAILURE.TIMED_OUT, **fields):
    fields = {'prompt_tokens': 900.0, 'sent': True, 'failures': 1, **fields}
    return requests.Progress(tokens=tokens, failure=failure, **fields)


NEW_REQUEST = requests.Progress(tokens=0, prompt_tokens=100.0)

STEP_CASES = [
    # Id, progress, wait at the target (s), wait at the source (s), whether the
    # source may export the cache, class of the step, expected cost (s).
    ('first attempt', NEW_REQUEST, 0.5, None, False, 'Prefill', 0.6),
    (
        'long prefix is imported',
        make_progress(),
        0.0,
        0.0,
        True,
        'ImportCache',
        0.2,
    ),
    (
        'export is not possible',
        make_progress(),
        0.0,
        0.0,
        False,
        'Prefill',
        1.0,
    ),
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
        'same engine is reattached',
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
        'engine that timed out is not reattached',
        make_progress(),
        0.5,
        0.0,
        False,
        'Prefill',
        1.5,
    ),
    (
        'no import before the first token',
        make_progress(tokens=0),
        0.0,
        0.0,
        True,
        'Prefill',
        0.9,
    ),
]


@pytest.mark.parametrize(
    'progress, target_wait, source_wait, can_export, step_name, cost',
    [case[1:] for case in STEP_CASES],
    ids=[case[0] for case in STEP_CASES],
)
def test_cheapest_attempt_is_chosen(
    progress, target_wait, source_wait, can_export, step_name, cost
):
    step = requests.choose_next_step(
        progress,
        make_candidate('new', target_wait),
        None if source_wait is None else make_candidate('old', source_wait),
        can_export,
        RATES,
    )
    assert type(step).__name__ == step_name
    assert step.cost == pytest.approx(cost)


GIVE_UP_CASES = [
    # Id, progress, wait at the target (s), class of the error.
    ('no group serves', NEW_REQUEST, None, exceptions.NoCapacity),
    (
        'deadline passed before sending',
        requests.Progress(0, 1.0, time_left=0.0),
        0.0,
        exceptions.Overloaded,
    ),
    (
        'deadline passed after sending',
        make_progress(tokens=0, time_left=0.0),
        0.0,
        exceptions.DeadlineExceeded,
    ),
    (
        'prefill exceeds the time left',
        make_progress(time_left=0.9),
        0.0,
        exceptions.DeadlineExceeded,
    ),
    (
        'no group within the wait',
        make_progress(group_wait=3.0),
        None,
        exceptions.StreamBroken,
    ),
    (
        'no token and no group within the wait',
        make_progress(tokens=0, group_wait=3.0),
        None,
        exceptions.OutcomeUnknown,
    ),
    (
        'overloaded and no other group',
        make_progress(tokens=0, sent=False, failure=FAILURE.OVERLOADED),
        None,
        exceptions.Overloaded,
    ),
    (
        'not serving and no other group',
        make_progress(tokens=0, sent=False, failure=FAILURE.NOT_SERVING),
        None,
        exceptions.NoCapacity,
    ),
    (
        'too many failures without a token',
        make_progress(failures=4),
        0.0,
        exceptions.StreamBroken,
    ),
    (
        'too many failures in total',
        make_progress(total_failures=16),
        0.0,
        exceptions.StreamBroken,
    ),
]


@pytest.mark.parametrize(
    'progress, target_wait, error',
    [case[1:] for case in GIVE_UP_CASES],
    ids=[case[0] for case in GIVE_UP_CASES],
)
def test_request_is_given_up(progress, target_wait, error):
    target = (
        None if target_wait is None else make_candidate('new', target_wait)
    )
    step = requests.choose_next_step(progress, target, None, False, RATES)
    assert step == requests.GiveUp(error)


def test_sent_request_waits_for_a_group():
    step = requests.choose_next_step(make_progress(), None, None, False, RATES)
    assert isinstance(step, requests.Wait)


@pytest.mark.parametrize(
    'error, failure, takes_group_down',
    [
        (exceptions.BackendRefused('', 'draining'), FAILURE.NOT_SERVING, True),
        (exceptions.BackendRefused('', 'full'), FAILURE.OVERLOADED, False),
        (exceptions.TransportError('', False), FAILURE.UNREACHABLE, True),
        (exceptions.TransportError(''), FAILURE.CONNECTION_LOST, True),
        (exceptions.AnswerTimeout(''), FAILURE.TIMED_OUT, False),
        (exceptions.BadAnswer(''), FAILURE.BAD_ANSWER, False),
    ],
)
def test_failure_is_classified(error, failure, takes_group_down):
    assert requests.classify_failure(error) is failure
    assert failure.takes_group_down is takes_group_down
