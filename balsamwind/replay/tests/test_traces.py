"""Replay of all control path traces, and findings in malformed traces."""

import json
import pathlib

from click import testing
import pytest

from balsamwind import cli
from balsamwind.cli import _replay
from balsamwind import exceptions
from balsamwind import replay

ROOT = pathlib.Path(__file__).resolve().parents[3]
TRACES = sorted((ROOT / 'traces' / 'control').glob('*.jsonl'))

HEADER = {
    'trace': 'control',
    'name': 'small',
    'nodes': {'a1': 'a'},
    'vms': {'a': {'a-d0': 2}},
}


@pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
def test_trace_meets_expected_outcomes(path):
    assert replay.replay_file(path) == []


def write_trace(tmp_path, *lines):
    path = tmp_path / 'trace.jsonl'
    path.write_text('\n'.join(map(json.dumps, lines)), encoding='utf-8')
    return path


@pytest.mark.parametrize(
    'lines, line, allowed',
    [
        ([], '', 'a header line'),
        ([{'at': 1}], '1', 'a header line'),
        ([{'trace': 'x'}], '1', 'control'),
        ([{'trace': 'control'}], '1', 'missing'),
        ([HEADER, 5], '2', 'a JSON object'),
        ([HEADER, {'event': 'store', 'down': True}], '2', '"at"'),
        ([HEADER, {'at': 1, 'event': 'storm'}], '2', '"event" one of'),
        ([HEADER, {'at': 1, 'event': 'store'}], '2', 'missing'),
        ([HEADER, {'at': 1, 'event': 'store', 'x': 1}], '2', 'only the keys'),
        ([HEADER, {'at': 1, 'expect': {'x': 1}}], '2', 'only the keys'),
        (
            [HEADER, {'at': 2, 'expect': {}}, {'at': 1, 'expect': {}}],
            '3',
            'at least 2',
        ),
    ],
)
def test_malformed_trace_raises_finding(tmp_path, lines, line, allowed):
    path = write_trace(tmp_path, *lines)
    with pytest.raises(exceptions.InvalidInput) as caught:
        replay.replay_file(path)
    finding = caught.value.findings[0]
    assert finding.place == (f'{path}:{line}' if line else str(path))
    assert allowed in finding.allowed


@pytest.mark.parametrize(
    'steps, code, text',
    [
        ([{'at': 1, 'expect': {'claims': 0}}], 0, 'ok'),
        ([{'at': 1, 'expect': {'claims': 7}}], 1, ':2 (at 1 s): /expect/cl'),
        ([{'at': 1}], 2, ':2: /'),
    ],
)
def test_replay_command_exit_code(tmp_path, steps, code, text):
    path = write_trace(tmp_path, HEADER, *steps)
    result = testing.CliRunner().invoke(_replay.replay, [str(path)])
    assert result.exit_code == code
    assert text in result.output


def test_command_line_has_entry_point():
    assert callable(cli.main)
