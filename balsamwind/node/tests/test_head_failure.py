"""Unreachable heads: their members are reused only after the stall bound.

An unreachable head may still serve its group until the group is broken.
Members that join another group before would serve two groups at once.
"""

import asyncio

from balsamwind.node.tests import helpers
from standins import pool as pool_standin

TIMES = pool_standin.Times(heartbeat=0.2, stall=2.5)
"""Entries expire long before the group of an unreachable head is broken."""


async def _replace_lost_head(fake_platform, process):
    await helpers.wait_until(
        lambda: helpers.count_serving_groups(process) == 1
    )
    head = helpers.find_open_head(fake_platform)
    helpers.add_spare_engine(fake_platform)
    head.dark = True
    await helpers.wait_until(
        lambda: (
            helpers.find_open_head(fake_platform, excluding=head) is not None
        )
    )
    return fake_platform.trace.violations


def test_members_of_an_unreachable_head_are_reused_after_the_stall_bound():
    async def body():
        async with (
            helpers.open_platform(2, TIMES) as fake_platform,
            helpers.open_node(fake_platform) as process,
        ):
            return await _replace_lost_head(fake_platform, process)

    assert asyncio.run(body()) == []


def test_new_leader_counts_the_time_before_its_takeover():
    """It uses the time for which the entry of the head has been missing."""

    async def body():
        async with (
            helpers.open_platform(2, TIMES) as fake_platform,
            helpers.open_node(fake_platform, 'n1') as first,
            helpers.open_node(fake_platform, 'n2') as second,
        ):
            await helpers.wait_until(
                lambda: helpers.count_serving_groups(second) == 1
            )
            head = helpers.find_open_head(fake_platform)
            helpers.add_spare_engine(fake_platform)
            head.dark = True
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            await asyncio.sleep(1.5)
            await helpers.stop_leading(first)
            await helpers.wait_until(
                lambda: (
                    helpers.find_open_head(fake_platform, excluding=head)
                    is not None
                )
            )
            return loop.time() - started_at, fake_platform.trace.violations

    duration, violations = asyncio.run(body())
    assert violations == []
    assert duration < 4.2
