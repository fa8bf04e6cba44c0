"""Log lines that ``explain`` selects for a request."""

import json

from click import testing
import pytest

from balsamwind.cli import _explain

ROWS = [
    {'event': 'started', 'node': 'n1'},
    {
        'event': 'group_forming',
        'node': 'n2',
        'group': 'm.dc.7',
        'members': ['e1', 'e2'],
    },
    {'event': 'engine_down', 'node': 'n2', 'engine': 'e2', 'reason': 'silent'},
    {
        'event': 'attempt_failed',
        'node': 'n1',
        'id': 'r1',
        'place': 'llm:m.dc.7:7',
        'server': 'e1',
        'reason': 'the group stands still',
    },
    {
        'event': 'group_closing',
        'node': 'n2',
        'group': 'm.dc.7',
        'reason': "['e2'] do not answer",
    },
    {
        'event': 'request_ended',
        'node': 'n1',
        'id': 'r1',
        'outcome': 'answer_timeout',
    },
    {'event': 'request_ended', 'node': 'n1', 'id': 'r2', 'outcome': 'x'},
]


def _write(tmp_path):
    path = tmp_path / 'log'
    lines = ['no json', *(f'  1.5 n1 {json.dumps(row)}' for row in ROWS)]
    path.write_text('\n'.join(lines))
    return str(path)


def test_output_includes_failed_group(tmp_path):
    runner = testing.CliRunner()
    result = runner.invoke(_explain.explain, ['r1', _write(tmp_path)])
    assert result.exit_code == 0
    lines = [line.strip() for line in result.output.splitlines()]
    assert lines[0] == 'request r1'
    assert 'stands still' in lines[1]
    assert lines[3] == 'm.dc.7'
    assert any('group_closing' in line and 'e2' in line for line in lines)
    assert not any('r2' in line for line in lines)


@pytest.mark.parametrize('request_id', ['r3', ''])
def test_unknown_request_fails(tmp_path, request_id):
    runner = testing.CliRunner()
    result = runner.invoke(_explain.explain, [request_id, _write(tmp_path)])
    assert result.exit_code == 1
    assert 'no log line has this id' in result.output
