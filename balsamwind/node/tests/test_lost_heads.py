"""Heads that fall silent: their members are free once they must be broken."""

import asyncio

from balsamwind.node.tests import parts
from standins import pool as pool_standin

TIMES = pool_standin.Times(heartbeat=0.2, stall=2.5)
"""Entries lapse long before a head that stands still is broken."""


async def _lose_head(outside, process):
    await parts.wait_until(lambda: parts.count_served(process) == 1)
    head = parts.find_open(outside)
    parts.add_spare(outside)
    head.dark = True
    await parts.wait_until(
        lambda: parts.find_open(outside, but=head) is not None
    )
    return outside.witness.violations


def test_members_of_a_silent_head_wait_until_it_is_broken():
    async def body():
        async with (
            parts.open_platform(2, TIMES) as outside,
            parts.open_node(outside) as process,
        ):
            return await _lose_head(outside, process)

    assert asyncio.run(body()) == []


def test_new_leader_does_not_wait_anew():
    """It knows how long the entry of a silent head has been missing."""

    async def body():
        async with (
            parts.open_platform(2, TIMES) as outside,
            parts.open_node(outside, 'n1') as first,
            parts.open_node(outside, 'n2') as second,
        ):
            await parts.wait_until(lambda: parts.count_served(second) == 1)
            head = parts.find_open(outside)
            parts.add_spare(outside)
            head.dark = True
            loop = asyncio.get_running_loop()
            began = loop.time()
            await asyncio.sleep(1.5)
            await parts.stop_leading(first)
            await parts.wait_until(
                lambda: parts.find_open(outside, but=head) is not None
            )
            return loop.time() - began, outside.witness.violations

    took, violations = asyncio.run(body())
    assert violations == []
    assert took < 4.2
