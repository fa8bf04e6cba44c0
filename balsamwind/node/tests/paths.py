"""Paths from one node to the backend servers that tests cut."""

import asyncio
import contextlib

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind.node.tests import helpers

HANG = 'hang'
"""Connections that are open go silent, and new ones are not answered."""

RESET = 'reset'
"""Connections that are open are reset, and new ones are refused."""

REFUSE = 'refuse'
"""Connections that are open go on, and new ones are refused."""


class CuttableClient(adapters.HttpClient):
    """HTTP client whose paths to some servers can be cut."""

    def __init__(self, *arguments, **values):
        super().__init__(*arguments, **values)
        self._how = None
        self._endpoints = frozenset()
        self._streams = []

    def cut(self, how, endpoints):
        """Cut the paths to `endpoints` in the way `how`."""
        self._how = how
        self._endpoints = frozenset(endpoints)
        affected = [
            stream
            for endpoint, stream in self._streams
            if endpoint in self._endpoints and not stream.closed()
        ]
        for stream in affected:
            match how:
                case 'reset':
                    stream.close()
                case 'hang':
                    _silence(stream)

    def heal(self):
        """Restore all paths; connections that were silent stay so."""
        self._how = None
        self._endpoints = frozenset()

    async def _connect(self, parts, endpoint, timeout):
        if endpoint in self._endpoints:
            if self._how == HANG:
                await asyncio.sleep(timeout)
                raise exceptions.TransportError(
                    f'{endpoint}: no answer', sent=False
                )
            raise exceptions.ConnectionRefused(
                f'{endpoint}: refused', sent=False
            )
        stream = await super()._connect(parts, endpoint, timeout)
        self._streams.append((endpoint, stream))
        return stream


def _silence(stream):
    """Let no byte pass a connection any more, in either direction."""
    stream.read_from_fd = lambda buffer: None
    stream.write_to_fd = lambda data: len(data)


def find_endpoints(process, services=('llm', 'ledger')):
    """Find the addresses of the servers of some services."""
    return {
        record.address
        for record in process.registry
        if record.service in services
    }


def cut_paths(process, how, endpoints=None):
    """Cut the paths of a node to backend servers; to all by default."""
    if endpoints is None:
        endpoints = find_endpoints(process)
    for client in (process._backend_client, process._control_client):
        client.cut(how, endpoints)


def heal_paths(process):
    """Restore the paths of a node."""
    for client in (process._backend_client, process._control_client):
        client.heal()


@contextlib.asynccontextmanager
async def open_fleet(monkeypatch, placement, **values):
    """Run a fleet, see `helpers.open_fleet`, whose paths can be cut."""
    monkeypatch.setattr(adapters, 'HttpClient', CuttableClient)
    async with helpers.open_fleet(placement, **values) as fleet:
        yield fleet
