"""Request log lines are limited in rate, and suppressed lines are counted."""

import dataclasses

import pytest

from balsamwind import exceptions
from balsamwind.node import _request_log
from balsamwind.node.tests import doubles
from balsamwind import pool
from balsamwind import relay
from balsamwind.relay import _attempts

USUAL_RATE = 85.0
"""Request rate of one node of the largest deployment (requests per second)."""


class _RecordingLog:
    """Log that keeps its events and their fields."""

    def __init__(self):
        self.rows = []

    def info(self, event, **fields):
        self.rows.append((event, fields))


@dataclasses.dataclass
class _Request:
    received_at: float
    path: str = '/ask/x'


class _Backend:
    key = ('llm', 'm.dc.1', 1)
    in_flight = 3

    class record:
        server_id = 'e1'


def _run_requests(rate, seconds, outcome='no_capacity', attempts=0):
    clock = doubles.Clock()
    log = _RecordingLog()
    request_log = _request_log.RequestLog(log, clock)
    failure = _attempts.Failure(exceptions.BadAnswer('bad'))
    for number in range(round(rate * seconds)):
        clock.now += 1.0 / rate
        metadata = relay.RequestMetadata(f'r{number}')
        for _ in range(attempts):
            request_log.record_failed_attempt(metadata, _Backend, failure)
        request_log.record_request(
            _Request(clock.now), metadata, outcome, 'why'
        )
    return request_log, log.rows


@pytest.mark.parametrize('attempts', [0, 2])
def test_log_rate_is_limited_at_four_times_the_usual_load(attempts):
    seconds = 30.0
    _, rows = _run_requests(4 * USUAL_RATE, seconds, attempts=attempts)
    request_rows = [row for row in rows if row[0] != 'lines_left_out']
    limit = (
        _request_log.MAX_BURST + _request_log.MAX_LINES_PER_SECOND * seconds
    )
    assert len(request_rows) <= limit + 1
    # Each line that reports suppressed lines precedes a line about a request.
    assert len(rows) <= 2 * len(request_rows)


def test_suppressed_lines_are_counted():
    _, rows = _run_requests(4 * USUAL_RATE, 30.0)
    suppressed = sum(
        fields['count'] for event, fields in rows if event == 'lines_left_out'
    )
    written = sum(event == 'request_ended' for event, _ in rows)
    request_count = round(4 * USUAL_RATE * 30.0)
    assert written + suppressed <= request_count
    assert written + suppressed > 0.95 * request_count


def test_all_failures_are_logged_at_a_low_rate():
    _, rows = _run_requests(5.0, 20.0)
    assert [event for event, _ in rows] == ['request_ended'] * 100


def test_successful_requests_are_counted_and_not_logged():
    request_log, rows = _run_requests(USUAL_RATE, 5.0, outcome='ok')
    assert rows == []
    count = request_log.metrics_registry.get_sample_value(
        'balsamwind_answers_total', {'outcome': 'ok'}
    )
    assert count == round(USUAL_RATE * 5.0)


@pytest.mark.parametrize(
    ('framing', 'unfinished_bytes', 'inside_event', 'logged'),
    [
        pytest.param('chunked', 0, 'no', False, id='regular end'),
        pytest.param('close', 0, 'no', False, id='close between events'),
        pytest.param('close', 7, 'yes', True, id='close inside an event'),
    ],
)
def test_end_of_a_stream_is_counted_by_how_it_was_marked(
    framing, unfinished_bytes, inside_event, logged
):
    log = _RecordingLog()
    request_log = _request_log.RequestLog(log, doubles.Clock())
    request_log.record_stream_end('r1', _Backend, framing, unfinished_bytes)
    count = request_log.metrics_registry.get_sample_value(
        'balsamwind_stream_ends_total',
        {'framing': framing, 'inside_event': inside_event},
    )
    assert count == 1
    assert [event for event, _ in log.rows] == (
        ['stream_ended_inside_event'] if logged else []
    )


def test_failed_attempt_tells_what_a_crashed_engine_had_begun():
    log = _RecordingLog()
    clock = doubles.Clock()
    request_log = _request_log.RequestLog(log, clock)
    failure = _attempts.Failure(exceptions.TransportError('cut'))
    metadata = relay.RequestMetadata('r1', shared_parts=('a1', 'b2'))
    progress = relay.AttemptProgress(clock.now - 0.5)
    request_log.record_failed_attempt(metadata, _Backend, failure, progress)
    progress.record_events(clock.now - 0.25)
    request_log.record_failed_attempt(metadata, _Backend, failure, progress)
    fields = [row[1] for row in log.rows]
    assert [row['parts'] for row in fields] == [['a1', 'b2']] * 2
    assert [row['began'] for row in fields] == [True, True]
    assert [row['writing'] for row in fields] == [None, 0.25]


def test_waits_are_counted_by_rank_and_logged_within_the_bound():
    clock = doubles.Clock()
    log = _RecordingLog()
    request_log = _request_log.RequestLog(log, clock)
    for number in range(1000):
        clock.now += 0.001
        request_log.record_wait(f'r{number}', 1, 'acme', 0.25, 'started')
    request_log.record_rejection('too_late')
    registry = request_log.metrics_registry
    assert (
        registry.get_sample_value(
            'balsamwind_wait_seconds_count', {'rank': '1'}
        )
        == 1000
    )
    assert (
        registry.get_sample_value(
            'balsamwind_queue_rejections_total', {'reason': 'too_late'}
        )
        == 1
    )
    lines = [event for event, _ in log.rows if event == 'request_waited']
    assert len(lines) <= (
        _request_log.MAX_BURST + _request_log.MAX_LINES_PER_SECOND
    )
    assert log.rows[0] == (
        'request_waited',
        {
            'id': 'r0',
            'rank': 1,
            'account': 'acme',
            'wait': 0.25,
            'outcome': 'started',
        },
    )


def test_requests_that_are_not_read_are_counted_and_logged():
    log = _RecordingLog()
    request_log = _request_log.RequestLog(log, doubles.Clock())
    request_log.record_unread_request(exceptions.NoMemory('full'))
    assert log.rows == [
        ('request_not_read', {'outcome': 'no_memory', 'reason': 'full'})
    ]
    count = request_log.metrics_registry.get_sample_value(
        'balsamwind_answers_total', {'outcome': 'no_memory'}
    )
    assert count == 1.0


def test_crowd_of_failed_requests_hid_an_end_that_was_not_counted():
    request_log, rows = _run_requests(4 * USUAL_RATE, 30.0)
    request_log.record_server_end(
        pool.ServerRecord('e1', 'llm', '127.0.0.1:1', 'z1'),
        relay.EndVerdict.NO_WITNESS,
        ('request:1',),
    )
    event, fields = rows[-1]
    assert event == 'end_not_counted'
    assert fields['reason'] == 'no_witness'
    assert fields['parts'] == ['request:1']


def _read_metric(request_log, name, **labels):
    return request_log.metrics_registry.get_sample_value(name, labels)


@pytest.mark.parametrize('verdict', list(relay.EndVerdict))
def test_unfinished_answers_are_counted_by_what_their_servers_did(verdict):
    request_log, _ = _run_requests(1.0, 0.0)
    record = pool.ServerRecord('e1', 'llm', '127.0.0.1:1', 'z1')
    request_log.record_server_end(record, verdict, ('request:1',))
    assert (
        _read_metric(
            request_log,
            'balsamwind_server_ends_total',
            service='llm',
            verdict=verdict.value,
        )
        == 1.0
    )


@pytest.mark.parametrize(
    ('repeats', 'expected', 'excess'),
    [
        pytest.param(relay.Repeats(), {}, None, id='not sent'),
        pytest.param(relay.Repeats(1, runs=1), {}, None, id='once'),
        pytest.param(
            relay.Repeats(3, 1, runs=2, max_runs=2),
            {'paid': 1, 'unpaid': 1},
            None,
            id='one was not paid for',
        ),
        pytest.param(
            relay.Repeats(2, 1, 1, runs=2),
            {'paid': 1, 'refused': 1},
            1.0,
            id='more runs than allowed',
        ),
    ],
)
def test_repeats_are_counted_by_who_paid(repeats, expected, excess):
    request_log, _ = _run_requests(1.0, 0.0)
    request_log.record_repeats('llm', repeats)
    for payment in ('paid', 'unpaid', 'refused'):
        value = _read_metric(
            request_log,
            'balsamwind_repeats_total',
            service='llm',
            payment=payment,
        )
        assert value == expected.get(payment)
    assert excess == _read_metric(
        request_log, 'balsamwind_excess_runs_total', service='llm'
    )
