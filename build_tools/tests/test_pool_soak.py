"""Tests of the soak test of nodes and of its checker."""

import json
import pathlib
import subprocess
import sys

import pytest

from build_tools import pool_soak
from build_tools.pool_soak import _callers
from build_tools.pool_soak import _checks
from build_tools.pool_soak import _fleet
from build_tools.pool_soak import _planned
from build_tools.pool_soak import _traffic

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

SHORT_RUN = (
    '--seconds 6 --at-once 2 --nodes-per-zone 1 --callers 8 --seed 4'.split()
)


PLANNED_RUN = '--planned --seconds 6 --callers 30 --seed 104'.split()


def _run_soak(arguments):
    """Run the soak; return what it printed if it has no violation."""
    completed = subprocess.run(
        [sys.executable, '-m', 'build_tools.pool_soak', *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert completed.returncode == 0, (
        completed.stdout[-3000:] + completed.stderr[-2000:]
    )
    return completed.stdout


def test_short_soak_has_no_violation():
    assert 'pay whole' in _run_soak(SHORT_RUN)


def test_broken_heads_of_servers_reach_no_caller():
    assert 'broke heads' in _run_soak([*SHORT_RUN, '--broken-heads'])


def test_planned_work_and_silent_engines_cut_no_request():
    assert 'was stopped and started again' in _run_soak(PLANNED_RUN)


def test_regressions_state_their_cause():
    path = pathlib.Path(pool_soak.__file__).parent / 'regressions.json'
    regressions = json.loads(path.read_text(encoding='utf-8'))
    assert all(row['cause'] and row['seconds'] > 0 for row in regressions)


class _FakeNode:
    name = 'n1'
    disturbed_until = float('-inf')

    def __init__(self, stops=()):
        self.stops = stops


class _FakeFleet:
    nodes = ()


KINDS = {kind.name: kind for kind in _traffic.REQUEST_KINDS}


def _make_call(kind, **values):
    fields = {
        'request_id': 'r1',
        'kind': KINDS[kind],
        'node': _FakeNode(),
        'key': 'key-a',
        'account': 'acme',
        'limit': 3.0,
        'sent_at': 100.0,
        'ended_at': 100.1,
    }
    return _callers.Call(**{**fields, **values})


def _make_run(kind, **values):
    run = {
        'ending': 'whole',
        'request_id': 'r1',
        'service': KINDS[kind].service,
        'server_id': 's1',
        'path': KINDS[kind].path,
        'body': 'body r1',
        'account': 'acme',
        'ended_at': 100.1,
        'leaked_key': False,
    }
    return {**run, **values}


STAMPED_HEADERS = {
    'x-balsamwind-response-stamp': 's',
    'x-balsamwind-request-id': 'r1',
}

EVENTS = b''.join(
    f'id: {n}\ndata: token {n} r1\n\n'.encode()
    for n in range(1, _fleet.EVENTS_PER_STREAM + 1)
)


@pytest.mark.parametrize(
    ('call', 'rule'),
    [
        (_make_call('pay', status=404), 'DENIED'),
        (_make_call('pay', status=401), 'DENIED'),
        (_make_call('pay', status=200, whole=True, body=b'x'), 'MIXED'),
        (
            _make_call('ask', status=200, whole=True, headers=STAMPED_HEADERS),
            'ORDER',
        ),
        (
            _make_call(
                'ask',
                status=200,
                headers=STAMPED_HEADERS,
                body=b'id: 2\ndata: x\n\n',
            ),
            'ORDER',
        ),
        (_make_call('pay', ended_at=104.0, error='no end'), 'LATE'),
        (_make_call('pay', error='malformed: no framing'), 'MIXED'),
    ],
)
def test_wrong_answer_is_violation(call, rule):
    checker = _checks.Checker(_FakeFleet())
    checker.record_call(call)
    assert any(text.startswith(rule) for text in checker.violations)


@pytest.mark.parametrize(
    'call',
    [
        _make_call('pay', status=503),
        _make_call(
            'ask', status=200, headers=STAMPED_HEADERS, body=EVENTS[:70]
        ),
        _make_call(
            'ask', status=200, headers=STAMPED_HEADERS, body=EVENTS, whole=True
        ),
    ],
)
def test_right_answer_is_no_violation(call):
    checker = _checks.Checker(_FakeFleet())
    checker.record_call(call)
    assert checker.violations == []


@pytest.mark.parametrize(
    ('call', 'runs', 'rule'),
    [
        (
            _make_call('pay', status=502),
            [_make_run('pay'), _make_run('pay')],
            'TWICE',
        ),
        (_make_call('pay', status=503), [_make_run('pay')], 'REFUSED'),
        (
            _make_call('pay', status=200),
            [_make_run('pay', account='bolt')],
            'UNASKED',
        ),
        (
            _make_call('pay', status=200),
            [_make_run('pay', leaked_key=True)],
            'UNASKED',
        ),
        (
            _make_call('pay', status=200),
            [_make_run('pay', service='books')],
            'CONFIG',
        ),
        (
            _make_call('pay', status=200, sent_at=200.0, ended_at=200.1),
            [_make_run('pay')],
            'CONFIG',
        ),
    ],
)
def test_wrong_execution_is_violation(call, runs, rule):
    checker = _checks.Checker(_FakeFleet())
    checker.revoked_at['key-a'] = 150.0
    checker._check_runs(call, runs)
    assert any(text.startswith(rule) for text in checker.violations)


def _make_cut_call(sent_at, ended_at, *stops, **values):
    values = {'status': 200, 'headers': STAMPED_HEADERS, **values}
    return _make_call(
        'ask',
        sent_at=sent_at,
        ended_at=ended_at,
        node=_FakeNode(stops),
        **values,
    )


CLOSED = {'status': 0, 'error': 'closed'}


@pytest.mark.parametrize(
    ('call', 'place'),
    [
        (_make_cut_call(100.0, 101.0), 'other node: ask cut'),
        (_make_cut_call(100.0, 101.0, (90.0, 93.0)), 'other node: ask cut'),
        (
            _make_cut_call(100.0, 101.0, (100.5, 103.0)),
            'stopped node: ask cut',
        ),
        (
            _make_cut_call(104.0, 104.5, (100.5, 107.0)),
            'sent late to a stopped node: ask cut',
        ),
        (_make_cut_call(100.0, 101.0, **CLOSED), 'other node: ask closed'),
        (_make_cut_call(100.0, 101.0, status=502), 'other node: ask 502'),
    ],
)
def test_request_without_complete_answer_is_cut(call, place):
    assert list(_planned.find_cut_requests([call], [], [])) == [place]


@pytest.mark.parametrize(
    'call',
    [
        _make_cut_call(100.0, 100.1, (99.9, 103.0), **CLOSED),
        _make_cut_call(100.0, 102.95),
        _make_cut_call(100.0, 104.5, error='no end'),
        _make_cut_call(104.0, 106.9, (101.5, 109.5), limit=4.0, status=503),
        _make_cut_call(100.0, 101.0, left_at=101.0),
    ],
)
def test_allowed_end_is_no_cut(call):
    assert not _planned.find_cut_requests([call], [], [])


@pytest.mark.parametrize(
    ('runs', 'is_cut'),
    [([], True), ([_make_run('ask', ending='', ended_at=107.0)], False)],
)
def test_engine_at_work_at_the_end_of_grace_excuses(runs, is_cut):
    call = _make_cut_call(103.0, 106.9, (100.1, 108.1), limit=4.5)
    assert bool(_planned.find_cut_requests([call], [], runs)) == is_cut


def test_closed_connection_of_passed_on_request_is_cut():
    call = _make_cut_call(100.0, 100.1, **CLOSED)
    arrivals = [(100.05, 'llm', call.request_id, 's1')]
    assert _planned.find_cut_requests([call], arrivals, [])


def test_run_that_its_server_broke_off_is_told_apart():
    call = _make_cut_call(100.0, 101.0)
    run = _make_run('ask', ending='cut')
    (place,) = _planned.find_cut_requests([call], [], [run])
    assert 'engine broke off' in place


def test_half_of_the_bodies_are_chunked():
    calls = [_make_call('pay', request_id=f'r{n}') for n in range(200)]
    chunked = [call for call in calls if call.is_chunked]
    assert 70 < len(chunked) < 130
    assert all(
        (b'chunked' in call.encode()[0]) == call.is_chunked for call in calls
    )
