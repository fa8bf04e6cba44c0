"""A node that takes the lease over plans on entries that it has just read."""

import asyncio

from balsamwind.node.tests import parts
from balsamwind import pool


def test_group_that_was_opened_a_moment_ago_is_not_taken_apart():
    """Its opening has not reached the new leader by the usual way."""

    async def body():
        async with (
            parts.open_platform(2) as outside,
            parts.open_node(outside, 'n1') as first,
            parts.open_node(outside, 'n2') as second,
        ):
            await parts.wait_until(lambda: parts.count_served(second) == 1)
            parts.add_spare(outside)
            await parts.wait_until(lambda: _has_staged(second, 'spare'))
            # Members that have only just come back would be left alone.
            await asyncio.sleep(2.6)
            orders = [engine.orders for engine in outside.engines.values()]
            _keep_stale(second, outside)
            await parts.stop_leading(first)
            await parts.wait_until(lambda: second._leaders[0].lease.held)
            await asyncio.sleep(1.5)
            after = [engine.orders for engine in outside.engines.values()]
            return outside.witness.violations, orders, after

    violations, orders, after = asyncio.run(body())
    assert violations == []
    assert orders == after


def _has_staged(process, server_id):
    record = process.registry.get(server_id)
    return record is not None and parts.MODEL in record.staged


def _keep_stale(process, outside):
    """Let a node believe that the group has no head that is open."""
    for task in process._tasks:
        task.cancel()
    head = parts.find_open(outside)
    del process.registry._records[head.server_id]


def test_engine_that_heads_an_open_group_is_not_joined_elsewhere():
    """Its report says so, whatever the entries say."""

    async def body():
        async with (
            parts.open_platform(2) as outside,
            parts.open_node(outside) as process,
        ):
            await parts.wait_until(lambda: parts.count_served(process) == 1)
            records = [
                process.registry.get(server_id)
                for server_id in outside.engines
            ]
            [leader] = process._leaders
            leader.executor._sequences.clear()
            service = process.book.find_service('llm')
            action = pool.FormGroup(parts.MODEL, tuple(records))
            leader.executor.start(action, service.engine)
            await asyncio.sleep(0.5)
            return outside.witness.violations

    assert asyncio.run(body()) == []
