"""Nodes whose store comes back from an older copy."""

import asyncio
import contextlib
import copy

import pytest

from balsamwind.node import _configuration_updater
from balsamwind.node import _lease
from balsamwind.node import _lease_records
from balsamwind.node import _node_records
from balsamwind.node.tests import doubles
from balsamwind.node.tests import helpers
from balsamwind import traffic

PLACEMENT = (('n1', 'z1'), ('n2', 'z1'), ('n3', 'z1'))

OTHER_KEY = 'k2'


def _make_configuration(version, key):
    configuration = copy.deepcopy(helpers.CONFIGURATION)
    configuration['Version'] = version
    configuration['Tenants'] = [{'Name': 'acme', 'ApiKeys': [key]}]
    return configuration


@contextlib.asynccontextmanager
async def _open_fleet(engines=4):
    async with helpers.open_fleet(PLACEMENT, engines) as (platform, nodes):
        for process in nodes:
            await helpers.wait_until(process.is_ready)
        yield platform, nodes


def _find_holder(nodes):
    for process in nodes:
        for leader in process._leaders:
            if leader.lease.held:
                return process, leader.lease.fencing
    return None


def _write_entries(fake_platform):
    for engine in fake_platform.engines.values():
        engine.write_entry()


async def _send_all(nodes, count, key=helpers.KEY):
    """Send requests in turn; return the statuses."""
    statuses = []
    for number in range(count):
        request = helpers.make_request(request_id=f's{number}-{key}', key=key)
        answer = await helpers.send_request(nodes[number % 3], request)
        statuses.append(int(answer.split(b' ')[1]))
        await asyncio.sleep(0.02)
    return statuses


def test_service_goes_on_and_no_group_is_lost():
    """The copy dates from before the groups were formed."""

    async def scenario():
        async with _open_fleet(0) as (fake_platform, nodes):
            saved = fake_platform.store.make_copy()
            for number in range(4):
                fake_platform.add_engine(f'e{number}', 'llm', 'z1', 'd1')
            for process in nodes:
                await helpers.wait_until(
                    lambda process=process: (
                        helpers.count_serving_groups(process) == 2
                    )
                )
            await asyncio.sleep(0.5)
            orders = {
                engine.server_id: engine.order_count
                for engine in fake_platform.engines.values()
            }
            fake_platform.store.restore(saved)
            during = await _send_all(nodes, 30)
            _write_entries(fake_platform)
            after = await _send_all(nodes, 60)
            await asyncio.sleep(1.5)
            later = {
                engine.server_id: engine.order_count
                for engine in fake_platform.engines.values()
            }
            groups = [helpers.count_serving_groups(node) for node in nodes]
            violations = fake_platform.trace.violations
            return during + after, orders == later, groups, violations

    statuses, no_orders, groups, violations = asyncio.run(scenario())
    assert set(statuses) == {200}
    assert no_orders
    assert groups == [2, 2, 2]
    assert violations == []


def test_lease_is_taken_anew_with_a_fencing_number_never_used():
    async def scenario():
        async with _open_fleet() as (fake_platform, nodes):
            saved = fake_platform.store.make_copy()
            await helpers.wait_until(lambda: _find_holder(nodes))
            _, before = _find_holder(nodes)
            fake_platform.store.restore(saved)
            await helpers.wait_until(lambda: _find_holder(nodes) is None)
            await helpers.wait_until(lambda: _find_holder(nodes), 20.0)
            return before, _find_holder(nodes)[1]

    before, after = asyncio.run(scenario())
    assert before < 2 * _lease.FENCING_PER_ERA <= after


def test_own_objects_are_written_again():
    async def scenario():
        async with helpers.open_platform(2) as fake_platform:
            saved = fake_platform.store.make_copy()
            async with contextlib.AsyncExitStack() as stack:
                nodes = [
                    await stack.enter_async_context(
                        helpers.open_node(fake_platform, name)
                    )
                    for name, _ in PLACEMENT
                ]
                await helpers.wait_until(
                    lambda: all(process.is_ready() for process in nodes)
                )
                fake_platform.store.restore(saved)
                fake_platform.store.put(
                    'config', 'main', helpers.CONFIGURATION
                )

                def find_missing():
                    stored = fake_platform.store.get_objects(
                        _node_records.KIND
                    )
                    leases = fake_platform.store.get_objects(
                        _lease_records.KIND
                    )
                    names = {name for name, _ in PLACEMENT}
                    return names - set(stored) or not leases

                await helpers.wait_until(lambda: not find_missing(), 20.0)

    asyncio.run(scenario())


def test_withdrawn_key_does_not_become_valid_again():
    """The copy holds the version before the one that withdrew the key."""

    async def scenario():
        async with _open_fleet() as (fake_platform, nodes):
            store = fake_platform.store
            saved = store.make_copy()
            newer = _make_configuration(4, OTHER_KEY)
            store.put('config', 'main', newer)
            for process in nodes:
                await helpers.wait_until(
                    lambda process=process: (
                        process.configuration_cache.version == 4
                    )
                )
            store.restore(saved)
            during = await _send_all(nodes, 60)
            store.put('config', 'main', newer)
            await asyncio.sleep(4.0)
            old = await _send_all(nodes, 9)
            new = await _send_all(nodes, 9, OTHER_KEY)
            versions = {node.configuration_cache.version for node in nodes}
            return during, old, new, versions

    during, old, new, versions = asyncio.run(scenario())
    assert 200 not in during
    assert set(old) == {401}
    assert set(new) == {200}
    assert versions == {4}


def test_older_version_in_the_store_proves_nothing():
    async def scenario():
        async with _open_fleet() as (fake_platform, nodes):
            saved = fake_platform.store.make_copy()
            newer = _make_configuration(4, OTHER_KEY)
            fake_platform.store.put('config', 'main', newer)
            for process in nodes:
                await helpers.wait_until(
                    lambda process=process: (
                        process.configuration_cache.version == 4
                    )
                )
            fake_platform.store.restore(saved)
            await asyncio.sleep(5.5)
            return await _send_all(nodes, 6, OTHER_KEY)

    assert set(asyncio.run(scenario())) == {503}


class _Publisher:
    def __init__(self):
        self.published = []

    def publish_configuration(self, *arguments):
        self.published.append(arguments)

    publish_proof = publish_configuration


@pytest.mark.parametrize('known_version', [0, 4])
def test_version_read_from_a_restored_store_proves_nothing(known_version):
    """The operator may have written a newer one that the store has lost."""
    cache = traffic.ConfigurationCache(4.6)
    publisher = _Publisher()
    updater = _configuration_updater.ConfigurationUpdater(
        cache, publisher, doubles.Log(), lambda: None
    )
    if known_version:
        updater.accept(traffic.Configuration(known_version, (), ()), 10, 90.0)
    proved_at = cache.proved_at
    publisher.published.clear()
    updater.handle_restored_store(100.0)
    updater.accept(traffic.Configuration(5, (), ()), 20, 100.5)
    assert updater.version == 5
    assert cache.proved_at == proved_at
    for _, _, _, published_at in publisher.published:
        assert published_at == proved_at
