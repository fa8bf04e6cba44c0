"""Heads that fall silent: their members are free once they must be broken."""

import asyncio

from balsamwind.node.tests import parts
from standins import pool as pool_standin

TIMES = pool_standin.Times(heartbeat=0.2, stall=2.5)
"""Entries lapse long before a head that stands still is broken."""


async def _lose_head(outside, process):
    await parts.wait_until(lambda: parts.count_served(process) == 1)
    head = next(
        engine
        for engine in outside.engines.values()
        if engine.group and engine.group['State'] == 'open'
    )
    outside.add_engine('spare', 'llm', 'z1', 'd1').staged = [parts.MODEL]
    outside.engines['spare'].write_entry()
    head.dark = True
    await parts.wait_until(
        lambda: any(
            engine.group
            and engine.group['State'] == 'open'
            and engine is not head
            for engine in outside.engines.values()
        )
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
