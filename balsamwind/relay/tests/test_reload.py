"""What new bounds, read at SIGHUP, leave of the retry budgets."""

import asyncio
import dataclasses
import types

import pytest

from balsamwind import node
from balsamwind import relay
from balsamwind.relay.tests import forwarding

BOUNDS = node.Bounds(retry_ratio=0.2, retry_window=10.0, retry_extra=0.0)
REQUESTS = 100
ALLOWED = 17
"""Retries for them: the usable part of their share (count)."""


async def _make_relay():
    log = types.SimpleNamespace(
        log=None,
        record_rejection=None,
        record_quarantine=None,
        record_server_end=None,
    )
    clock = forwarding.Clock()
    made = relay.Relay('z1', BOUNDS, None, None, None, None, clock, log)
    budget = made.get_retry_budget('llm')
    for _ in range(REQUESTS):
        budget.record_request(clock.monotonic())
    return made, budget, clock.monotonic()


@pytest.mark.parametrize(
    ('spent_before', 'share', 'allowed'),
    [
        pytest.param(0, 0.2, ALLOWED, id='none was left'),
        pytest.param(ALLOWED, 0.2, 0, id='it was spent twice'),
        pytest.param(10, 0.2, ALLOWED - 10, id='it was spent in part'),
        pytest.param(5, 0.1, 3, id='a smaller one'),
    ],
)
def test_retry_budget_began_anew_with_new_bounds(spent_before, share, allowed):
    # BUDGET, and LOST: streams had no budget to move on with after a SIGHUP.
    async def run():
        made, budget, now = await _make_relay()
        for _ in range(spent_before):
            assert budget.try_consume(now)
        made.set_bounds(
            dataclasses.replace(BOUNDS, retry_ratio=share, grace=9.0)
        )
        # Requests that run keep the budget that they began with.
        assert made.get_retry_budget('llm') is budget
        return sum(budget.try_consume(now) for _ in range(REQUESTS))

    assert asyncio.run(run()) == allowed
