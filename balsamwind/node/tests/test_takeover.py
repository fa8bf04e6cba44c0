"""A node that takes over a lease plans on entries that it has just read.

With older entries it would miss groups that the previous leader has just
opened, and order their members into other groups.
"""

import asyncio
import dataclasses

import pytest

from balsamwind.node.tests import helpers
from balsamwind import pool


def test_new_leader_keeps_a_group_that_was_just_opened():
    """The registry of the new leader does not contain the open head."""

    async def body():
        async with (
            helpers.open_platform(2) as fake_platform,
            helpers.open_node(fake_platform, 'n1') as first,
            helpers.open_node(fake_platform, 'n2') as second,
        ):
            await helpers.wait_until(
                lambda: helpers.count_serving_groups(second) == 1
            )
            helpers.add_spare_engine(fake_platform)
            await helpers.wait_until(lambda: _has_staged(second, 'spare'))
            # Engines that have just come back would not be used in any case.
            await asyncio.sleep(2.6)
            orders_before = [
                engine.order_count for engine in fake_platform.engines.values()
            ]
            _make_stale(second, fake_platform)
            await helpers.stop_leading(first)
            await helpers.wait_until(lambda: second._leaders[0].lease.held)
            await asyncio.sleep(1.5)
            orders_after = [
                engine.order_count for engine in fake_platform.engines.values()
            ]
            return (
                fake_platform.trace.violations,
                orders_before,
                orders_after,
            )

    violations, orders_before, orders_after = asyncio.run(body())
    assert violations == []
    assert orders_before == orders_after


def _has_staged(process, server_id):
    record = process.registry.get(server_id)
    return record is not None and helpers.MODEL in record.staged


def _make_stale(process, fake_platform):
    """Stop the updates of a node, and hide the head of the open group."""
    for task in process.supervisor.tasks:
        if task not in process._leader_tasks:
            task.cancel()
    head = helpers.find_open_head(fake_platform)
    del process.registry._records[head.server_id]


def test_head_of_an_open_group_does_not_join_another_group():
    """The engine's report shows its state even if the entries are stale."""

    async def body():
        async with (
            helpers.open_platform(2) as fake_platform,
            helpers.open_node(fake_platform) as process,
        ):
            await helpers.wait_until(
                lambda: helpers.count_serving_groups(process) == 1
            )
            records = [
                process.registry.get(server_id)
                for server_id in fake_platform.engines
            ]
            [leader] = process._leaders
            leader.executor.orders._sequences.clear()
            service = process.configuration_cache.find_service('llm')
            action = pool.FormGroup(helpers.MODEL, tuple(records))
            leader.executor.start(action, service.engine)
            await asyncio.sleep(0.5)
            return fake_platform.trace.violations

    assert asyncio.run(body()) == []


def _find_members(fake_platform):
    """Find the engines that are in a group and don't head it."""
    return [
        engine
        for engine in fake_platform.engines.values()
        if engine.group is not None and engine.group['rank'] > 0
    ]


def _make_outdated(record, knows):
    """Make the entry that a node had of an engine before it joined."""
    match knows:
        case 'a spare':
            return dataclasses.replace(record, membership=None)
        case 'an earlier life':
            return dataclasses.replace(
                record, membership=None, born=record.born - 1
            )
        case 'an earlier group':
            rank = 1
        case 'the head of an earlier group':
            rank = 0
    earlier = pool.Membership('small.z1.1', 1, rank, pool.MemberState.READY)
    return dataclasses.replace(record, membership=earlier)


@pytest.mark.parametrize('counted', ['not', 'before the outage'])
@pytest.mark.parametrize(
    'knows',
    [
        'a spare',
        'an earlier group',
        'the head of an earlier group',
        'an earlier life',
    ],
)
def test_member_with_an_old_entry_was_taken_from_an_open_group(knows, counted):
    # The leader had kept the entry through an outage of the store, in which
    # another one had formed the group (TWO, review/12).

    async def body():
        async with (
            helpers.open_platform(4) as fake_platform,
            helpers.open_node(fake_platform) as process,
        ):
            await helpers.wait_until(
                lambda: helpers.count_serving_groups(process) == 2
            )
            records = [
                _make_outdated(process.registry.get(engine.server_id), knows)
                for engine in _find_members(fake_platform)
            ]
            [leader] = process._leaders
            leader.executor.orders._sequences = {
                (record.server_id, record.born): 0
                for record in records
                if counted != 'not'
            }
            service = process.configuration_cache.find_service('llm')
            action = pool.FormGroup(helpers.MODEL, tuple(records))
            leader.executor.start(action, service.engine)
            await asyncio.sleep(0.5)
            return (
                fake_platform.trace.violations,
                helpers.count_serving_groups(process),
            )

    assert asyncio.run(body()) == ([], 2)
