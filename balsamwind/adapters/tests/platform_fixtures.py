"""Platforms for the contract tests: a stand-in over HTTP, one in memory."""

import asyncio
import contextlib
import dataclasses

from balsamwind import adapters
from balsamwind import replay
from standins import platform as platform_standin

TIMEOUT = 0.3
"""Timeout of one call (seconds)."""

LATE_RESPONSE_DELAY = 0.6
"""Delay of a response that arrives after `TIMEOUT` (seconds)."""


@dataclasses.dataclass
class PlatformFixture:
    """A platform, its ports and a way to inject faults.

    Parameters
    ----------
    store : balsamwind.ports.ObjectStore
        Object store of the platform.
    vm_list : balsamwind.ports.VmList
        VM list of the platform.
    weight_store : balsamwind.ports.WeightStore
        Weight store of the platform.
    set_fault : callable
        Takes the name of a fault to inject; an empty name ends the faults.
    platform : object
        The simulated platform itself.
    """

    store: object
    vm_list: object
    weight_store: object
    set_fault: object
    platform: object


HTTP_FAULTS = {
    '': {'down': False, 'lose_answers': 0, 'delay': 0.0, 'body': ''},
    'down': {'down': True},
    'lost answer': {'lose_answers': 1},
    'late answer': {'delay': LATE_RESPONSE_DELAY},
    'cut body': {'body': '{"revision": 1'},
    'nonsense': {'body': '[1, 2]'},
    'wrong types': {
        'body': '{"kind": 1, "revision": "x", "vms": 5, "items": 7}'
    },
}


@contextlib.contextmanager
def open_http():
    """Yield the HTTP adapters, connected to a stand-in of the platform."""
    platform = platform_standin.Platform()
    server = platform_standin.make_server(platform)
    port = platform_standin.listen(server)
    client = adapters.HttpClient()
    url = f'http://127.0.0.1:{port}'

    def set_fault(name):
        if name == 'refused':
            server.stop()
            client.close()
        else:
            platform.faults.update(HTTP_FAULTS[name])

    try:
        yield PlatformFixture(
            adapters.HttpObjectStore(client, url, TIMEOUT, 0.1),
            adapters.HttpVmList(client, url, TIMEOUT),
            adapters.HttpWeightStore(client, url, TIMEOUT),
            set_fault,
            platform,
        )
    finally:
        client.close()
        server.stop()


@contextlib.contextmanager
def open_memory():
    """Yield the in-memory platform of the replays."""
    platform = replay.MemoryPlatform(lambda stored: None)
    network = replay.Network()
    store = replay.MemoryPlatformPorts(
        platform, network, 'n', 'a', TIMEOUT, 0.1
    )

    def set_fault(name):
        platform.down = name == 'down'
        if name == 'lost answer':
            network.lose_answers('n', 1)
        if name == 'late answer':
            network.delay_write('n', LATE_RESPONSE_DELAY)
        if name == 'refused':
            network.partition('a', 'platform')

    yield PlatformFixture(store, store, store, set_fault, platform)


FIXTURES = {'http': open_http, 'memory': open_memory}


def run_check(name, check):
    """Await ``check(fixture)`` with the named fixture."""

    async def main():
        with FIXTURES[name]() as fixture:
            await check(fixture)

    asyncio.run(main())
