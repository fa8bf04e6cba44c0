"""Tests of the decisions in the request path, without any I/O."""

import random

import pytest

from balsamwind import exceptions
from balsamwind import pool
from balsamwind import relay
from balsamwind.relay import _attempts
from balsamwind.relay import _event_stream
from balsamwind.relay import _load_balancing
from balsamwind import traffic

ENGINE = traffic.EngineProfile(
    models=(
        traffic.ModelProfile('large', 4),
        traffic.ModelProfile('small', 2),
    ),
    slots=9,
    step_time=0.0078,
    step_time_per_request=0.00018,
    prefill_rate=45900.0,
    steps_per_pass=5,
)


def _make_backend(name, model='large', data_centre='a'):
    record = pool.ServerRecord(name, 'llm', '10.0.0.1:1', data_centre)
    return relay.Backend(('llm', name, 1), record, 9, model)


def _make_requirements(**values):
    defaults = {
        'model': 'large',
        'prompt_tokens': 1400,
        'output_tokens': 150,
        'time_left': 8.0,
    }
    return relay.RequestRequirements(**{**defaults, **values})


def _choose(backends, requirements=None, tried=(), now=10.0, engine=ENGINE):
    return relay.choose_backend(
        backends,
        engine,
        requirements or _make_requirements(),
        'a',
        tried,
        now,
        random.Random(0),
    )


def test_full_backend_is_not_chosen():
    full, free = _make_backend('full'), _make_backend('free')
    full.in_flight = 9
    assert _choose([full, free]) is free


def test_backend_with_pending_prefill_is_not_chosen():
    prefilling, free = _make_backend('reading'), _make_backend('free')
    prefilling.pending_prompt_tokens = 6000
    assert _choose([prefilling, free]) is free


def test_reported_load_of_other_nodes_counts_and_decays():
    busy, free = _make_backend('busy'), _make_backend('free')
    busy.update_load(relay.ReportedLoad(9, 4, 9), 10.0)
    assert _choose([busy, free]) is free
    assert busy.occupancy(10.0) == 13
    assert busy.occupancy(12.5) == 0


def test_room_that_other_placing_nodes_use_too_must_be_known():
    """One request may find out; a recent report allows more."""
    backend = _make_backend('far', data_centre='b')
    assert backend.has_known_room(10.0)
    backend.in_flight = 1
    assert not backend.has_known_room(10.0)
    backend.update_load(relay.ReportedLoad(6, 0, 9), 10.0)
    assert backend.has_known_room(10.1)
    backend.in_flight = 4
    assert not backend.has_known_room(10.1)
    backend.in_flight = 2
    assert backend.has_known_room(10.1)
    assert not backend.has_known_room(11.1)
    backend.in_flight = 0
    backend.record_stall(11.1)
    assert not backend.has_known_room(11.2)


def test_own_data_centre_is_preferred_at_equal_load():
    near, far = _make_backend('near'), _make_backend('far', data_centre='b')
    wins = sum(_choose([far, near]) is near for _ in range(20))
    assert wins == 20


@pytest.mark.parametrize(
    ('backends', 'tried', 'reason'),
    [
        ([], (), 'no group'),
        ([_make_backend('x', 'small')], (), 'no group'),
        ([_make_backend('x')], {('llm', 'x', 1)}, 'no group'),
    ],
)
def test_no_backend_available(backends, tried, reason):
    chosen = _choose(backends, tried=tried)
    assert isinstance(chosen, relay.NoBackendAvailable)
    assert chosen.reason.startswith(reason)
    assert chosen.retry_after > 0


def test_request_is_rejected_if_it_can_not_start_before_its_deadline():
    backend = _make_backend('x')
    backend.in_flight = 60
    chosen = _choose([backend], _make_requirements(time_left=0.5))
    assert isinstance(chosen, relay.NoBackendAvailable)
    assert 0 < chosen.retry_after


def test_stalled_group_is_ejected_until_it_makes_progress():
    stalled, other = _make_backend('still'), _make_backend('other')
    other.in_flight = 9
    stalled.record_stall(10.0)
    assert _choose([stalled, other], now=10.1) is other
    stalled.record_progress(10.2)
    assert _choose([stalled, other], now=10.2) is stalled


def test_ejection_time_doubles_with_each_stall():
    backend = _make_backend('x')
    now, ejection_times = 10.0, []
    for _ in range(4):
        backend.record_stall(now)
        ejection_times.append(round(backend.ejected_until - now, 3))
        now = backend.ejected_until
    assert ejection_times == [0.7, 1.4, 2.8, 2.8]


def test_ejections_are_ignored_if_all_groups_are_ejected():
    backends = [_make_backend('x'), _make_backend('y')]
    for backend in backends:
        backend.record_stall(10.0)
    assert _choose(backends, now=10.1) in backends


def test_only_server_of_a_plain_service_is_used_although_ejected():
    backend = relay.Backend(
        ('svc', 'x', 1), pool.ServerRecord('x', 'svc', '10.0.0.1:1', 'a'), 6
    )
    for _ in range(3):
        backend.record_failure(10.0)
    assert backend.is_ejected(10.5)
    assert (
        _choose([backend], _make_requirements(model=''), engine=None)
        is backend
    )


def test_prompt_tokens_are_pending_until_the_prompt_is_processed():
    backend = _make_backend('x')
    with backend.track(500) as mark_prompt_processed:
        assert (backend.in_flight, backend.pending_prompt_tokens) == (1, 500)
        mark_prompt_processed()
        assert (backend.in_flight, backend.pending_prompt_tokens) == (1, 0)
    assert (backend.in_flight, backend.pending_prompt_tokens) == (0, 0)


def test_retry_budget_holds_in_every_window():
    budget = relay.RetryBudget(0.2, 10.0, 5.0)
    retried_at = []
    for step in range(600):
        now = step * 0.05
        budget.record_request(now)
        if budget.try_consume(now):
            retried_at.append(now)
    for start in retried_at:
        window = [time for time in retried_at if start <= time < start + 10.0]
        assert len(window) <= 0.2 * 200 + 5
    assert len(retried_at) > 60


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
def test_only_complete_events_are_released(chunks, whole, last):
    stream = _event_stream.EventStream()
    buffer = stream.open_attempt()
    assert b''.join(map(buffer.feed, chunks)) == whole
    assert stream.last_event_id == last


def test_event_that_never_ends_is_given_up_at_a_bounded_size():
    buffer = _event_stream.EventStream().open_attempt()
    chunk = b'x' * 65536
    with pytest.raises(exceptions.BadAnswer):
        for _ in range(2 * _event_stream.MAX_EVENT_SIZE // len(chunk)):
            buffer.feed(chunk)
    assert buffer.unfinished_bytes <= _event_stream.MAX_EVENT_SIZE


def test_event_of_the_largest_size_is_released():
    buffer = _event_stream.EventStream().open_attempt()
    event = b'data: ' + b'x' * (_event_stream.MAX_EVENT_SIZE - 8) + b'\n\n'
    released = b''.join(
        buffer.feed(event[start : start + 65536])
        for start in range(0, len(event), 65536)
    )
    assert released == event


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
NOT_RUN_FAILURE = _attempts.Failure(exceptions.BackendRefused('full'))
UNKNOWN_OUTCOME_FAILURE = _attempts.Failure(exceptions.TransportError('reset'))


@pytest.mark.parametrize(
    ('kind', 'sends', 'failure', 'again'),
    [
        (traffic.RequestKind.IDEMPOTENT, 1, UNKNOWN_OUTCOME_FAILURE, True),
        (traffic.RequestKind.IDEMPOTENT, 2, UNKNOWN_OUTCOME_FAILURE, False),
        (
            traffic.RequestKind.NON_IDEMPOTENT,
            1,
            UNKNOWN_OUTCOME_FAILURE,
            False,
        ),
        (traffic.RequestKind.NON_IDEMPOTENT, 1, NOT_RUN_FAILURE, True),
        (traffic.RequestKind.STREAM, 1, UNKNOWN_OUTCOME_FAILURE, True),
    ],
)
def test_retries_allowed_by_route_kind_and_outcome(
    kind, sends, failure, again
):
    assert _attempts.may_retry(ROUTES[kind], sends, failure) is again


@pytest.mark.parametrize(
    ('status', 'answer', 'run'),
    [
        (200, relay.ResponseMetadata(signed=True), None),
        (200, relay.ResponseMetadata(), exceptions.OUTCOME_UNKNOWN),
        (503, relay.ResponseMetadata(not_run=True), exceptions.NOT_RUN),
        (421, relay.ResponseMetadata(), exceptions.NOT_RUN),
        (503, relay.ResponseMetadata(signed=True), None),
        (500, relay.ResponseMetadata(signed=True), None),
    ],
)
def test_response_headers_tell_whether_the_request_ran(status, answer, run):
    failure = _attempts.check_response_headers(status, answer)
    assert (failure.error.run if failure else None) == run


def test_demand_is_counted_on_arrival_and_decays():
    meter = relay.DemandMeter()
    assert meter.shares(0.0) == {}
    for step in range(50):
        now = step * 0.1
        meter.record_arrival('large', 1.0, now)
        meter.record_arrival('small', 0.5, now)
    shares = meter.shares(5.0)
    assert shares['large'] == pytest.approx(2 / 3)
    assert meter.shares(60.0) == {}


def test_service_time_grows_with_the_output():
    short = relay.predict_service_time(ENGINE, 'large', 1000, 25)
    long = relay.predict_service_time(ENGINE, 'large', 1000, 250)
    assert 5 * short < long


def _find_lowest_cost(backends, engine, requirements, now):
    """Return the lowest cost by a plain pass over all backends."""
    costs = []
    for backend in backends:
        cost = relay.predict_time_to_first_event(
            backend, engine, requirements, now
        )
        cost += (
            _load_balancing.FULL_OCCUPANCY_COST
            * backend.occupancy(now)
            / backend.slots
        )
        if backend.record.data_centre != 'a':
            cost += _load_balancing.CROSS_DATA_CENTRE_COST
        costs.append((cost, backend))
    return min(costs, key=lambda item: item[0])


@pytest.mark.parametrize('engine', [ENGINE, None])
@pytest.mark.parametrize('seed', range(30))
def test_choice_agrees_with_a_pass_over_all_backends(seed, engine):
    """Backends of other data centres are passed over only in vain."""
    rng = random.Random(seed)
    model = 'large' if engine else ''
    backends = []
    for number in range(40):
        backend = _make_backend(f'b{number}', model, rng.choice('abc'))
        backend.in_flight = rng.choice([0, 3, 8, 9, 12, 15])
        if rng.random() < 0.3:
            backend.update_load(relay.ReportedLoad(9, 3, 9), 9.5)
        backend.pending_prompt_tokens = rng.choice([0, 0, 2000, 9000])
        backends.append(backend)
    if seed % 3 == 0:
        for backend in backends:
            if backend.record.data_centre == 'a':
                backend.in_flight = 12
    requirements = _make_requirements(model=model)
    best_cost, _ = _find_lowest_cost(backends, engine, requirements, 10.0)
    chosen = _choose(backends, requirements, engine=engine)
    chosen_cost, _ = _find_lowest_cost([chosen], engine, requirements, 10.0)
    # The random term of the choice is the only difference.
    assert chosen_cost <= best_cost + _load_balancing.MAX_JITTER
