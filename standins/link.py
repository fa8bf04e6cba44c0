"""Stand-in of the network between data centres.

Forwards TCP connections from listeners to targets. Where a connection comes
from is told by the name of the entry in the ``User-Agent`` of its first
request. While one end is cut off and the other is not, no byte passes and
nothing is closed, as in a real partition. ``POST /admin/cut`` takes
``{"places": [...]}``.
"""

import argparse
import asyncio
import contextlib
import json
import re

from tornado import httpserver
from tornado import web

from standins import platform

CHUNK = 65536
AGENT = re.compile(rb'User-Agent: balsamwind (\S+)', re.IGNORECASE)


class Network:
    """Which places are cut off from the others."""

    def __init__(self, places):
        self._places = places
        self._cut = frozenset()
        self._changed = asyncio.Event()

    def cut(self, places):
        """Cut these places off from all others, and no other place."""
        self._cut = frozenset(places)
        self._changed.set()
        self._changed = asyncio.Event()

    def find_place(self, first):
        """Where a connection comes from, by its first bytes."""
        match = AGENT.search(first)
        return self._places.get(match[1].decode()) if match else None

    async def wait_until_open(self, ends):
        """Wait while the two ends can't reach each other."""
        while (ends[0] in self._cut) != (ends[1] in self._cut):
            await self._changed.wait()


async def _pump(network, ends, reader, writer):
    with contextlib.suppress(OSError):
        while data := await reader.read(CHUNK):
            await network.wait_until_open(ends)
            writer.write(data)
            await writer.drain()
    await network.wait_until_open(ends)
    writer.close()


async def open_forward(network, place, port, target):
    """Forward connections of a port to ``host:port``; the server."""
    host, target_port = target.rsplit(':', 1)

    async def serve(reader, writer):
        first = await reader.read(CHUNK)
        ends = (network.find_place(first), place)
        await network.wait_until_open(ends)
        try:
            far = await asyncio.open_connection(host, int(target_port))
        except OSError:
            writer.transport.abort()
            return
        far[1].write(first)
        await asyncio.gather(
            _pump(network, ends, reader, far[1]),
            _pump(network, ends, far[0], writer),
        )

    return await asyncio.start_server(serve, '127.0.0.1', port)


class _CutHandler(web.RequestHandler):
    def initialize(self, network):
        self.network = network

    def post(self):
        self.network.cut(json.loads(self.request.body)['places'])
        self.write({})


async def main():
    """Forward as a settings file says, until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--admin-port', type=int, required=True)
    parser.add_argument('--forwards', required=True)
    arguments = parser.parse_args()
    with open(arguments.forwards, encoding='utf-8') as file:
        value = json.load(file)
    network = Network(value['places'])
    for forward in value['forwards']:
        await open_forward(
            network, forward['place'], forward['port'], forward['target']
        )
    application = web.Application(
        [('/admin/cut', _CutHandler, {'network': network})],
        log_function=lambda handler: None,
    )
    platform.listen(httpserver.HTTPServer(application), arguments.admin_port)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main())
