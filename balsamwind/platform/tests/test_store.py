"""Platform client against a fake store and fake engines."""

import asyncio

import pytest

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind.node.tests import helpers
from balsamwind import objects
from balsamwind import platform
from balsamwind import pool


def _run(scenario, engines=0):
    async def body():
        async with helpers.open_platform(engines) as fake_platform:
            http_client = adapters.HttpClient()
            settings = helpers.make_settings('n1', fake_platform.store_port)
            try:
                return await scenario(
                    fake_platform,
                    platform.make_platform_client(settings, http_client),
                )
            finally:
                http_client.close()

    return asyncio.run(body())


def test_configuration_is_read_and_watched():
    async def scenario(fake_platform, client):
        since, first = await client.read_configuration(1.0)
        since, unchanged = await client.watch_configuration(since, 0.05, 1.0)
        newer = {**helpers.CONFIGURATION, 'Version': 9}
        fake_platform.store.put('config', 'main', newer)
        _, changed = await client.watch_configuration(since, 1.0, 2.0)
        fake_platform.store.put('config', 'main', {'Version': 10})
        with pytest.raises(exceptions.StoreError):
            await client.watch_configuration(since, 1.0, 2.0)
        return first.version, unchanged, changed.version

    assert _run(scenario) == (3, None, 9)


def test_list_reads_all_pages():
    async def scenario(fake_platform, client):
        for number in range(120):
            fake_platform.store.put(
                'servers', f's{number:03}', _make_server_entry(number)
            )
        fake_platform.store.put('servers', 'zz', {'Service': 7})
        revision, records = await client.list_servers(1.0)
        expected = (
            fake_platform.store.era << objects.ERA_BITS
        ) + fake_platform.store.revision
        return revision == expected, len(records)

    assert _run(scenario) == (True, 120)


def _make_server_entry(number):
    return {
        'Service': 'svc',
        'Address': f'10.0.0.1:{number + 1}',
        'Zone': 'z1',
        'State': 'ready',
    }


def test_watch_reports_changes_and_removals():
    async def scenario(fake_platform, client):
        fake_platform.store.put('servers', 'a', _make_server_entry(1))
        revision, _ = await client.list_servers(1.0)
        fake_platform.store.put('servers', 'b', _make_server_entry(2))
        fake_platform.store.delete('servers', 'a')
        fake_platform.store.put('servers', 'c', {'State': 'odd'})
        since, changes = await client.watch_servers(revision, 1.0, 2.0)
        no_changes = await client.watch_servers(since, 0.05, 2.0)
        return changes, no_changes[1]

    changes, no_changes = _run(scenario)
    change_types = [type(change) for change in changes]
    assert change_types == [
        pool.ServerRecord,
        pool.RemovedServer,
        pool.RemovedServer,
    ]
    assert no_changes == []


def test_watch_of_discarded_history_fails():
    async def scenario(fake_platform, client):
        fake_platform.store.oldest_revision = 100
        with pytest.raises(exceptions.HistoryGone):
            await client.watch_servers(5, 1.0, 2.0)

    _run(scenario)


@pytest.mark.parametrize('fault', ['refuse', 'reset', 'silent'])
def test_unavailable_store_raises_store_error(fault):
    async def scenario(fake_platform, client):
        fake_platform.store.faults.down = fault
        for call in (
            client.read_configuration(0.1),
            client.list_servers(0.1),
            client.watch_servers(5, 0.05, 0.1),
            client.store.get('leases', 's', 0.1),
        ):
            with pytest.raises(exceptions.StoreError):
                await call

    _run(scenario)


def test_order_without_response_is_unknown():
    async def scenario(fake_platform, client):
        engine = fake_platform.engines['e0']
        _, records = await client.list_servers(1.0)
        engine.dark = True
        return await client.send_order(records[0], pool.Stage('m'), 1, 0, 0.1)

    assert _run(scenario, engines=1) is pool.OrderResult.UNKNOWN


def test_evacuations_are_listed_with_their_revision():
    # Whatever an object contains, its name requests the evacuation.
    async def scenario(fake_platform, client):
        fake_platform.store.put('evacuations', 'z1', {})
        fake_platform.store.put('evacuations', 'z2', {'Reason': ['x']})
        before, names = await client.list_evacuations(1.0)
        fake_platform.store.delete('evacuations', 'z1')
        after, rest = await client.list_evacuations(1.0)
        return names, rest, after > before

    assert _run(scenario) == (['z1', 'z2'], ['z2'], True)
