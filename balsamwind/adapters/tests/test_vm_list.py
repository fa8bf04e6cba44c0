"""The VM list is transferred again only after it has changed."""

import asyncio

from balsamwind import adapters
from standins import platform


def make_row(name):
    return {
        'name': name,
        'address': 'h:1',
        'data_centre': 'dc',
        'fabric_domain': 'd',
    }


def test_unchanged_list_is_not_transferred_again():
    async def run():
        simulated_platform = platform.Platform([make_row('v0')])
        port = platform.listen(platform.make_server(simulated_platform))
        client = adapters.HttpClient()
        vm_list = adapters.HttpVmList(client, f'http://127.0.0.1:{port}', 5.0)
        first_list = await vm_list.fetch()
        bytes_before = vm_list.bytes_received
        assert await vm_list.fetch() is first_list
        assert vm_list.bytes_received == bytes_before
        simulated_platform.vms = [make_row('v0'), make_row('v1')]
        assert [row.name for row in await vm_list.fetch()] == ['v0', 'v1']
        assert vm_list.bytes_received > bytes_before
        client.close()

    asyncio.run(run())
