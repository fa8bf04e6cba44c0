"""A leader that was cut off takes a member of an open group for a spare.

The store is silent for the first node of a zone for 9 s. Meanwhile, by planned
work, an engine is added, a member leaves, and its group is formed anew with a
spare by the node that leads now. Then that former spare leaves without a word,
and the node is stopped by SIGTERM: the first node leads again, and still knows
the spare of before. The check is that of rule TWO, as the project's own
stand-in of the engines makes it.
"""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'shared-2'))

import fleet as fleet_module  # noqa: E402
import wire  # noqa: E402

from standins.pool import _platform  # noqa: E402
from standins.pool import _times  # noqa: E402
from standins import proxy as proxy_module  # noqa: E402

ZONE = 'tbilisi-a'
ZONES = ('tbilisi-a', 'tbilisi-b')
NODE_ZONES = ('tbilisi-a', 'tbilisi-a', 'tbilisi-b')
HOST = 'rota.example'
MODEL = 'm1'
GROUP_SIZE = 4
ENGINES = 11
NODES = 3
EVENTS = 34
EVENT_INTERVAL = 0.05
CLIENTS = 8

HEARTBEAT = 1.2
STALL_TIME = 4.0
DRAIN_TIME = 2.0
LINGER_TIME = 1.5
OUTAGE_TIME = 9.0
LAST_CHANGE = 0.15

CONFIGURATION = {
    'Version': 3,
    'Routes': [
        {
            'Name': 'rota-explain',
            'Host': HOST,
            'PathPrefix': '/rota/',
            'Kind': 'streaming',
            'TimeoutMs': 8000,
            'SloMs': 400,
            'GapSloMs': 300,
            'Priority': 1,
            'Service': 'rota-model',
            'MaxAttempts': 2,
            'Resumable': True,
            'Sticky': True,
        }
    ],
    'Services': [
        {
            'Name': 'rota-model',
            'HealthPath': '/health',
            'MaxConns': 268,
            'Engine': {
                'SlotCount': 9,
                'KvTokens': 984705,
                'Models': [
                    {
                        'Name': MODEL,
                        'size': GROUP_SIZE,
                        'pace': 1.0,
                        'Share': 1.0,
                        'LoadS': 12.0,
                        'WarmS': 1.1,
                    }
                ],
                'LoadsPerS': 5.0,
                'loads_at_once': 7,
                'FormMs': 100.0,
                'Stride': 5,
                'step_ms': 7.8,
                'read_per_s': 45900,
            },
        }
    ],
    'Limits': {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 1048576,
        'HeaderTimeoutMs': 5000,
        'IdleTimeoutMs': 10000,
    },
    'Tenants': [{'Name': 'circle', 'ApiKeys': ['key1']}],
}


class Case:
    """The system, the clients and the platform.

    Parameters
    ----------
    fleet : fleet_module.Fleet
        Ends what the case has started.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.record = fleet.record
        self.platform = _platform.FakePlatform(
            fleet_module.find_free_port,
            _times.Times(
                quick_join=0.2,
                warm=1.1,
                load=1.2,
                form=0.1,
                stall=STALL_TIME,
                heartbeat=HEARTBEAT,
                drain=DRAIN_TIME,
            ),
        )
        self.platform.store.era = 0
        self.stopping = asyncio.Event()
        self.outcomes = {}
        self.tasks = []
        self.proxies = {}

    async def start(self):
        """Start the platform, the engines and the nodes."""
        platform = self.platform
        platform.start()
        platform.store.put('config', 'main', CONFIGURATION)
        for number in range(ENGINES):
            self.add_engine(number)
        for number, host in enumerate(fleet_module.find_network(NODES)):
            proxy = proxy_module.FaultProxy(
                fleet_module.find_free_port(),
                f'127.0.0.1:{platform.store_port}',
            )
            await proxy.start()
            node = self.fleet.add_node(
                f'front-{NODE_ZONES[number]}-{number + 1}',
                NODE_ZONES[number],
                host,
                proxy.address,
                self.fleet.folder,
                ZONES,
            )
            self.proxies[node.name] = proxy
            node.start()
        for node in self.fleet.nodes:
            await node.wait_ready()

    def add_engine(self, number):
        """Start an empty engine."""
        engine = self.platform.add_engine(
            f'i-{number}', 'rota-model', ZONE, 'd1'
        )
        engine.event_count = EVENTS
        engine.event_interval = EVENT_INTERVAL

    def find_open_heads(self):
        """Return the engines that head an open group."""
        return [
            engine
            for engine in self.platform.engines.values()
            if engine.group is not None and engine.group['State'] == 'open'
        ]

    async def wait_for_groups(self):
        """Wait until all groups are open that the engines suffice for."""
        deadline = time.monotonic() + 25.0
        while len(self.find_open_heads()) < ENGINES // GROUP_SIZE:
            if time.monotonic() > deadline:
                raise fleet_module.CannotRun('the groups did not open')
            await asyncio.sleep(0.1)

    def find_leader(self):
        """Return the node that holds the lease of the zone, or None."""
        leases = self.platform.store.get_objects('balsamwind-leases')
        holder = leases[ZONE]['Spec']['holder'] if ZONE in leases else ''
        for node in self.fleet.nodes:
            if node.name == holder:
                return node
        return None

    def silence_store(self, node, is_silent):
        """Let the store be silent for a node, or end that."""
        proxy = self.proxies[node.name]
        # What was held back is lost.
        proxy.reset()
        proxy.faults.silent_up = proxy.faults.silent_down = is_silent

    async def drain(self, engine):
        """Let an engine leave: it says so, serves on, and then exits."""
        engine.state = 'draining'
        engine.write_entry()
        await asyncio.sleep(DRAIN_TIME + LINGER_TIME)
        engine.gone = True
        engine.kill()
        self.platform.store.delete('servers', engine.server_id)

    async def wait_until(self, condition, deadline, what):
        """Wait for a condition; the case can't run without it."""
        while not condition():
            if time.monotonic() > deadline:
                raise fleet_module.CannotRun(what)
            await asyncio.sleep(0.02)

    async def run_client(self, number):
        """Send one stream after the other, to the nodes that take new ones."""
        count = 0
        while not self.stopping.is_set():
            count += 1
            node = self.fleet.nodes[(number + count) % NODES]
            client = wire.Client(node.front)
            request_id = f'c{number}-{count}'
            answer = await client.send(
                wire.encode_request(
                    'POST',
                    '/rota/x',
                    HOST,
                    request_id,
                    'key1',
                    8.0,
                    body=f'body {request_id}'.encode(),
                    headers=(
                        ('X-Balsamwind-Model', MODEL),
                        ('X-Balsamwind-Token-Usage', '1460,170'),
                    ),
                ),
                9.0,
            )
            client.close()
            self.record.write(f'{request_id} at {node.name}: {answer}')
            outcome = f'{answer.status} {"whole" if answer.whole else "cut"}'
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            if answer.status != 200:
                await asyncio.sleep(0.3)

    async def watch_groups(self, began_at):
        """Write each change of the groups that the engines report."""
        known = {}
        while not self.stopping.is_set():
            for engine in self.platform.engines.values():
                group = engine.group and dict(engine.group)
                if known.get(engine.server_id) != group:
                    known[engine.server_id] = group
                    age = time.monotonic() - began_at
                    self.record.write(
                        f'{age:6.2f} s: {engine.server_id} {group}'
                    )
            await asyncio.sleep(0.02)


async def run(fleet):
    """Run the case; what broke the rule."""
    case = Case(fleet)
    await case.start()
    await case.wait_for_groups()
    case.tasks += [
        asyncio.ensure_future(case.run_client(i)) for i in range(CLIENTS)
    ]
    # Requests have begun, and the nodes have been in touch for long.
    await asyncio.sleep(12.0)
    began_at = time.monotonic()
    case.tasks.append(asyncio.ensure_future(case.watch_groups(began_at)))
    await asyncio.sleep(0.5)
    first = fleet.nodes[0]
    if case.find_leader() is not first:
        raise fleet_module.CannotRun('another node leads the zone')
    before = len(case.platform.trace.violations)
    began_at = time.monotonic()

    def say(text):
        fleet.record.say(f'{time.monotonic() - began_at:.2f} s: {text}')

    ends_at = began_at + OUTAGE_TIME
    if fleet_module.read_trouble():
        case.silence_store(first, True)
        say(f'the store is silent for {first.name}, which leads the zone')
        await case.wait_until(
            lambda: case.find_leader() not in (None, first),
            began_at + 6.0,
            'no other node leads',
        )
    else:
        first.send_signal(signal.SIGTERM)
        say(f'SIGTERM to {first.name}, which leads the zone')
        await case.wait_until(
            lambda: case.find_leader() not in (None, first),
            began_at + 6.0,
            'no other node leads',
        )
    leader = case.find_leader()
    say(f'{leader.name} leads the zone')
    old_head = case.find_open_heads()[0]
    old_key, old_members = old_head.group_key, old_head.members
    leaving = case.platform.engines[old_members[-1]]
    case.tasks.append(asyncio.ensure_future(case.drain(leaving)))
    say(f'{leaving.server_id} of {old_key[0]} drains and leaves')

    def find_new_head():
        for engine in case.find_open_heads():
            if engine.group_key[1] > old_key[1] and set(engine.members) & set(
                old_members
            ):
                return engine
        return None

    await case.wait_until(
        find_new_head, ends_at - 0.5, 'the group was not formed anew'
    )
    head = find_new_head()
    say(f'{head.server_id} heads {head.group["Name"]}, members {head.members}')
    case.add_engine(ENGINES)
    say(f'i-{ENGINES} is added')
    [former_spare] = [
        case.platform.engines[name]
        for name in head.members
        if name not in old_members
    ]
    if not fleet_module.read_trouble():
        while first.process.poll() is None:
            await asyncio.sleep(0.02)
        first.start()
        await first.wait_ready()
        say(f'{first.name} is ready again')
    await asyncio.sleep(max(0.0, ends_at - LAST_CHANGE - time.monotonic()))
    former_spare.cut_from_store = True
    case.platform.store.delete('servers', former_spare.server_id)
    leader.send_signal(signal.SIGTERM)
    exits_at = time.monotonic() + DRAIN_TIME + LINGER_TIME
    say(
        f'the entry of {former_spare.server_id} is removed, it serves on;'
        f' SIGTERM to {leader.name}'
    )
    await asyncio.sleep(max(0.0, ends_at - time.monotonic()))
    if fleet_module.read_trouble():
        case.silence_store(first, False)
        say(f'the store answers {first.name} again')
    while time.monotonic() < exits_at + 1.0:
        if not former_spare.gone and time.monotonic() >= exits_at:
            former_spare.gone = True
            former_spare.kill()
            say(f'{former_spare.server_id} exits')
        for text in case.platform.trace.violations[before:]:
            before += 1
            say(text)
        await asyncio.sleep(0.01)
    case.stopping.set()
    fleet.record.say(f'streams: {case.outcomes}')
    return [
        text
        for text in case.platform.trace.violations
        if text.startswith('TWO')
    ]


fleet_module.run_case(FOLDER, run)
