"""Processes of a soak: the platform's stand-in, and nodes behind wires."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

from build_tools import conditions
from build_tools.pool_soak import _traffic
from standins import ports as ports_module
from standins import wire

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

ZONES = ('z1', 'z2', 'z3')

ENGINES = 10
"""Engines of each data centre, which are one fabric domain (count)."""

HOLD_PORT = 7399
"""Port that shows that a loopback network is in use."""

EVENTS = 16
"""Events of a stream (count)."""

PAUSE = 0.03
"""Time between two events (seconds)."""

TIMES = {
    'quick_join': 0.1,
    'warm': 0.3,
    'load': 2.0,
    'form': 0.1,
    'stall': 4.0,
    'heartbeat': 0.6,
    'drain': 2.0,
}

BOUNDS = {
    'DrainMs': 2000,
    'GraceS': 8,
    'StrictRevoke': True,
    'RevokeMs': int(_traffic.REVOCATION * 1000),
    'BudgetRatio': 0.2,
    'BudgetWindowS': 10,
    'BudgetExtra': 60,
    'CeilingWindowS': 5,
    'CeilingExcess': 1.1,
    'StallMs': 4000,
}


def hold_network():
    """A loopback network that no other soak uses.

    Returns
    -------
    (str, socket.socket)
        Its first two bytes, and what holds it until it is closed.
    """
    for number in range(20, 250):
        holder = socket.socket()
        try:
            holder.bind((f'127.{number}.255.1', HOLD_PORT))
        except OSError:
            holder.close()
            continue
        return f'127.{number}', holder
    raise OSError('all loopback networks are in use')


class Node:
    """One node and its wire to the store.

    Parameters
    ----------
    name, zone, host : str
        Name, data centre, loopback address.
    wire : standins.wire.Wire
        Its way to the store.
    """

    __slots__ = (
        '_folder',
        'host',
        'name',
        'pauses',
        'process',
        'restarting',
        'settings',
        'touched_at',
        'wire',
        'zone',
    )

    def __init__(self, name, zone, host, wire, folder):
        self.name = name
        self.zone = zone
        self.host = host
        self.wire = wire
        self._folder = folder
        self.process = None
        self.pauses = 0
        self.touched_at = float('-inf')
        self.restarting = asyncio.Lock()
        self.settings = {'first_start': True, 'extra': 60}

    @property
    def log_path(self):
        """File with its log lines."""
        return self._folder / f'{self.name}.log'

    def touch(self, seconds=0.0):
        """Note that it, or its links, are given a fault for `seconds`."""
        until = time.monotonic() + seconds
        self.touched_at = max(self.touched_at, until)

    def write_settings(self):
        """Write its settings file."""
        rows = [
            f'NodeName = "{self.name}"',
            f'Zone = "{self.zone}"',
            f'Ip = "{self.host}"',
            'PortRange = [7340, 7355]',
            f'HeartbeatMs = {int(TIMES["heartbeat"] * 1000)}',
            f'Bootstrap = {str(self.settings["first_start"]).lower()}',
            '[Zones]',
            *(f'{zone} = "r"' for zone in ZONES),
            '[Listen]',
            f'Front = "{self.host}:8227"',
            f'Ready = "{self.host}:8220"',
            '[Platform]',
            f'Address = "{self.wire.address}"',
            '[Bounds]',
        ]
        bounds = {**BOUNDS, 'BudgetExtra': self.settings['extra']}
        for name, value in bounds.items():
            rows.append(f'{name} = {json.dumps(value)}')
        path = self._folder / f'{self.name}.toml'
        path.write_text('\n'.join(rows) + '\n', encoding='utf-8')
        return path

    def start(self):
        """Start its process."""
        path = self.write_settings()
        self.settings['first_start'] = False
        with open(self.log_path, 'ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'balsamwind', 'entry'],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, 'BALSAMWIND_BOOT': str(path)},
            )

    async def wait(self, timeout=20.0):
        """Wait for the end of its process."""
        process = self.process
        end = time.monotonic() + timeout
        while process.poll() is None:
            if time.monotonic() > end:
                raise TimeoutError(f'{self.name} does not end')
            await asyncio.sleep(0.02)


class Fleet:
    """All processes of a soak.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings and logs.
    nodes_per_zone : int
        Nodes of each data centre (count).
    seed : int
        Of the stand-in's chance.
    """

    def __init__(self, folder, nodes_per_zone, seed):
        self._folder = folder
        self._seed = seed
        self._platform = None
        network, self._holder = hold_network()
        engines = len(ZONES) * ENGINES
        servers = engines + 2 * len(ZONES)
        ports = iter(
            ports_module.find_free_ports(
                3 + len(ZONES) * nodes_per_zone + 2 * servers
            )
        )
        self.store_port = next(ports)
        self.admin_port = next(ports)
        self.wires = {}
        self.engines = {}
        self.services = {}
        rows = []
        for zone in ZONES:
            for number in range(ENGINES):
                name = f'{zone}-e{number}'
                rows.append(self._add_server(name, 'llm', zone, ports))
                rows[-1]['domain'] = f'{zone}-d'
        self._engine_rows = rows
        self._service_rows = [
            self._add_server(f'{zone}-{service}', service, zone, ports)
            for zone in ZONES
            for service in ('ledger', 'books')
        ]
        self.nodes = [
            Node(
                f'node-{zone}-{number}',
                zone,
                f'{network}.{index}.{number + 1}',
                wire.Wire(next(ports), f'127.0.0.1:{self.store_port}'),
                folder,
            )
            for index, zone in enumerate(ZONES)
            for number in range(nodes_per_zone)
        ]
        self.version = 1
        # What the configuration holds, what callers use, and what was
        # taken away.
        self.configured = {'acme': ['key-a'], 'bolt': ['key-b', 'key-c']}
        self.keys = {
            name: list(held) for name, held in self.configured.items()
        }
        self.retired = []
        self.moved = False

    def _add_server(self, name, service, zone, ports):
        port = next(ports)
        self.wires[name] = wire.Wire(next(ports), f'127.0.0.1:{port}')
        return {
            'server_id': name,
            'service': service,
            'zone': zone,
            'port': port,
            'address': self.wires[name].address,
        }

    @property
    def engine_names(self):
        """Ids of all engines."""
        return [row['server_id'] for row in self._engine_rows]

    @property
    def service_names(self):
        """Ids of all servers of plain services."""
        return [row['server_id'] for row in self._service_rows]

    async def start(self):
        """Start the stand-in, the wires and the nodes."""
        plan = {
            'store_port': self.store_port,
            'admin_port': self.admin_port,
            'times': TIMES,
            'configuration': self.make_configuration(),
            'engines': self._engine_rows,
            'services': self._service_rows,
            'events': EVENTS,
            'pause': PAUSE,
        }
        path = self._folder / 'plan.json'
        path.write_text(json.dumps(plan), encoding='utf-8')
        with open(self._folder / 'platform.log', 'ab') as log:
            self._platform = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'standins.pool',
                    str(path),
                    '--seed',
                    str(self._seed),
                ],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
        for each in (*self.wires.values(), *(n.wire for n in self.nodes)):
            await each.start()
        await self._wait_for_platform()
        for node in self.nodes:
            node.start()

    async def _wait_for_platform(self):
        end = time.monotonic() + conditions.WAIT
        while True:
            try:
                return await self.look()
            except OSError:
                if time.monotonic() > end:
                    raise
                await asyncio.sleep(0.1)

    async def stop(self):
        """End all processes that this fleet started."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
            node.wire.stop()
        for each in self.wires.values():
            each.stop()
        if self._platform is not None:
            self._platform.kill()
            self._platform.wait()
        self._holder.close()

    @property
    def platform_ended(self):
        """Whether the stand-in has ended by itself."""
        return self._platform.poll() is not None

    async def look(self, runs=0, arrivals=0):
        """What the stand-in saw, from the given places of its lists on."""
        url = (
            f'http://127.0.0.1:{self.admin_port}/'
            f'?runs={runs}&arrivals={arrivals}'
        )
        return await asyncio.to_thread(conditions.get_json, url)

    async def tell(self, **value):
        """Give the stand-in a fault, or take one back."""
        url = f'http://127.0.0.1:{self.admin_port}/'
        await asyncio.to_thread(conditions.post_json, url, value)

    def make_configuration(self):
        """The configuration as the operator wants it now."""
        return _traffic.make_configuration(
            self.version, self.configured, self.moved
        )

    async def configure(self):
        """Write a new version of the configuration."""
        self.version += 1
        await self.tell(configuration=self.make_configuration())


@contextlib.asynccontextmanager
async def open_fleet(folder, nodes_per_zone, seed):
    """Run a fleet until the block ends.

    Yields
    ------
    Fleet
    """
    fleet = Fleet(folder, nodes_per_zone, seed)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()
