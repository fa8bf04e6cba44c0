"""Repeats of all nodes together while their processes start again."""

import pytest

from balsamwind import relay
from balsamwind.relay import _relay

NODES = 6
WINDOW = 10.0
"""Window of the retry budget (seconds)."""

EXTRA = 60.0
"""Repeats that are allowed in each window beyond the ratio (count)."""


def _spend_all(now):
    """Spend what the budget of a process that has just started allows."""
    share = EXTRA / (NODES + _relay.NODE_COUNT_MARGIN)
    budget = relay.RetryBudget(0.0, WINDOW, share)
    spent = 0
    while budget.try_consume(now):
        spent += 1
    return spent


@pytest.mark.parametrize(
    'starts',
    [
        pytest.param(1, id='no node starts again'),
        pytest.param(2, id='each node starts again'),
        pytest.param(3, id='each node starts again twice'),
    ],
)
def test_started_nodes_spent_more_than_all_are_allowed(starts):
    """A new process does not know what the one before has spent."""
    spent = sum(
        _spend_all(start * WINDOW / 4)
        for start in range(starts)
        for _ in range(NODES)
    )
    assert spent <= EXTRA
