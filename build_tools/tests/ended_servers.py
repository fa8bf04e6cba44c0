"""Real nodes before few plain servers, which one request ends again and again.

The nodes are processes of their own; the servers and the store run in the
process of the test.
"""

import asyncio
import contextlib
import dataclasses
import json
import random
import signal
import time

from balsamwind import relay
from balsamwind.relay import _fingerprint
from build_tools.pool_soak import _fleet
from build_tools.pool_soak import _traffic
from standins import pool as pool_standin
from standins import ports
from standins import proxy as proxy_module

DEADLY = b'deadly'
"""Body of the request that ends each server that runs it."""

NOTICE_TIME = 3.0
"""Time after the third end in which all nodes must know the request
(seconds)."""

SERVICE = 'ledger'

ACCOUNT = 'acme'

REPLACEMENT_TIME = 2.5
"""Time from the end of a server until another takes its place (seconds)."""

CALLERS = 16
"""Callers that send sound requests (count)."""

ROUTE_TIMEOUT = 1.0
"""Timeout of each route (seconds)."""

ANSWER_WAIT = 2.5
"""Longest wait of a caller (seconds)."""

SETTLING_TIME = 2.0
"""Time after the last deadly request in which its end becomes known
(seconds)."""

START_TIMEOUT = 20.0
"""Time within which all nodes must serve after the start (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """What happens while one request is repeated.

    Parameters
    ----------
    seed : int
        Seed of all that is drawn.
    path : str
        Path of the deadly request; requests of ``/pay/x`` run once at most.
    run : pool_standin.DeadlyRun
        How a server ends under it.
    repeats : int
        Copies that are sent at the same moment (count).
    other_ends : float
        Time between two ends of servers for another reason (seconds); 0 for
        none.
    restarts : signal.Signals or None
        Signal that ends the nodes in turn, which then start again.
    store_cut : bool
        Whether no node reaches the store from the third second on.
    servers : int
        Servers of the service (count).
    seconds : float
        Duration (seconds).
    """

    seed: int = 1
    path: str = '/pay/x'
    run: pool_standin.DeadlyRun = dataclasses.field(
        default_factory=pool_standin.DeadlyRun
    )
    repeats: int = 1
    other_ends: float = 0.0
    restarts: signal.Signals | None = None
    store_cut: bool = False
    servers: int = 3
    seconds: float = 15.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """What came of a scenario.

    Parameters
    ----------
    path : str
        Path of the deadly request.
    arrivals : list of float
        When deadly requests began to run (seconds, monotonic clock).
    ends : list of float
        When servers ended under them (seconds, monotonic clock).
    sound : dict of str to int
        Sound requests by the status of their answer (count).
    lines : list of dict
        Log lines of all nodes.
    metrics : dict of str to str
        Metrics of each node that lives at the end, by its name.
    """

    path: str
    arrivals: list[float]
    ends: list[float]
    sound: dict[str, int]
    lines: list[dict]
    metrics: dict[str, str]

    @property
    def late_tries(self):
        """Tries that began long after the third end (count)."""
        if len(self.ends) < 3:
            return 0
        noticed_at = self.ends[2] + NOTICE_TIME
        return sum(at > noticed_at for at in self.arrivals)

    @property
    def known_ends(self):
        """Ends that any node has put down to the deadly request (count)."""
        request = relay.IncomingRequest(
            'POST', self.path, _traffic.HOST, None, DEADLY, 0.0
        )
        fingerprint = _fingerprint.make_fingerprint(request, ACCOUNT)
        return len(
            {
                line['crash']
                for line in self.lines
                if line.get('event') == 'engine_crashed_on_request'
                and fingerprint in line['parts']
            }
        )

    def count_lines(self):
        """Count the log lines by their events (dict of str to int)."""
        counts = {}
        for line in self.lines:
            event = line.get('event')
            counts[event] = counts.get(event, 0) + 1
        return counts


class _Run:
    """One run of a scenario against nodes that have started."""

    def __init__(self, scenario, platform, nodes):
        self._scenario = scenario
        self._platform = platform
        self._nodes = nodes
        self._rng = random.Random(f'ended servers/{scenario.seed}')
        self._sent = 0
        self.sound = {}

    async def wait_until_serving(self):
        deadline = time.monotonic() + START_TIMEOUT
        for node in self._nodes:
            while await self.send(node, '/read/x', b'start') != '200':
                assert time.monotonic() < deadline, node.name
                await asyncio.sleep(0.1)

    async def send(self, node, path, body):
        """Send a request; return the status of its answer, or the error."""
        self._sent += 1
        head = (
            f'POST {path} HTTP/1.1\r\nHost: {_traffic.HOST}\r\n'
            f'X-Balsamwind-Request-Id: r{self._sent}\r\n'
            'Authorization: Token key-a\r\n'
            f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
        )
        try:
            async with asyncio.timeout(ANSWER_WAIT):
                reader, writer = await asyncio.open_connection(node.host, 8227)
                with contextlib.closing(writer):
                    writer.write(head.encode() + body)
                    answer = await reader.read()
        except (OSError, TimeoutError) as error:
            return type(error).__name__
        return answer[9:12].decode() or 'closed'

    async def run(self):
        tasks = [asyncio.ensure_future(self._repeat_deadly())]
        tasks += [
            asyncio.ensure_future(self._send_sound(number))
            for number in range(CALLERS)
        ]
        if self._scenario.other_ends:
            tasks.append(asyncio.ensure_future(self._end_others()))
        if self._scenario.restarts is not None:
            tasks.append(asyncio.ensure_future(self._restart_nodes()))
        if self._scenario.store_cut:
            tasks.append(asyncio.ensure_future(self._cut_store()))
        await asyncio.sleep(self._scenario.seconds)
        tasks[0].cancel()
        await asyncio.sleep(SETTLING_TIME)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _repeat_deadly(self):
        async with asyncio.TaskGroup() as group:
            while True:
                for _ in range(self._scenario.repeats):
                    node = self._rng.choice(self._nodes)
                    group.create_task(
                        self.send(node, self._scenario.path, DEADLY)
                    )
                await asyncio.sleep(self._rng.uniform(0.4, 0.9))

    async def _send_sound(self, number):
        count = 0
        while True:
            count += 1
            node = self._rng.choice(self._nodes)
            path = self._rng.choice(('/pay/x', '/read/x'))
            body = b'sound %d %d' % (number, count)
            status = await self.send(node, path, body)
            self.sound[status] = self.sound.get(status, 0) + 1
            await asyncio.sleep(self._rng.uniform(0.05, 0.25))

    async def _end_others(self):
        while True:
            await asyncio.sleep(self._scenario.other_ends)
            alive = [
                server
                for server in self._platform.services.values()
                if server.alive
            ]
            if alive:
                self._platform.crash_server(self._rng.choice(alive))

    async def _restart_nodes(self):
        while True:
            for node in self._nodes:
                await asyncio.sleep(1.0)
                node.process.send_signal(self._scenario.restarts)
                await node.wait_until_exited()
                node.start()

    async def _cut_store(self):
        await asyncio.sleep(3.0)
        for node in self._nodes:
            node.store_proxy.faults.silent_down = True


def _make_configuration():
    return _traffic.make_configuration(
        1, {ACCOUNT: ['key-a']}, route_timeout=ROUTE_TIMEOUT
    )


@contextlib.asynccontextmanager
async def _open_platform(scenario):
    platform = pool_standin.FakePlatform(
        ports.find_free_port, pool_standin.Times(heartbeat=0.6)
    )
    platform.start()
    platform.crash_time = REPLACEMENT_TIME
    platform.deadly_run = scenario.run
    platform.deadly_bodies.add(DEADLY)
    platform.store.put('config', 'main', _make_configuration())
    for number in range(scenario.servers):
        zone = _fleet.ZONES[number % len(_fleet.ZONES)]
        platform.add_service(f's{number}', SERVICE, zone)
    try:
        yield platform
    finally:
        await platform.stop()


@contextlib.asynccontextmanager
async def _open_nodes(platform, folder):
    """Run two nodes in each data centre, each behind a proxy to the store."""
    network, lock = _fleet.reserve_network()
    builds = {'new': _fleet.ROOT}
    nodes = [
        _fleet.Node(
            f'node-{zone}-{number}',
            zone,
            f'{network}.{index}.{number + 1}',
            proxy_module.FaultProxy(
                ports.find_free_port(), f'127.0.0.1:{platform.store_port}'
            ),
            folder,
            builds,
        )
        for index, zone in enumerate(_fleet.ZONES)
        for number in range(2)
    ]
    try:
        for node in nodes:
            await node.store_proxy.start()
            node.start()
        yield nodes
    finally:
        for node in nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                await asyncio.to_thread(node.process.wait)
            node.store_proxy.stop()
        lock.close()


async def _fetch_metrics(node):
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(node.host, 9464)
            with contextlib.closing(writer):
                writer.write(
                    b'GET /metrics HTTP/1.1\r\nHost: x\r\n'
                    b'Connection: close\r\n\r\n'
                )
                return (await reader.read()).decode()
    except (OSError, TimeoutError):
        return ''


def _read_lines(nodes):
    lines = []
    for node in nodes:
        for line in node.log_path.read_text(errors='replace').splitlines():
            with contextlib.suppress(ValueError):
                lines.append({'node': node.name, **json.loads(line)})
    return lines


async def play(scenario, folder):
    """Play a scenario; the logs of the nodes stay in `folder`.

    Parameters
    ----------
    scenario : Scenario
        What happens.
    folder : pathlib.Path
        Directory for settings and logs.

    Returns
    -------
    Outcome
    """
    async with (
        _open_platform(scenario) as platform,
        _open_nodes(platform, folder) as nodes,
    ):
        run = _Run(scenario, platform, nodes)
        await run.wait_until_serving()
        await run.run()
        metrics = {node.name: await _fetch_metrics(node) for node in nodes}
        return Outcome(
            scenario.path,
            list(platform.deadly_arrivals),
            list(platform.deadly_crashes),
            run.sound,
            _read_lines(nodes),
            metrics,
        )
