"""The VM list is read again only when it changed."""

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


def test_unchanged_list_is_not_sent_again():
    async def run():
        state = platform.Platform([make_row('v0')])
        port = platform.listen(platform.make_server(state))
        client = adapters.HttpClient()
        vms = adapters.HttpVmList(client, f'http://127.0.0.1:{port}', 5.0)
        first = await vms.fetch()
        size = vms.bytes_received
        assert await vms.fetch() is first
        assert vms.bytes_received == size
        state.vms = [make_row('v0'), make_row('v1')]
        assert [row.name for row in await vms.fetch()] == ['v0', 'v1']
        assert vms.bytes_received > size
        client.close()

    asyncio.run(run())
