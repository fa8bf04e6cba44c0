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


async def _leave_and_fall_silent(simulation, pause, takes_over):
    """Let a head leave unannounced, and its host fall silent at once."""
    second = simulation.add_leader()
    await asyncio.sleep(12.0)
    head = simulation.find_open_heads()[0]
    simulation.spawn(simulation.leave_unannounced(head))
    if takes_over:
        simulation.lead(second)
    await asyncio.sleep(pause)
    simulation.spawn(simulation.fall_silent(head, 4.5))


@pytest.mark.parametrize('takes_over', [False, True])
@pytest.mark.parametrize('pause', [0.0, 0.05, 0.1, 0.5])
def test_removal_of_a_head_was_taken_for_its_silence(pause, takes_over):
    # Its members were reused 1.8 s after its entry was removed, as if it had
    # been silent for two heartbeats by then; it was open (TWO).
    simulation = shard_simulation.Simulation(3, engine_count=10)
    simulation.run(
        SECONDS,
        lambda simulation: _leave_and_fall_silent(
            simulation, pause, takes_over
        ),
    )
    assert simulation.violations == []


@pytest.mark.parametrize('seed', range(5))
def test_returning_leader_took_members_of_a_head_it_never_heard_of(seed):
    # The head had no entry any more when the leader heard of entries again;
    # it served on (TWO).
    simulation = shard_simulation.Simulation(seed, engine_count=10)
    simulation.run(SECONDS, _return_to_an_unknown_head)
    assert simulation.violations == []


@pytest.mark.parametrize('seed', [3, 28, 37, 48, 60, 85, 113, 128, 171])
def test_member_was_taken_while_its_head_was_out_of_sight(seed):
    # Engines that leave unannounced or fall silent, nodes that hear nothing,
    # late orders and changes of the leader, drawn together (TWO).
    simulation = shard_simulation.Simulation(
        seed, engine_count=10, trouble_kinds=shard_simulation.NEWS_KINDS
    )
    simulation.run(60.0)
    assert simulation.violations == []
    assert simulation.opened >= 4
