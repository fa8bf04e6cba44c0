"""Calls to the platform's store, against a stand-in of it."""

import asyncio

import pytest

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind.node.tests import parts
from balsamwind import objects
from balsamwind import platform
from balsamwind import pool


def _run(scenario, engines=0):
    async def body():
        async with parts.open_platform(engines) as outside:
            client = adapters.HttpClient()
            settings = parts.make_settings('n1', outside.store_port)
            try:
                return await scenario(
                    outside, platform.make_outside(settings, client)
                )
            finally:
                client.close()

    return asyncio.run(body())


def test_configuration_is_read_and_watched():
    async def scenario(outside, port):
        since, first = await port.read_configuration(1.0)
        since, none = await port.watch_configuration(since, 0.05, 1.0)
        newer = {**parts.CONFIGURATION, 'Version': 9}
        outside.store.put('config', 'main', newer)
        _, changed = await port.watch_configuration(since, 1.0, 2.0)
        outside.store.put('config', 'main', {'Version': 10})
        with pytest.raises(exceptions.StoreError):
            await port.watch_configuration(since, 1.0, 2.0)
        return first.version, none, changed.version

    assert _run(scenario) == (3, None, 9)


def test_nodes_register_once():
    async def scenario(outside, port):
        for name, place, news in (
            ('n1', 'a', 'x:1'),
            ('n2', 'b', 'x:2'),
            ('n1', 'a', 'x:3'),
        ):
            await port.register_node(name, place, news, 1.0)
        return await port.list_nodes(1.0)

    assert _run(scenario) == {'a': [('n1', 'x:3')], 'b': [('n2', 'x:2')]}


def test_list_of_several_pages():
    async def scenario(outside, port):
        for number in range(120):
            outside.store.put('servers', f's{number:03}', _entry(number))
        outside.store.put('servers', 'zz', {'Service': 7})
        revision, records = await port.list_servers(1.0)
        return revision == outside.store.revision, len(records)

    assert _run(scenario) == (True, 120)


def _entry(number):
    return {
        'Service': 'svc',
        'Address': f'10.0.0.1:{number + 1}',
        'Zone': 'z1',
        'State': 'ready',
    }


def test_watch():
    async def scenario(outside, port):
        outside.store.put('servers', 'a', _entry(1))
        revision, _ = await port.list_servers(1.0)
        outside.store.put('servers', 'b', _entry(2))
        outside.store.delete('servers', 'a')
        outside.store.put('servers', 'c', {'State': 'odd'})
        since, changes = await port.watch_servers(revision, 1.0, 2.0)
        quiet = await port.watch_servers(since, 0.05, 2.0)
        return changes, quiet[1]

    changes, quiet = _run(scenario)
    kinds = [type(change) for change in changes]
    assert kinds == [
        pool.ServerRecord,
        pool.RemovedServer,
        pool.RemovedServer,
    ]
    assert quiet == []


def test_history_that_is_gone():
    async def scenario(outside, port):
        outside.store.oldest = 100
        with pytest.raises(exceptions.HistoryGone):
            await port.watch_servers(5, 1.0, 2.0)

    _run(scenario)


@pytest.mark.parametrize('fault', ['refuse', 'reset', 'silent'])
def test_store_that_does_not_serve(fault):
    async def scenario(outside, port):
        outside.store.faults.down = fault
        for call in (
            port.read_configuration(0.1),
            port.list_servers(0.1),
            port.watch_servers(5, 0.05, 0.1),
            port.read_lease('s', 0.1),
        ):
            with pytest.raises(exceptions.StoreError):
                await call

    _run(scenario)


def test_lease_is_written_once_for_each_revision():
    async def scenario(outside, port):
        lease = objects.Lease('s', 'n1', 1, 2.0, 'op')
        assert await port.read_lease('s', 1.0) is None
        stored = await port.write_lease(lease, 0, 1.0)
        assert (await port.read_lease('s', 1.0)) == stored
        for expected in (0, stored.revision + 5):
            with pytest.raises(exceptions.Conflict):
                await port.write_lease(lease, expected, 1.0)
        same = await port.write_lease(lease, stored.revision, 1.0)
        assert same.revision == stored.revision
        renewed = objects.Lease('s', 'n1', 1, 2.0, 'op2')
        again = await port.write_lease(renewed, stored.revision, 1.0)
        return again.revision > stored.revision

    assert _run(scenario)


def test_order_without_an_answer_is_unknown():
    async def scenario(outside, port):
        engine = outside.engines['e0']
        _, records = await port.list_servers(1.0)
        engine.dark = True
        return await port.order(records[0], pool.Stage('m'), 1, 0, 0.1)

    assert _run(scenario, engines=1) is pool.OrderResult.UNKNOWN
