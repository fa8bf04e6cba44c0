"""Repeats of all nodes together while their processes start again."""

import math

import pytest

from balsamwind import relay
from balsamwind.relay import _relay

WINDOW = 10.0
"""Window of the retry budget (seconds)."""

EXTRA = 60.0
"""Repeats that are allowed in each window beyond the ratio (count)."""

STEP = WINDOW / 20
"""Time between two moments at which a node spends all it may (seconds)."""


def _spend_all(nodes, started_at, until):
    """Spend all that one process may, as soon as it may; times (seconds)."""
    share = EXTRA / (nodes + _relay.NODE_COUNT_MARGIN)
    predecessor_until = started_at if started_at > 0.0 else -math.inf
    budget = relay.RetryBudget(0.0, WINDOW, share, predecessor_until)
    spent_at = []
    for step in range(round((until - started_at) / STEP)):
        now = started_at + step * STEP
        while budget.try_consume(now):
            spent_at.append(now)
    return spent_at


@pytest.mark.parametrize('nodes', [1, 2, 6, 9, 30])
@pytest.mark.parametrize(
    'starts',
    [
        pytest.param((0.0,), id='no node starts again'),
        pytest.param((0.0, WINDOW / 4), id='each node starts again'),
        pytest.param(
            (0.0, WINDOW / 4, WINDOW / 2), id='each node starts again twice'
        ),
        pytest.param((0.0, 1.5 * WINDOW), id='each one lives a while'),
        pytest.param(
            (0.0, 1.0, 2.0, 2.0 + WINDOW, 3.0 + WINDOW),
            id='some starts follow each other',
        ),
    ],
)
def test_started_nodes_spent_more_than_all_are_allowed(starts, nodes):
    """A new process does not know what the one before has spent."""
    ends = (*starts[1:], starts[-1] + 3.0 * WINDOW)
    spent_at = [
        time
        for started_at, until in zip(starts, ends, strict=True)
        for time in _spend_all(nodes, started_at, until)
    ]
    worst = max(
        sum(start <= time < start + WINDOW for time in spent_at)
        for start in spent_at
    )
    assert nodes * worst <= EXTRA
    # What is withheld after a start is there again later.
    assert any(time > starts[-1] + WINDOW for time in spent_at)
