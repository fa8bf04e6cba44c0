"""Registrations of nodes in the store."""

import asyncio

from balsamwind import adapters
from balsamwind import node
from balsamwind.node import _node_records
from balsamwind.node.tests import helpers
from balsamwind import platform


def test_repeated_registration_updates_address():
    async def scenario():
        async with helpers.open_platform(0) as fake_platform:
            settings = helpers.make_settings('n1', fake_platform.store_port)
            client = adapters.HttpClient()
            store = platform.make_platform_client(settings, client).store
            records = _node_records.NodeRecords(store)
            for name, data_centre, address in (
                ('n1', 'a', 'x:1'),
                ('n2', 'b', 'x:2'),
                ('n1', 'a', 'x:3'),
            ):
                registered = node.RegisteredNode(name, address, 0.5)
                await records.register(registered, data_centre, 1.0)
            fake_platform.store.put(_node_records.KIND, 'n3', [7])
            try:
                return await records.list(1.0)
            finally:
                client.close()

    assert asyncio.run(scenario()) == {
        'a': [node.RegisteredNode('n1', 'x:3', 0.5)],
        'b': [node.RegisteredNode('n2', 'x:2', 0.5)],
    }
