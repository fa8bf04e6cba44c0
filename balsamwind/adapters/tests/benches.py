"""The platform behind its ports: over HTTP, and in memory."""

import asyncio
import contextlib
import dataclasses

from balsamwind import adapters
from balsamwind import replay
from standins import platform as platform_standin

TIMEOUT = 0.3
"""Time-out of one call (seconds)."""

LATE = 0.6
"""Delay of an answer that comes too late (seconds)."""


@dataclasses.dataclass
class Bench:
    """One platform and its ports.

    Parameters
    ----------
    store, vm_list, weights : object
        Ports.
    set_fault : callable
        Takes the name of a fault, or an empty one.
    """

    store: object
    vm_list: object
    weights: object
    set_fault: object
    platform: object


HTTP_FAULTS = {
    '': {'down': False, 'lose_answers': 0, 'delay': 0.0, 'body': ''},
    'down': {'down': True},
    'lost answer': {'lose_answers': 1},
    'late answer': {'delay': LATE},
    'cut body': {'body': '{"revision": 1'},
    'nonsense': {'body': '[1, 2]'},
    'wrong types': {
        'body': '{"kind": 1, "revision": "x", "vms": 5, "items": 7}'
    },
}


@contextlib.contextmanager
def open_http():
    """The adapters over HTTP and the stand-in, until the block ends."""
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
        yield Bench(
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
    """The fake that replays use, until the block ends."""
    platform = replay.MemoryPlatform(lambda stored: None)
    network = replay.Network()
    store = replay.MemoryStore(platform, network, 'n', 'a', TIMEOUT, 0.1)

    def set_fault(name):
        platform.down = name == 'down'
        if name == 'lost answer':
            network.lose_answers('n', 1)
        if name == 'late answer':
            network.delay_write('n', LATE)
        if name == 'refused':
            network.cut('a', 'platform')

    yield Bench(store, store, store, set_fault, platform)


BENCHES = {'http': open_http, 'memory': open_memory}


def run(name, check):
    """Run `await check(bench)` over one platform."""

    async def main():
        with BENCHES[name]() as bench:
            await check(bench)

    asyncio.run(main())
