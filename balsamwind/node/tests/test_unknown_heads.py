"""No member is taken from a group whose head the leader does not know."""

import asyncio

import pytest

from balsamwind.node.tests import shard_simulation

SECONDS = 20.0
"""Virtual time after the trouble of one run (seconds)."""


async def _wait_for_open_group(simulation, epoch, members):
    """Wait for a later group that has some of these members; its head."""
    for _ in range(1000):
        for head in simulation.find_open_heads():
            if head.membership.epoch > epoch and members & set(head.members):
                return head
        await asyncio.sleep(0.02)
    raise AssertionError('the group was not formed anew')


async def _return_to_an_unknown_head(simulation):
    """Let a leader miss that a group is formed, and that its head leaves."""
    first, second = simulation.leaders[0], simulation.add_leader()
    await asyncio.sleep(12.0)
    simulation.lose_news(first)
    simulation.lead(second)
    await asyncio.sleep(3.0)
    old = simulation.find_open_heads()[0]
    epoch, members = old.membership.epoch, set(old.members)
    await simulation.crash(simulation.engines[old.members[-1]])
    head = await _wait_for_open_group(simulation, epoch, members)
    await asyncio.sleep(1.0)
    simulation.spawn(simulation.leave_unannounced(head))
    await asyncio.sleep(0.2)
    simulation.regain_news(first)
    simulation.lead(first)


@pytest.mark.parametrize('seed', range(5))
def test_returning_leader_took_members_of_a_head_it_never_heard_of(seed):
    # The head had no entry any more when the leader heard of entries again;
    # it served on (TWO).
    simulation = shard_simulation.Simulation(seed, engine_count=10)
    simulation.run(SECONDS, _return_to_an_unknown_head)
    assert simulation.violations == []
