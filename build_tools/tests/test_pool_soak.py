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
from build_tools.pool_soak import _traffic

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

SHORT_RUN = (
    '--seconds 6 --at-once 2 --nodes-per-zone 1 --callers 8 --seed 4'.split()
)


def test_short_soak_has_no_violation():
    completed = subprocess.run(
        [sys.executable, '-m', 'build_tools.pool_soak', *SHORT_RUN],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert completed.returncode == 0, (
        completed.stdout[-3000:] + completed.stderr[-2000:]
    )
    assert 'pay whole' in completed.stdout


def test_regressions_state_their_cause():
    path = pathlib.Path(pool_soak.__file__).parent / 'regressions.json'
    regressions = json.loads(path.read_text(encoding='utf-8'))
    assert all(row['cause'] and row['seconds'] > 0 for row in regressions)


class _FakeNode:
    name = 'n1'
    disturbed_until = float('-inf')


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
