"""One entry of another writer stops the watch of the servers for good."""

import asyncio
import pathlib
import random
import time

from review.shared import servers
from review.shared import wire
from review.shared import world as world_module

CLIENTS_PER_NODE = 3
BEFORE = 8.0
BETWEEN = 6.0
SERVES_LONGER = 2.0
"""Time for which a server serves beyond its drain time (seconds)."""

AFTER = 15.0
DRAIN = world_module.BOUNDS['DrainMs'] / 1000

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
    """Send bookings, and a stream now and then."""
    connection = wire.Connection(node.host, world_module.FRONT)
    while not stop.is_set():
        if rng.random() < 0.2:
            await world.call(
                node,
                connection,
                'POST',
                '/ask/x',
                {
                    'X-Balsamwind-Model': MODEL,
                    'X-Balsamwind-Token-Usage': '674,30',
                    'X-Balsamwind-Prompt-Prefix': '5c1e07a2:40,91bd3f06:634',
                },
            )
        else:
            await world.call(
                node, connection, 'POST', '/hold/x', budget_ms=4000
            )
        await asyncio.sleep(rng.uniform(0.1, 0.3))
    connection.close()


async def _add_plain_server(world, number, zone):
    host = f'{world.network}.7.{100 + number}'
    name = f'i-beds{number}'
    server = servers.PlainServer(world, name, 'beds-app', zone, host)
    return await world.add(server)


async def _start_servers(world):
    for index, zone in enumerate(world.zones):
        for number in range(1, 5):
            host = f'{world.network}.7.{10 * index + number}'
            name = f'i-{zone}e{number}'
            await world.add(
                servers.Engine(
                    world, name, 'model-pool', zone, host, f'{zone}-d1'
                )
            )
    return [
        await _add_plain_server(world, number, zone)
        for number, zone in enumerate(world.zones)
    ]


async def _replace(world, old, number):
    """Replace a server: the new one starts first, the old one drains."""
    await _add_plain_server(world, number, old.zone)
    await asyncio.sleep(1.0)
    old.state = 'draining'
    old.write_entry()
    at = world.store.acknowledged['servers', old.server_id]
    world.record.add('draining', server=old.server_id)
    await asyncio.sleep(DRAIN + SERVES_LONGER)
    old.remove_entry()
    old.exit()
    world.record.add('server_ended', server=old.server_id)
    return at


def _make_configuration():
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
    return world_module.make_configuration(routes, services)


def _judge(world, drained):
    """Count the requests that reached a server after its drain time."""
    broken = 0
    for at, request_id, server_id in world.record.arrivals:
        late = at - drained.get(server_id, at) - DRAIN
        if late > 0:
            broken += 1
            world.record.add(
                'too_late',
                id=request_id,
                server=server_id,
                by=f'{late:.3f}s',
                node=world.node_by_request[request_id],
            )
    return broken


async def main(record_path, trouble):
    """Run the case; return how many requests came too late."""
    world = world_module.World(record_path)
    rng = random.Random(7)
    try:
        await world.start(_make_configuration())
        present = await _start_servers(world)
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
        if trouble:
            world.store.put('servers', 'another-writer', FOREIGN_ENTRY)
            world.record.add('foreign_entry_written')
        until = time.monotonic()
        await asyncio.sleep(4.0)
        drained = {}
        for number, old in enumerate(present, len(present)):
            drained[old.server_id] = await _replace(world, old, number)
            await asyncio.sleep(BETWEEN - DRAIN - SERVES_LONGER)
        replaced_at = time.monotonic()
        await asyncio.sleep(AFTER)
        stop.set()
        await asyncio.gather(*callers)
        spans = {
            'before': (started_at, until),
            'after': (replaced_at, time.monotonic()),
        }
        for name, (since, end) in spans.items():
            answers = [
                answer for at, _, answer in world.answers if since <= at < end
            ]
            served = sum(item.status == 200 for item in answers)
            print(f'served {name}: {served} of {len(answers)}')
            world.record.add(f'served_{name}', count=served, of=len(answers))
            if name == 'before' and served < 0.9 * len(answers):
                raise world_module.CannotRun('too little was served')
        return _judge(world, drained)
    finally:
        world.stop()


if __name__ == '__main__':
    world_module.run(main, pathlib.Path(__file__).parent / 'record.txt')
