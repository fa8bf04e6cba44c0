"""What ``contract apply --wait`` says."""

import pytest

from balsamwind.cli import _in_force


def make_nodes(*rows):
    return [
        {'name': name, 'alive': alive, 'revision': revision, 'heard_ago': ago}
        for name, alive, revision, ago in rows
    ]


A = ('a', True, 8, 0.0)


@pytest.mark.parametrize(
    'rows, decided, text',
    [
        ([A], True, 'in force at 1 of 1 nodes'),
        (
            [A, ('b', True, 7, 0.2)],
            False,
            'in force at 1 of 2 nodes, b has revision 7',
        ),
        (
            [A, ('b', False, 7, 4.2)],
            False,
            'in force at 1 of 2 nodes, b not heard for 4 s',
        ),
        (
            [A, ('b', False, 8, 6.1)],
            True,
            'in force at 1 of 2 nodes, b not heard for 6 s',
        ),
        (
            [A, ('b', False, 0, None)],
            True,
            'in force at 1 of 2 nodes, b never heard',
        ),
        (
            [A, ('b', False, 8, 9.0), ('c', True, 3, 0.1)],
            False,
            'in force at 1 of 3 nodes, b not heard for 9 s, c has revision 3',
        ),
    ],
)
def test_in_force(rows, decided, text):
    seen = _in_force.check_in_force(make_nodes(*rows), 8)
    assert str(seen) == text
    assert seen.decided == decided
    assert seen.everywhere == (len(rows) == 1)
