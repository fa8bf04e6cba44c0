"""Lines about requests are bounded, and what is left out is counted."""

import dataclasses

import pytest

from balsamwind import exceptions
from balsamwind.node import _journal
from balsamwind.node.tests import doubles
from balsamwind.relay import _attempts

USUAL = 85.0
"""Requests that a node of the largest deployment gets (a second)."""


class _Lines:
    """A log that keeps its lines."""

    def __init__(self):
        self.rows = []

    def info(self, event, **fields):
        self.rows.append((event, fields))


@dataclasses.dataclass
class _Request:
    received_at: float
    path: str = '/ask/x'


@dataclasses.dataclass
class _Terms:
    request_id: str


class _Place:
    key = ('llm', 'm.dc.1', 1)
    in_flight = 3

    class record:
        server_id = 'e1'


def _play(rate, seconds, outcome='no_capacity', attempts=0):
    clock = doubles.Clock()
    lines = _Lines()
    journal = _journal.Journal(lines, clock)
    failure = _attempts.Failure(exceptions.BadAnswer('bad'))
    for number in range(round(rate * seconds)):
        clock.now += 1.0 / rate
        for _ in range(attempts):
            journal.note_attempt(f'r{number}', _Place, failure)
        terms = _Terms(f'r{number}')
        journal.note_request(_Request(clock.now), terms, outcome, 'why')
    return journal, lines.rows


@pytest.mark.parametrize('attempts', [0, 2])
def test_rate_of_lines_is_bounded_at_four_times_the_usual_load(attempts):
    seconds = 30.0
    _, rows = _play(4 * USUAL, seconds, attempts=attempts)
    about = [row for row in rows if row[0] != 'lines_left_out']
    limit = _journal.BURST + _journal.LINES_PER_SECOND * seconds
    assert len(about) <= limit + 1
    # One line tells of those before it, so at most as many as there are.
    assert len(rows) <= 2 * len(about)


def test_lines_left_out_are_counted():
    _, rows = _play(4 * USUAL, 30.0)
    left_out = sum(
        fields['count'] for event, fields in rows if event == 'lines_left_out'
    )
    written = sum(event == 'request_ended' for event, _ in rows)
    asked = round(4 * USUAL * 30.0)
    assert written + left_out <= asked
    assert written + left_out > 0.95 * asked


def test_few_failures_are_all_written():
    _, rows = _play(5.0, 20.0)
    assert [event for event, _ in rows] == ['request_ended'] * 100


def test_answered_requests_are_only_counted():
    journal, rows = _play(USUAL, 5.0, outcome='ok')
    assert rows == []
    count = journal.registry.get_sample_value(
        'balsamwind_answers_total', {'outcome': 'ok'}
    )
    assert count == round(USUAL * 5.0)
