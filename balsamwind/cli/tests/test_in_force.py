"""Text and end of the wait of ``contract apply --wait``."""

import pytest

from balsamwind.cli import _in_force


def make_nodes(*rows):
    return [
        {'name': name, 'alive': alive, 'revision': revision, 'heard_ago': ago}
        for name, alive, revision, ago in rows
    ]


APPLIED_NODE = ('a', True, 8, 0.0)


@pytest.mark.parametrize(
    'rows, decided, text',
    [
        ([APPLIED_NODE], True, 'in force at 1 of 1 nodes'),
        (
            [APPLIED_NODE, ('b', True, 7, 0.2)],
            False,
            'in force at 1 of 2 nodes, b has revision 7',
        ),
        (
            [APPLIED_NODE, ('b', False, 7, 4.2)],
            False,
            'in force at 1 of 2 nodes, b not heard for 4 s',
        ),
        (
            [APPLIED_NODE, ('b', False, 8, 6.1)],
            True,
            'in force at 1 of 2 nodes, b not heard for 6 s',
        ),
        (
            [APPLIED_NODE, ('b', False, 0, None)],
            True,
            'in force at 1 of 2 nodes, b never heard',
        ),
        (
            [APPLIED_NODE, ('b', False, 8, 9.0), ('c', True, 3, 0.1)],
            False,
            'in force at 1 of 3 nodes, b not heard for 9 s, c has revision 3',
        ),
    ],
)
def test_rollout_text_and_completion(rows, decided, text):
    rollout = _in_force.check_rollout(make_nodes(*rows), 8)
    assert str(rollout) == text
    assert rollout.is_final == decided
    assert rollout.is_complete == (len(rows) == 1)
