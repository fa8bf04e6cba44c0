"""Heads that fall silent: their members are free once they must be broken."""

import asyncio

from balsamwind.node.tests import parts
from standins import pool as pool_standin

TIMES = pool_standin.Times(heartbeat=0.2, stall=2.5)
"""Entries lapse long before a head that stands still is broken."""


def _find_open(outside, but=None):
    """An engine that is the head of an open group, or None."""
    for engine in outside.engines.values():
        is_open = engine.group and engine.group['State'] == 'open'
        if is_open and engine is not but:
            return engine
    return None


def _add_spare(outside):
    outside.add_engine('spare', 'llm', 'z1', 'd1').staged = [parts.MODEL]
    outside.engines['spare'].write_entry()


async def _lose_head(outside, process):
    await parts.wait_until(lambda: parts.count_served(process) == 1)
    head = _find_open(outside)
    _add_spare(outside)
    head.dark = True
    await parts.wait_until(lambda: _find_open(outside, but=head) is not None)
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
            head = _find_open(outside)
            _add_spare(outside)
            head.dark = True
            loop = asyncio.get_running_loop()
            began = loop.time()
            await asyncio.sleep(1.5)
            await _stop_leading(first)
            await parts.wait_until(
                lambda: _find_open(outside, but=head) is not None
            )
            return loop.time() - began, outside.witness.violations

    took, violations = asyncio.run(body())
    assert violations == []
    assert took < 4.2


async def _stop_leading(process):
    for task in process._leading:
        task.cancel()
    for leader in process._leaders:
        await leader.lease.release()
