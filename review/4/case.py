"""A node that stops takes requests that it can not finish."""

import asyncio
import pathlib
import random
import signal
import time

from review.shared import servers
from review.shared import wire
from review.shared import world as world_module

CLIENTS = 18
CYCLES = 6
BETWEEN = 4.0
GRACE = world_module.BOUNDS['GraceS']
TOKENS_PER_EVENT = 5
LENGTHS = (35, 60, 75, 87)
"""Events of the streams; one takes 50 ms (count)."""

MODEL = 'daka510000'
ZONE = 'z1'


class Client:
    """Sends one stream after the other, over a connection that it keeps."""

    def __init__(self, world, rng):
        self._world = world
        self._rng = rng
        self._node = None
        self._connection = None

    def _connect(self):
        """Connect to a node of the zone that is in rotation."""
        if self._connection is not None and self._connection.is_open:
            return
        nodes = [
            node
            for node in self._world.nodes
            if node.zone == ZONE and node.name not in self._world.stopping
        ]
        self._node = self._rng.choice(nodes)
        self._connection = wire.Connection(self._node.host, world_module.FRONT)

    async def run(self, stop):
        """Send requests until the event is set."""
        while not stop.is_set():
            self._connect()
            events = self._rng.choice(LENGTHS)
            usage = f'674,{events * TOKENS_PER_EVENT}'
            await self._world.call(
                self._node,
                self._connection,
                'POST',
                '/ask/x',
                {
                    'X-Balsamwind-Model': MODEL,
                    'X-Balsamwind-Token-Usage': usage,
                    'X-Balsamwind-Prompt-Prefix': '5c1e07a2:40,91bd3f06:634',
                },
            )
            await asyncio.sleep(self._rng.uniform(0.0, 0.6))


async def _stop_node(world, node, trouble):
    """Stop a node as the platform does, and start it again."""
    if not trouble:
        await asyncio.sleep(GRACE)
        return
    # The balancer sends no new connections soon after the SIGTERM.
    sent_at = time.monotonic()
    world.record.add('sigterm', node=node.name)
    node.process.send_signal(signal.SIGTERM)
    world.terminations.append((node.name, sent_at))
    asyncio.get_running_loop().call_later(2.0, world.stopping.add, node.name)
    while time.monotonic() < sent_at + GRACE and node.process.poll() is None:
        await asyncio.sleep(0.05)
    lasted = time.monotonic() - sent_at
    world.record.add('ended', node=node.name, after=f'{lasted:.2f}s')
    node.kill()
    node.start()
    await world.wait_until_ready()
    world.stopping.discard(node.name)


def _judge(world):
    """Count the accepted requests that were cut by the stop of a node."""
    broken = 0
    for sent_at, request_id, answer in world.answers:
        name = world.node_by_request[request_id]
        for node, at in world.terminations:
            after = sent_at - at
            if node != name or not 3.0 < after < GRACE:
                continue
            has_run = request_id in world.record.runs
            world.record.add(
                'taken_late',
                id=request_id,
                node=name,
                after=f'{after:.2f}s',
                ran=has_run,
                status=answer.status,
                whole=answer.whole,
            )
            broken += has_run and not answer.whole
    return broken


async def main(record_path, trouble):
    """Run the case; return how many accepted requests were cut."""
    world = world_module.World(record_path)
    world.stopping = set()
    world.terminations = []
    rng = random.Random(7)
    try:
        routes = [
            world_module.make_route(
                'ask',
                'streaming',
                'model-pool',
                Sticky=True,
                Resumable=True,
                GapSloMs=300,
            )
        ]
        models = [
            {
                'Name': MODEL,
                'size': 2,
                'Share': 1.0,
                'pace': 1.0,
                'LoadS': 4.0,
                'WarmS': 0.3,
            }
        ]
        service = world_module.make_engine_service('model-pool', models)
        await world.start(world_module.make_configuration(routes, [service]))
        for index, zone in enumerate(world.zones):
            for number in range(1, 5):
                await world.add(
                    servers.Engine(
                        world,
                        f'i-{zone}e{number}',
                        'model-pool',
                        zone,
                        f'{world.network}.7.{10 * index + number}',
                        f'{zone}-d1',
                    )
                )
        await world.start_nodes()
        await world.wait_until_ready()
        await asyncio.sleep(6.0)
        stop = asyncio.Event()
        callers = [
            asyncio.ensure_future(Client(world, rng).run(stop))
            for _ in range(CLIENTS)
        ]
        await asyncio.sleep(6.0)
        nodes = [node for node in world.nodes if node.zone == ZONE]
        for cycle in range(CYCLES):
            await _stop_node(world, nodes[cycle % 2], trouble)
            await asyncio.sleep(BETWEEN)
        stop.set()
        await asyncio.gather(*callers)
        served = sum(
            item[2].status == 200 and item[2].whole for item in world.answers
        )
        world.record.add('served', count=served, of=len(world.answers))
        if served < 0.8 * len(world.answers):
            raise world_module.CannotRun(f'only {served} were served')
        return _judge(world)
    finally:
        world.stop()


if __name__ == '__main__':
    world_module.run(main, pathlib.Path(__file__).parent / 'record.txt')
