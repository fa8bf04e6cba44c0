"""One entry of another writer takes the model service away."""

import asyncio
import pathlib
import random
import time

from review.shared import servers
from review.shared import wire
from review.shared import world as world_module

CLIENTS_PER_NODE = 4
BEFORE = 8.0
DOWN_TIME = 1.6
RECOVERY = world_module.BOUNDS['RecoveryS']
AFTER = 12.0

MODEL = 'daka510000'

FOREIGN_ENTRY = {
    'Service': 'model-pool',
    'Address': '127.0.0.1:9',
    'Zone': 'z1',
    'Version': '1',
    'SlotCount': 9,
    'State': 'ready',
    'ColdLeftMs': 0,
    'Seq': 1,
    'born': 1700000000000,
    'Domain': 'z1-d1',
    'Models': [],
    'Staged': [],
    # The name is a list here, and a string in the entries of engines.
    'group': {'Name': ['g7'], 'epoch': 12, 'rank': 0, 'State': 'open'},
}


async def _call_forever(world, node, stop, rng):
    """Send streams and bookings, as the sheets mix them."""
    connection = wire.Connection(node.host, world_module.FRONT)
    while not stop.is_set():
        if rng.random() < 0.9:
            await world.call(
                node,
                connection,
                'POST',
                '/ask/x',
                {
                    'X-Balsamwind-Model': MODEL,
                    'X-Balsamwind-Token-Usage': '674,60',
                    'X-Balsamwind-Prompt-Prefix': '5c1e07a2:40,91bd3f06:634',
                },
            )
        else:
            await world.call(
                node, connection, 'POST', '/hold/x', budget_ms=4000
            )
        await asyncio.sleep(rng.uniform(0.1, 0.5))
    connection.close()


def _count(world, since, until):
    """Count the requests sent in a span of time, and those served."""
    answers = [
        answer for at, _, answer in world.answers if since <= at < until
    ]
    served = [item for item in answers if item.status == 200 and item.whole]
    return len(served), len(answers)


async def _start_servers(world):
    for index, zone in enumerate(world.zones):
        host = f'{world.network}.7.{10 * index + 10}'
        await world.add(
            servers.PlainServer(world, f'i-{zone}b', 'beds-app', zone, host)
        )
        for number in range(1, 5):
            host = f'{world.network}.7.{10 * index + number}'
            await world.add(
                servers.Engine(
                    world,
                    f'i-{zone}e{number}',
                    'model-pool',
                    zone,
                    host,
                    f'{zone}-d1',
                )
            )


def _make_configuration(version=1):
    routes = [
        world_module.make_route(
            'ask',
            'streaming',
            'model-pool',
            Sticky=True,
            Resumable=True,
            GapSloMs=300,
        ),
        world_module.make_route(
            'hold', 'non_idempotent', 'beds-app', TimeoutMs=2000, MaxAttempts=1
        ),
    ]
    model = {
        'Name': MODEL,
        'size': 2,
        'Share': 1.0,
        'pace': 1.0,
        'LoadS': 4.0,
        'WarmS': 0.3,
    }
    services = [
        world_module.make_engine_service('model-pool', [model]),
        {'Name': 'beds-app', 'MaxConns': 96},
    ]
    return world_module.make_configuration(routes, services, version)


async def main(record_path, trouble):
    """Run the case; return 1 if the service has not recovered."""
    world = world_module.World(record_path)
    rng = random.Random(7)
    try:
        await world.start(_make_configuration())
        await _start_servers(world)
        await world.start_nodes()
        await world.wait_until_ready()
        await asyncio.sleep(6.0)
        stop = asyncio.Event()
        callers = [
            asyncio.ensure_future(_call_forever(world, node, stop, rng))
            for node in world.nodes
            for _ in range(CLIENTS_PER_NODE)
        ]
        started_at = time.monotonic()
        await asyncio.sleep(BEFORE)
        written_at = time.monotonic()
        if trouble:
            world.store.put('servers', 'another-writer', FOREIGN_ENTRY)
            world.record.add('foreign_entry_written')
        await asyncio.sleep(3.0)
        world.store.put('config', 'main', _make_configuration(version=2))
        world.record.add('all_processes_killed')
        for node in world.nodes:
            node.kill()
        await asyncio.sleep(DOWN_TIME)
        for node in world.nodes:
            node.start()
        back_at = time.monotonic()
        await asyncio.sleep(RECOVERY + AFTER)
        stop.set()
        await asyncio.gather(*callers)
        before = _count(world, started_at, written_at)
        after = _count(world, back_at + RECOVERY, time.monotonic())
        for name, (served, asked) in (('before', before), ('after', after)):
            world.record.add(f'served_{name}', count=served, of=asked)
            print(f'served {name}: {served} of {asked}')
        if before[0] < 0.9 * before[1]:
            raise world_module.CannotRun('too little was served before')
        return int(after[0] < 0.25 * after[1])
    finally:
        world.stop()


if __name__ == '__main__':
    world_module.run(main, pathlib.Path(__file__).parent / 'record.txt')
