"""A node that reaches the store again makes servers return that have left."""

import asyncio
import pathlib
import random
import time

from review.shared import servers
from review.shared import wire
from review.shared import world as world_module

CUT_TIMES = (4.0, 4.2, 4.4, 3.8, 4.3, 4.1, 5.5)
CYCLE = 11.5
CYCLES = len(CUT_TIMES)
REMOVED_BEFORE_END = 0.5
SERVES_LONGER = (1.0, 1.2, 1.9)
CALLS_PER_SECOND = 26
CONTACT = world_module.BOUNDS['ContactMs'] / 1000
DRAIN = world_module.BOUNDS['DrainMs'] / 1000
ZONE = 'z1'


async def _call_forever(world, node, stop):
    """Send bookings to one node, at a steady rate, over kept connections."""
    idle = []
    tasks = set()

    async def call():
        connection = (
            idle.pop()
            if idle
            else wire.Connection(node.host, world_module.FRONT)
        )
        await world.call(node, connection, 'POST', '/hold/x', budget_ms=4000)
        idle.append(connection)

    while not stop.is_set():
        task = asyncio.ensure_future(call())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(CALLS_PER_SECOND))
    await asyncio.gather(*tasks)
    for connection in idle:
        connection.close()


async def _add_server(world, number, zone):
    server = servers.PlainServer(
        world,
        f'i-beds{number}',
        'beds-app',
        zone,
        f'{world.network}.7.{number}',
    )
    return await world.add(server)


async def _leave(world, server, longer):
    """Leave the store without notice, serve on, and end."""
    server.remove_entry()
    removed_at = world.store.acknowledged['servers', server.server_id]
    world.record.add('entry_removed', server=server.server_id)
    await asyncio.sleep(DRAIN + longer)
    server.exit()
    world.record.add('server_ended', server=server.server_id)
    return removed_at


def _is_in_touch(disturbed, node, start, end):
    """Whether a node was in touch all the time."""
    return not any(
        name == node and start < until + CONTACT and end > since
        for name, since, until in disturbed
    )


async def _run_cycle(world, node, number, server, trouble, disturbed):
    started_at = time.monotonic()
    cut_time = CUT_TIMES[len(disturbed) % CYCLES]
    if trouble:
        world.proxies[node.name].cut()
        world.record.add('cut_from_store', node=node.name)
    await _add_server(world, number, server.zone)
    await asyncio.sleep(cut_time - REMOVED_BEFORE_END)
    leaving = asyncio.ensure_future(
        _leave(world, server, SERVES_LONGER[number % len(SERVES_LONGER)])
    )
    await asyncio.sleep(started_at + cut_time - time.monotonic())
    if trouble:
        world.proxies[node.name].heal()
        disturbed.append((node.name, started_at, time.monotonic()))
        world.record.add('reaches_store_again', node=node.name)
    await asyncio.sleep(started_at + CYCLE - time.monotonic())
    return server.server_id, await leaving


def _judge(world, removed, disturbed):
    """Count the requests that reached a server after its drain time."""
    broken = 0
    sent_at = {item[1]: item[0] for item in world.answers}
    lost = world.record.lost
    for at, request_id, server_id in world.record.arrivals:
        late = at - removed.get(server_id, at) - DRAIN
        if late <= 0:
            continue
        name = world.node_by_request[request_id]
        in_touch = _is_in_touch(disturbed, name, sent_at[request_id], at)
        world.record.add(
            'too_late',
            id=request_id,
            server=server_id,
            by=f'{late:.3f}s',
            node=name,
            in_touch=in_touch,
        )
        broken += in_touch
        if in_touch and request_id in lost:
            world.record.add('accepted_work_lost', id=request_id)
    return broken


async def main(record_path, trouble):
    """Run the case; return how many requests came too late."""
    world = world_module.World(record_path)
    disturbed = []
    try:
        routes = [
            world_module.make_route(
                'hold',
                'non_idempotent',
                'beds-app',
                TimeoutMs=2000,
                MaxAttempts=1,
            )
        ]
        await world.start(
            world_module.make_configuration(
                routes, [{'Name': 'beds-app', 'MaxConns': 96}]
            )
        )
        present = [
            await _add_server(world, number, zone)
            for number, zone in enumerate(world.zones, 1)
        ]
        await world.start_nodes()
        await world.wait_until_ready()
        await asyncio.sleep(4.0)
        stop = asyncio.Event()
        nodes = [node for node in world.nodes if node.zone == ZONE]
        callers = [
            asyncio.ensure_future(_call_forever(world, node, stop))
            for node in nodes
        ]
        await asyncio.sleep(2.0)
        removed = {}
        for cycle in range(CYCLES):
            server = present.pop(0)
            number = len(world.servers) + 1
            server_id, at = await _run_cycle(
                world, nodes[0], number, server, trouble, disturbed
            )
            removed[server_id] = at
            present.append(world.servers[f'i-beds{number}'])
        stop.set()
        await asyncio.gather(*callers)
        served = sum(item[2].status == 200 for item in world.answers)
        world.record.add('served', count=served, of=len(world.answers))
        if served < 0.9 * len(world.answers):
            raise world_module.CannotRun(f'only {served} were served')
        return _judge(world, removed, disturbed)
    finally:
        world.stop()


if __name__ == '__main__':
    world_module.run(main, pathlib.Path(__file__).parent / 'record.txt')
