"""Repair times of replica groups, computed from log lines."""

import json

from click import testing
import pytest

from balsamwind.cli import _repairs


def make_row(seconds, event, node='n1', **values):
    timestamp = f'2026-12-04T04:00:{seconds:06.3f}+00:00'
    return {'event': event, 'node': node, 'timestamp': timestamp, **values}


MEMBER_LOSS = [
    make_row(0, 'group_forming', group='m.dc.1', members=['e1', 'e2']),
    make_row(1, 'group_opened', group='m.dc.1', state='open'),
    make_row(10, 'engine_down', group='m.dc.1', engine='e2'),
    make_row(10.1, 'engine_down', group='m.dc.1', engine='e1'),
    make_row(10.5, 'group_closed', group='m.dc.1', state='ready'),
]

REPLACEMENT = [
    make_row(11, 'group_forming', group='m.dc.2', members=['e1', 'e3']),
    make_row(12.25, 'group_opened', group='m.dc.2', state='open'),
]


@pytest.mark.parametrize(
    ('rows', 'closed', 'serving'),
    [
        (MEMBER_LOSS, 0.5, None),
        ([*MEMBER_LOSS, *REPLACEMENT], 0.5, 2.25),
        (
            [
                *MEMBER_LOSS,
                make_row(11, 'group_forming', group='m.dc.2', members=['e4']),
            ]
            + [make_row(12, 'group_opened', group='m.dc.2', state='open')],
            0.5,
            None,
        ),
        (
            [
                *MEMBER_LOSS,
                REPLACEMENT[0],
                make_row(12, 'group_opened', group='m.dc.2'),
            ],
            0.5,
            None,
        ),
    ],
)
def test_times_of_one_repair(rows, closed, serving):
    [repair] = _repairs.find_repairs(rows)
    assert repair.closed_at - repair.member_lost_at == pytest.approx(closed)
    if serving is None:
        assert repair.serving_at is None
    else:
        assert repair.serving_at - repair.member_lost_at == pytest.approx(
            serving
        )


def test_rows_of_different_nodes_are_not_compared():
    rows = [*MEMBER_LOSS, *({**row, 'node': 'n2'} for row in REPLACEMENT)]
    [repair] = _repairs.find_repairs(rows)
    assert repair.serving_at is None


@pytest.mark.parametrize(
    ('part', 'value'), [(0, 1), (50, 5), (95, 10), (100, 10)]
)
def test_nearest_rank_percentile(part, value):
    assert _repairs.compute_percentile(range(1, 11), part) == value


def test_command_prints_times(tmp_path):
    path = tmp_path / 'log'
    rows = [*MEMBER_LOSS, *REPLACEMENT]
    path.write_text('\n'.join(json.dumps(row) for row in rows))
    result = testing.CliRunner().invoke(_repairs.repairs, [str(path)])
    assert result.exit_code == 0
    assert 'groups that lost a member: 1' in result.output
    assert 'members serve again: 1 of 1, p50 2.25 s' in result.output


def test_command_fails_without_member_loss(tmp_path):
    path = tmp_path / 'log'
    path.write_text('{"event": "started"}')
    result = testing.CliRunner().invoke(_repairs.repairs, [str(path)])
    assert result.exit_code == 1
