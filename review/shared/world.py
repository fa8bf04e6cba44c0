"""A small deployment: store, servers, nodes and clients."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import uuid

from review.shared import servers
from review.shared import store as store_module
from review.shared import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]

FRONT = 8227
READY = 8220
NEWS = 7340
METRICS = 9464
STORE = 8223
PORTS = (FRONT, READY, NEWS, METRICS)

HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'

BOUNDS = {
    'SeedLagS': 3,
    'ReuseAfterS': 2,
    'ContactMs': 3000,
    'AckMs': 4000,
    'CatchUpS': 4,
    'DrainMs': 2000,
    'GraceS': 8,
    'LossSlackMs': 200,
    'ConfigApplyMs': 2000,
    'BackMs': 250,
    'SkewMaxMs': 5000,
    'StrictRevoke': True,
    'RevokeMs': 5000,
    'BudgetRatio': 0.2,
    'BudgetWindowS': 10,
    'BudgetExtra': 103,
    'RecoveryS': 12,
    'PassMs': 120,
    'RetryAfterS': 0,
    'StallMs': 4000,
    'RequireFence': True,
    'CeilingWindowS': 5,
    'CeilingExcess': 1.1,
}


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run, with times in seconds."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._started_at = time.monotonic()
        self.runs = {}
        self.arrivals = []
        self.lost = set()
        self.taken = []

    def add(self, what, **values):
        """Add a line."""
        at = time.monotonic() - self._started_at
        line = ' '.join(f'{name}={value}' for name, value in values.items())
        self._file.write(f'{at:8.3f} {what} {line}\n')

    def arrive(self, request_id, server_id):
        """Record that a request has reached a server."""
        self.arrivals.append((time.monotonic(), request_id, server_id))
        self.add('arrived', id=request_id, server=server_id)

    def run(self, request_id, server_id, **values):
        """Record that a request has begun to run."""
        self.runs.setdefault(request_id, []).append(server_id)
        self.add('run', id=request_id, server=server_id, **values)

    def lose(self, request_id, server_id):
        """Record that a server has ended while it ran a request."""
        self.lost.add(request_id)
        self.add('work_lost', id=request_id, server=server_id)

    def close(self):
        """Write the rest."""
        self._file.close()


class Node:
    """One node of the system, as a process of its own."""

    def __init__(self, world, name, zone, host, proxy):
        self._world = world
        self.name = name
        self.zone = zone
        self.host = host
        self.proxy = proxy
        self.process = None
        self.first_start = True

    def start(self):
        """Write the settings, and start the process."""
        path = self._world.folder / f'{self.name}.toml'
        path.write_text(self._make_settings(), encoding='utf-8')
        self.first_start = False
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['BALSAMWIND_BOOT'] = str(path)
        with open(self._world.folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'balsamwind', 'entry'],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._world.record.add('node_started', node=self.name, host=self.host)

    def _make_settings(self):
        zones = self._world.zones
        lines = [
            f'NodeName = "{self.name}"',
            'Role = "entry"',
            'MachineClass = "front"',
            'Serves = ["front"]',
            f'Ip = "{self.host}"',
            f'Zone = "{self.zone}"',
            'Region = "bg-south"',
            f'PortRange = [{NEWS},{NEWS + 15}]',
            'SeedAddrs = []',
            f'Bootstrap = {str(self.first_start).lower()}',
            'InTolerance = false',
            'Discovery = "platform"',
            'Entry = "vip"',
            f'HeartbeatMs = {int(servers.HEARTBEAT * 1000)}',
            '[Zones]',
            *(f'{zone} = "bg-south"' for zone in zones),
            '[Listen]',
            f'Front = "{self.host}:{FRONT}"',
            f'Ready = "{self.host}:{READY}"',
            '[Limits]',
            'CpuShare = 0.537',
            'CpuCores = 2',
            'MemoryMb = 300',
            'MaxFds = 4200',
            'LinkMbps = 1000.0',
            'DiskMb = 0',
            '[Tolerate]',
            'Machines = 1',
            'Zones = 1',
            'Regions = 0',
            '[Bounds]',
            *(f'{name} = {json.dumps(item)}' for name, item in BOUNDS.items()),
            '[Platform]',
            f'Address = "{self.proxy[0]}:{self.proxy[1]}"',
            'form = "objects"',
            'WritesPerS = 400',
            'ReadsPerS = 2000',
            'HistoryTtlS = 20',
            'ValueBytes = 1048576',
            'MinTtlMs = 1000',
        ]
        return '\n'.join(lines) + '\n'

    def kill(self):
        """Kill the process, and wait until it has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def terminate(self):
        """Send SIGTERM, as the platform does to stop a process."""
        self.process.send_signal(signal.SIGTERM)

    async def is_ready(self):
        """Whether the node says that it is ready."""
        connection = wire.Connection(self.host, READY)
        answer = await connection.send(
            'GET', '/v1/ready', {'Host': self.host}, timeout=1.0
        )
        connection.close()
        return answer.status == 200


def _find_network():
    """Find a loopback network in which the ports of the nodes are free."""
    for index in range(190):
        number = 60 + (os.getpid() + index) % 190
        try:
            for host, port in (
                *((f'127.{number}.0.1', port) for port in PORTS),
                (f'127.{number}.8.1', STORE),
            ):
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        return f'127.{number}'
    raise CannotRun('no loopback network is free')


class World:
    """Store, servers and nodes of one case.

    Parameters
    ----------
    record_path : pathlib.Path
        File that gets the record.
    zones : tuple of str
        Zones of the deployment.
    nodes_per_zone : int
        Nodes in each zone.
    """

    load_time = 0.4
    warm_time = 0.3
    form_time = 0.1
    stall_time = BOUNDS['StallMs'] / 1000

    def __init__(
        self, record_path, zones=('z1', 'z2', 'z3'), nodes_per_zone=2
    ):
        self.zones = zones
        self._nodes_per_zone = nodes_per_zone
        self.record = Record(record_path)
        self.network = _find_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = None
        self.proxies = {}
        self.nodes = []
        self.servers = {}
        self.answers = []
        self.node_by_request = {}

    async def start(self, configuration):
        """Start the store, and write the configuration."""
        self.store = store_module.Store()
        await self.store.listen(f'{self.network}.9.1')
        self.store.put('config', 'main', configuration)

    async def start_nodes(self):
        """Start all nodes, each behind a proxy of its own to the store."""
        for index, zone in enumerate(self.zones):
            for number in range(1, self._nodes_per_zone + 1):
                name = f'front-{zone}-{number}'
                proxy = wire.Proxy(f'{self.network}.9.1', self.store.port)
                at = (f'{self.network}.8.{10 * index + number}', STORE)
                await proxy.listen(*at)
                self.proxies[name] = proxy
                host = f'{self.network}.{index}.{number}'
                self.nodes.append(Node(self, name, zone, host, at))
        for node in self.nodes:
            node.start()

    def find_node(self, name):
        """Return a node by its name."""
        return next(node for node in self.nodes if node.name == name)

    async def add(self, server, port=0):
        """Start a server."""
        self.servers[server.server_id] = server
        await server.start(port)
        return server

    async def wait_until(self, condition, seconds, what):
        """Wait for an awaitable condition; `CannotRun` if it stays false."""
        deadline = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > deadline:
                raise CannotRun(f'{what} within {seconds} s')
            await asyncio.sleep(0.1)

    async def wait_until_ready(self, seconds=20.0):
        """Wait until all nodes are ready."""

        async def are_ready():
            states = await asyncio.gather(
                *(node.is_ready() for node in self.nodes)
            )
            return all(states)

        await self.wait_until(are_ready, seconds, 'all nodes are ready')

    async def call(
        self, node, connection, method, path, headers=(), **options
    ):
        """Send one request of a client, and record it with its answer.

        Returns
        -------
        (str, Answer)
            Id of the request, and the answer.
        """
        request_id = uuid.uuid4().hex[:16]
        budget = options.pop('budget_ms', 8000)
        fields = {
            'Host': HOST,
            'X-Balsamwind-Request-Id': request_id,
            'X-Balsamwind-Time-Budget-Ms': str(budget),
            'Authorization': f'Token {KEY}',
            **dict(headers),
        }
        body = b'x' * 64 if method == 'POST' else b''
        sent_at = time.monotonic()
        self.node_by_request[request_id] = node.name
        self.record.add(
            'sent', id=request_id, node=node.name, request=f'{method}:{path}'
        )
        answer = await connection.send(
            method, path, fields, body, budget / 1000 + 1.0
        )
        self.record.add(
            'answered',
            id=request_id,
            status=answer.status,
            whole=answer.whole,
            error=answer.error.replace(' ', '_'),
        )
        self.answers.append((sent_at, request_id, answer))
        return request_id, answer

    def stop(self):
        """End all processes, and remove the temporary folder."""
        for node in self.nodes:
            node.kill()
        for server in self.servers.values():
            server.server.stop()
        for proxy in self.proxies.values():
            proxy.stop()
        if self.store is not None:
            self.store.stop()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def make_route(name, kind, service, **values):
    """Make a route of the configuration."""
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': f'/{name}/',
        'Service': service,
        'Kind': kind,
        'Priority': 1,
        'TimeoutMs': 8000,
        'SloMs': 400,
        'MaxAttempts': 2,
        **values,
    }


def make_configuration(routes, services, version=1):
    """Make a configuration with one tenant."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': services,
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 5000,
            'IdleTimeoutMs': 20000,
        },
        'Tenants': [{'Name': TENANT, 'ApiKeys': [KEY]}],
    }


def make_engine_service(name, models):
    """Make a service of model engines."""
    return {
        'Name': name,
        'HealthPath': '/health',
        'MaxConns': 268,
        'Engine': {
            'SlotCount': 9,
            'KvTokens': 984705,
            'step_ms': 7.8,
            'per_seq_ms': 0.09,
            'read_per_s': 45900.0,
            'chunk': 2048,
            'Stride': 5,
            'LoadsPerS': 5.0,
            'loads_at_once': 7,
            'FormMs': 100.0,
            'report_lag_ms': 200.0,
            'Models': models,
        },
    }


def run(main, record_path):
    """Run a case: exit with 1 if the rule was broken, 0 if not, else 2.

    Parameters
    ----------
    main : callable
        Coroutine function that takes the record's path and whether there is
        trouble; returns how many times the rule was broken.
    record_path : pathlib.Path
        File that gets the record.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        broken = asyncio.run(main(record_path, trouble))
    except Exception as error:
        print(f'cannot run: {error!r}')
        raise SystemExit(2) from error
    print(f'broken: {broken}')
    raise SystemExit(1 if broken else 0)
