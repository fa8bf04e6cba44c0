"""Retry budget of a node that has started again."""

import asyncio

import pytest

from balsamwind.node.tests import helpers


@pytest.mark.parametrize(
    ('first_start', 'spends'),
    [
        pytest.param(True, True, id='the whole system starts'),
        pytest.param(False, False, id='this node starts again'),
    ],
)
def test_restarted_node_spent_what_the_one_before_had_spent(
    first_start, spends
):
    # BUDGET: each process of a node spent the fixed part of a window.
    async def scenario():
        async with (
            helpers.open_platform(2) as fake_platform,
            helpers.open_node(
                fake_platform, first_start=first_start
            ) as process,
        ):
            await helpers.wait_until(
                lambda: helpers.count_serving_groups(process) == 1
            )
            budget = process.relay.get_retry_budget('llm')
            return budget.try_consume(process.relay.clock.monotonic())

    assert asyncio.run(scenario()) is spends
