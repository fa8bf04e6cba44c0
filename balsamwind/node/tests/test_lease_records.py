"""Leases of shards in the store."""

import asyncio

import pytest

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind.node import _lease_records
from balsamwind.node.tests import helpers
from balsamwind import objects
from balsamwind import platform


def _run(scenario, prepare=lambda store: None):
    async def body():
        async with helpers.open_platform(0) as fake_platform:
            prepare(fake_platform.store)
            settings = helpers.make_settings('n1', fake_platform.store_port)
            client = adapters.HttpClient()
            store = platform.make_platform_client(settings, client).store
            try:
                return await scenario(_lease_records.LeaseRecords(store))
            finally:
                client.close()

    return asyncio.run(body())


def test_lease_write_is_conditional_on_revision():
    async def scenario(client):
        lease = objects.Lease('s', 'n1', 1, 2.0, 'op')
        assert await client.read_lease('s', 1.0) is None
        stored = await client.write_lease(lease, 0, 1.0)
        assert (await client.read_lease('s', 1.0)) == stored
        for expected in (0, stored.revision + 5):
            with pytest.raises(exceptions.Conflict):
                await client.write_lease(lease, expected, 1.0)
        unchanged = await client.write_lease(lease, stored.revision, 1.0)
        assert unchanged.revision == stored.revision
        renewed = objects.Lease('s', 'n1', 1, 2.0, 'op2')
        updated = await client.write_lease(renewed, stored.revision, 1.0)
        return updated.revision > stored.revision

    assert _run(scenario)


@pytest.mark.parametrize('spec', [None, [1], {'holder': 7}, {}])
def test_malformed_lease_is_a_store_error(spec):
    async def scenario(client):
        with pytest.raises(exceptions.StoreError):
            await client.read_lease('s', 1.0)

    _run(scenario, lambda store: store.put(_lease_records.KIND, 's', spec))
