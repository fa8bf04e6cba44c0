"""Times of repairs, found from logs alone."""

import json

from click import testing
import pytest

from balsamwind.cli import _repairs


def _row(seconds, event, node='n1', **values):
    stamp = f'2026-12-04T04:00:{seconds:06.3f}+00:00'
    return {'event': event, 'node': node, 'timestamp': stamp, **values}


LOSS = [
    _row(0, 'group_forming', group='m.dc.1', members=['e1', 'e2']),
    _row(1, 'group_opened', group='m.dc.1', state='open'),
    _row(10, 'engine_down', group='m.dc.1', engine='e2'),
    _row(10.1, 'engine_down', group='m.dc.1', engine='e1'),
    _row(10.5, 'group_closed', group='m.dc.1', state='ready'),
]

REPLACED = [
    _row(11, 'group_forming', group='m.dc.2', members=['e1', 'e3']),
    _row(12.25, 'group_opened', group='m.dc.2', state='open'),
]


@pytest.mark.parametrize(
    ('rows', 'closed', 'serving'),
    [
        (LOSS, 0.5, None),
        ([*LOSS, *REPLACED], 0.5, 2.25),
        (
            [*LOSS, _row(11, 'group_forming', group='m.dc.2', members=['e4'])]
            + [_row(12, 'group_opened', group='m.dc.2', state='open')],
            0.5,
            None,
        ),
        (
            [*LOSS, REPLACED[0], _row(12, 'group_opened', group='m.dc.2')],
            0.5,
            None,
        ),
    ],
)
def test_one_loss(rows, closed, serving):
    [found] = _repairs.find_repairs(rows)
    assert found.closed_at - found.down_at == pytest.approx(closed)
    if serving is None:
        assert found.serving_at is None
    else:
        assert found.serving_at - found.down_at == pytest.approx(serving)


def test_lines_of_other_nodes_are_not_compared():
    rows = [*LOSS, *({**row, 'node': 'n2'} for row in REPLACED)]
    [found] = _repairs.find_repairs(rows)
    assert found.serving_at is None


@pytest.mark.parametrize(
    ('part', 'value'), [(0, 1), (50, 5), (95, 10), (100, 10)]
)
def test_percentiles(part, value):
    assert _repairs.find_percentile(range(1, 11), part) == value


def test_command(tmp_path):
    path = tmp_path / 'log'
    rows = [*LOSS, *REPLACED]
    path.write_text('\n'.join(json.dumps(row) for row in rows))
    done = testing.CliRunner().invoke(_repairs.repairs, [str(path)])
    assert done.exit_code == 0
    assert 'groups that lost a member: 1' in done.output
    assert 'members serve again: 1 of 1, p50 2.25 s' in done.output


def test_command_without_losses(tmp_path):
    path = tmp_path / 'log'
    path.write_text('{"event": "started"}')
    done = testing.CliRunner().invoke(_repairs.repairs, [str(path)])
    assert done.exit_code == 1
