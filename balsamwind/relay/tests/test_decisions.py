"""Decisions of the request path, without input or output."""

import random

import pytest

from balsamwind import exceptions
from balsamwind import pool
from balsamwind import relay
from balsamwind.relay import _attempts
from balsamwind import traffic

TERMS = traffic.EngineTerms(
    models=(traffic.ModelTerms('large', 4), traffic.ModelTerms('small', 2)),
    slots=9,
    step=0.0078,
    step_per_request=0.00018,
    prefill_rate=45900.0,
    stride=5,
)


def _place(name, model='large', data_centre='a'):
    record = pool.ServerRecord(name, 'llm', '10.0.0.1:1', data_centre)
    return relay.Backend(('llm', name, 1), record, 9, model)


def _demand(**values):
    rows = {
        'model': 'large',
        'prompt_tokens': 1400,
        'output_tokens': 150,
        'time_left': 8.0,
    }
    return relay.RequestRequirements(**{**rows, **values})


def _choose(places, demand=None, tried=(), now=10.0, terms=TERMS):
    return relay.choose_backend(
        places,
        terms,
        demand or _demand(),
        'a',
        tried,
        now,
        random.Random(0),
    )


def test_full_place_is_passed_over():
    full, free = _place('full'), _place('free')
    full.in_flight = 9
    assert _choose([full, free]) is free


def test_place_that_reads_a_long_prompt_is_passed_over():
    reading, free = _place('reading'), _place('free')
    reading.pending_prompt_tokens = 6000
    assert _choose([reading, free]) is free


def test_reported_load_of_others_counts_and_fades():
    busy, free = _place('busy'), _place('free')
    busy.update_load(relay.ReportedLoad(9, 4, 9), 10.0)
    assert _choose([busy, free]) is free
    assert busy.occupancy(10.0) == 13
    assert busy.occupancy(12.5) == 0


def test_own_data_centre_first_when_equal():
    near, far = _place('near'), _place('far', data_centre='b')
    wins = sum(_choose([far, near]) is near for _ in range(20))
    assert wins == 20


@pytest.mark.parametrize(
    ('places', 'tried', 'reason'),
    [
        ([], (), 'no group'),
        ([_place('x', 'small')], (), 'no group'),
        ([_place('x')], {('llm', 'x', 1)}, 'no group'),
    ],
)
def test_no_place(places, tried, reason):
    chosen = _choose(places, tried=tried)
    assert isinstance(chosen, relay.NoBackendAvailable)
    assert chosen.reason.startswith(reason)
    assert chosen.retry_after > 0


def test_what_can_not_start_in_time_is_refused_at_once():
    place = _place('x')
    place.in_flight = 60
    chosen = _choose([place], _demand(time_left=0.5))
    assert isinstance(chosen, relay.NoBackendAvailable)
    assert 0 < chosen.retry_after


def test_group_that_stands_still_is_ejected_until_it_goes_on():
    still, other = _place('still'), _place('other')
    other.in_flight = 9
    still.record_stall(10.0)
    assert _choose([still, other], now=10.1) is other
    still.record_progress(10.2)
    assert _choose([still, other], now=10.2) is still


def test_suspicion_grows_with_each_stall():
    place = _place('x')
    now, times = 10.0, []
    for _ in range(4):
        place.record_stall(now)
        times.append(round(place.ejected_until - now, 3))
        now = place.ejected_until
    assert times == [0.7, 1.4, 2.8, 2.8]


def test_if_all_groups_look_still_this_node_is_the_cause():
    places = [_place('x'), _place('y')]
    for place in places:
        place.record_stall(10.0)
    assert _choose(places, now=10.1) in places


def test_plain_server_is_used_though_it_failed_if_there_is_no_other():
    place = relay.Backend(
        ('svc', 'x', 1), pool.ServerRecord('x', 'svc', '10.0.0.1:1', 'a'), 6
    )
    for _ in range(3):
        place.record_failure(10.0)
    assert place.is_ejected(10.5)
    assert _choose([place], _demand(model=''), terms=None) is place


def test_tracking_counts_until_the_prompt_is_read():
    place = _place('x')
    with place.track(500) as note_read:
        assert (place.in_flight, place.pending_prompt_tokens) == (1, 500)
        note_read()
        assert (place.in_flight, place.pending_prompt_tokens) == (1, 0)
    assert (place.in_flight, place.pending_prompt_tokens) == (0, 0)


def test_budget_holds_in_every_window():
    budget = relay.RetryBudget(0.2, 10.0, 5.0)
    sent = []
    for step in range(600):
        now = step * 0.05
        budget.record_request(now)
        if budget.try_consume(now):
            sent.append(now)
    for start in sent:
        window = [time for time in sent if start <= time < start + 10.0]
        assert len(window) <= 0.2 * 200 + 5
    assert len(sent) > 60


@pytest.mark.parametrize(
    ('chunks', 'whole', 'last'),
    [
        ([b'id: 1\nda', b'ta: a\n\n'], b'id: 1\ndata: a\n\n', 1),
        ([b'id: 1\ndata: a\n\nid: 2\nda'], b'id: 1\ndata: a\n\n', 1),
        ([b'id:3\r\ndata: a\r\n\r\n'], b'id:3\r\ndata: a\r\n\r\n', 3),
        ([b'id: 1\ndata: a\n', b'\n'], b'id: 1\ndata: a\n\n', 1),
        ([b'da'], b'', -1),
    ],
)
def test_whole_events(chunks, whole, last):
    splitter = relay.EventStreamBuffer()
    assert b''.join(map(splitter.feed, chunks)) == whole
    assert splitter.last_event == last


ROUTES = {
    kind: traffic.Route(
        'r',
        'h',
        '/',
        kind,
        1.0,
        0.1,
        1,
        (traffic.Target('s'),),
        max_attempts=2,
        resumable=resumable,
    )
    for kind, resumable in (
        (traffic.RequestKind.IDEMPOTENT, False),
        (traffic.RequestKind.NON_IDEMPOTENT, False),
        (traffic.RequestKind.STREAM, True),
    )
}
REFUSED = _attempts.Failure(exceptions.BackendRefused('full'))
BROKEN = _attempts.Failure(exceptions.TransportError('reset'))


@pytest.mark.parametrize(
    ('kind', 'sends', 'failure', 'again'),
    [
        (traffic.RequestKind.IDEMPOTENT, 1, BROKEN, True),
        (traffic.RequestKind.IDEMPOTENT, 2, BROKEN, False),
        (traffic.RequestKind.NON_IDEMPOTENT, 1, BROKEN, False),
        (traffic.RequestKind.NON_IDEMPOTENT, 1, REFUSED, True),
        (traffic.RequestKind.STREAM, 1, BROKEN, True),
    ],
)
def test_sending_again(kind, sends, failure, again):
    assert _attempts.may_retry(ROUTES[kind], sends, failure) is again


@pytest.mark.parametrize(
    ('status', 'answer', 'run'),
    [
        (200, relay.AnswerTerms(stamped=True), None),
        (200, relay.AnswerTerms(), exceptions.OUTCOME_UNKNOWN),
        (503, relay.AnswerTerms(not_run=True), exceptions.NOT_RUN),
        (421, relay.AnswerTerms(), exceptions.NOT_RUN),
        (503, relay.AnswerTerms(stamped=True), None),
        (500, relay.AnswerTerms(stamped=True), None),
    ],
)
def test_what_an_answer_says_of_having_run(status, answer, run):
    failure = _attempts.check_response_headers(status, answer)
    assert (failure.error.run if failure else None) == run


def test_refused_model_is_still_seen_to_be_asked_for():
    meter = relay.DemandMeter()
    assert meter.shares(0.0) == {}
    for step in range(50):
        now = step * 0.1
        meter.record_arrival('large', 1.0, now)
        meter.record_arrival('small', 0.5, now)
    shares = meter.shares(5.0)
    assert shares['large'] == pytest.approx(2 / 3)
    assert meter.shares(60.0) == {}


def test_busy_time_follows_the_answer_and_the_model():
    short = relay.predict_service_time(TERMS, 'large', 1000, 25)
    long = relay.predict_service_time(TERMS, 'large', 1000, 250)
    assert 5 * short < long
