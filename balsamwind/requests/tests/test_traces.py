"""Tests that replay request traces and compare their stated outcomes."""

import pathlib

import pytest

from balsamwind import exceptions
from balsamwind import replay

ROOT = pathlib.Path(__file__).resolve().parents[3]
TRACES = sorted((ROOT / 'traces/requests').glob('*.jsonl'))


@pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
def test_trace_meets_its_outcomes(path):
    findings = replay.replay_file(path)
    assert not findings, '\n'.join(map(str, findings))


def test_every_trace_states_outcomes():
    assert len(TRACES) >= 12
    for path in TRACES:
        assert any(
            'expect' in line.data for line in replay.load_trace_lines(path)
        )


def test_unmet_outcome_is_reported():
    lines = replay.load_trace_lines(ROOT / 'traces/requests/group-lost.jsonl')
    unmet_line = replay.TraceLine(
        'wrong', {'at': 9, 'expect': {'id': 'r', 'tokens': 4}}
    )
    (finding,) = replay.replay_requests([*lines, unmet_line])
    assert (finding.place, finding.got) == ('wrong', 3)


@pytest.mark.parametrize(
    'data', [{}, {'at': 1, 'event': 'x'}, {'at': 1, 'event': 'token'}]
)
def test_malformed_step_is_rejected(data):
    lines = [
        replay.TraceLine('1', {'trace': 'requests'}),
        replay.TraceLine('2', data),
    ]
    with pytest.raises(exceptions.InvalidInput):
        replay.replay_requests(lines)
