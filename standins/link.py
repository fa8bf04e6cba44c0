"""Stand-in for the network between data centres.

Forwards TCP connections from listeners to targets. The data centre that a
connection comes from is found by the name of the entry in the
``User-Agent`` header of its first request. While exactly one of the two data
centres is isolated, no byte passes and no connection is closed, as in a real
network partition. ``POST /admin/cut`` takes ``{"places": [...]}``, the data
centres to isolate.
"""

import argparse
import asyncio
import contextlib
import json
import re

from tornado import httpserver
from tornado import web

from standins import platform

CHUNK_SIZE = 65536
USER_AGENT = re.compile(rb'User-Agent: balsamwind (\S+)', re.IGNORECASE)


class Network:
    """Network in which data centres can be isolated.

    Parameters
    ----------
    data_centres : dict of str to str
        Data centre of each entry, by name of the entry.
    """

    def __init__(self, data_centres):
        self._data_centres = data_centres
        self._isolated = frozenset()
        self._changed = asyncio.Event()

    def isolate(self, data_centres):
        """Isolate these data centres from all others, and heal all other cuts.

        Parameters
        ----------
        data_centres : iterable of str
            Data centres that are isolated from now on. They still reach each
            other.
        """
        self._isolated = frozenset(data_centres)
        self._changed.set()
        self._changed = asyncio.Event()

    def find_data_centre(self, first_bytes):
        """Find the data centre that a connection comes from.

        Parameters
        ----------
        first_bytes : bytes
            First bytes that were read from the connection.

        Returns
        -------
        str or None
            None if they name no known entry.
        """
        match = USER_AGENT.search(first_bytes)
        return self._data_centres.get(match[1].decode()) if match else None

    async def wait_until_open(self, endpoints):
        """Wait until two endpoints can reach each other.

        Parameters
        ----------
        endpoints : tuple of (str or None)
            Data centres of the two endpoints; None stands for one that is
            never isolated.
        """
        while (endpoints[0] in self._isolated) != (
            endpoints[1] in self._isolated
        ):
            await self._changed.wait()


async def _forward_bytes(network, endpoints, reader, writer):
    with contextlib.suppress(OSError):
        while data := await reader.read(CHUNK_SIZE):
            await network.wait_until_open(endpoints)
            writer.write(data)
            await writer.drain()
    await network.wait_until_open(endpoints)
    writer.close()


async def open_forward(network, data_centre, port, target):
    """Forward the connections to a loopback port to a target.

    Parameters
    ----------
    network : Network
        Network that the connections pass.
    data_centre : str
        Data centre of the target.
    port : int
        Port to listen on.
    target : str
        Address to connect to, ``host:port``.

    Returns
    -------
    asyncio.Server
    """
    host, target_port = target.rsplit(':', 1)

    async def forward_connection(reader, writer):
        first_bytes = await reader.read(CHUNK_SIZE)
        endpoints = (network.find_data_centre(first_bytes), data_centre)
        await network.wait_until_open(endpoints)
        try:
            target_streams = await asyncio.open_connection(
                host, int(target_port)
            )
        except OSError:
            writer.transport.abort()
            return
        target_streams[1].write(first_bytes)
        await asyncio.gather(
            _forward_bytes(network, endpoints, reader, target_streams[1]),
            _forward_bytes(network, endpoints, target_streams[0], writer),
        )

    return await asyncio.start_server(forward_connection, '127.0.0.1', port)


class _CutHandler(web.RequestHandler):
    def initialize(self, network):
        self.network = network

    def post(self):
        self.network.isolate(json.loads(self.request.body)['places'])
        self.write({})


async def main():
    """Forward the ports of a settings file until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--admin-port', type=int, required=True)
    parser.add_argument('--forwards', required=True)
    arguments = parser.parse_args()
    with open(arguments.forwards, encoding='utf-8') as file:
        settings = json.load(file)
    network = Network(settings['places'])
    for forward in settings['forwards']:
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
