"""Processes of the soak test: platform stand-in, and nodes behind proxies."""

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
from standins import proxy as proxy_module

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

ZONES = ('z1', 'z2', 'z3')

ENGINES_PER_ZONE = 10
"""Number of engines in each data centre, which is one fabric domain."""

RESERVATION_PORT = 7399
"""Port that is bound while a soak test uses a loopback network."""

EVENTS_PER_STREAM = 16
"""Number of events in a complete stream."""

EVENT_INTERVAL = 0.03
"""Time between two events of a stream (seconds)."""

# Durations of the platform stand-in (seconds).
STANDIN_TIMES = {
    'quick_join': 0.1,
    'warm': 0.3,
    'load': 2.0,
    'form': 0.1,
    'stall': 4.0,
    'heartbeat': 0.6,
    'drain': 2.0,
}

# Section ``Bounds`` of each node's settings.
NODE_BOUNDS = {
    'DrainMs': 2000,
    'GraceS': 8,
    'StrictRevoke': True,
    'RevokeMs': int(_traffic.MAX_REVOCATION_DELAY * 1000),
    'BudgetRatio': 0.2,
    'BudgetWindowS': 10,
    'BudgetExtra': 60,
    'CeilingWindowS': 5,
    'CeilingExcess': 1.1,
    'StallMs': 4000,
}


def reserve_network():
    """Reserve a loopback network that no other soak test uses.

    Returns
    -------
    network : str
        First two bytes of its addresses, in dotted notation.
    lock : socket.socket
        Socket that reserves the network until it is closed.

    Raises
    ------
    OSError
        All loopback networks are reserved.
    """
    for number in range(20, 250):
        lock = socket.socket()
        try:
            lock.bind((f'127.{number}.255.1', RESERVATION_PORT))
        except OSError:
            lock.close()
            continue
        return f'127.{number}', lock
    raise OSError('all loopback networks from 127.20 to 127.249 are in use')


class Node:
    """One node with the proxy between it and the store.

    Parameters
    ----------
    name : str
        Name of the node.
    zone : str
        Data centre of the node.
    host : str
        Loopback address of the node.
    store_proxy : standins.proxy.FaultProxy
        Proxy through which the node reaches the store.
    folder : pathlib.Path
        Directory for the settings file and the log.
    builds : dict of str to pathlib.Path
        Directory of the program of each build, by the build's name.

    Attributes
    ----------
    process : subprocess.Popen or None
        Latest process of the node.
    pause_count : int
        Number of pauses injected so far.
    disturbed_until : float
        Monotonic time up to which faults affect the node (seconds).
    restart_lock : asyncio.Lock
        Serialises restarts of the node.
    settings : dict
        Settings that change between starts.
    stops : list of list of float
        Monotonic times of each SIGTERM and of the exit that followed
        (seconds).
    build : str
        Build of the latest process.
    next_build : str
        Build of the next process.
    start_count : int
        Number of starts.
    """

    __slots__ = (
        '_builds',
        '_folder',
        'build',
        'disturbed_until',
        'host',
        'name',
        'next_build',
        'pause_count',
        'process',
        'restart_lock',
        'settings',
        'start_count',
        'stops',
        'store_proxy',
        'zone',
    )

    def __init__(self, name, zone, host, store_proxy, folder, builds):
        self.name = name
        self.zone = zone
        self.host = host
        self.store_proxy = store_proxy
        self._folder = folder
        self.process = None
        self.pause_count = 0
        self.disturbed_until = float('-inf')
        self.restart_lock = asyncio.Lock()
        self.settings = {
            'first_start': True,
            'extra': 60,
            'heartbeat': STANDIN_TIMES['heartbeat'],
        }
        self.stops = []
        self._builds = builds
        self.build = self.next_build = next(iter(builds))
        self.start_count = 0

    @property
    def log_path(self):
        """Path of the log file."""
        return self._folder / f'{self.name}.log'

    def mark_disturbed(self, seconds=0.0):
        """Mark the node as affected by a fault.

        Parameters
        ----------
        seconds : float, default=0.0
            Time from now on for which the fault affects the node (seconds).
        """
        until = time.monotonic() + seconds
        self.disturbed_until = max(self.disturbed_until, until)

    def write_settings(self):
        """Write the settings file.

        Returns
        -------
        pathlib.Path
            Path of the settings file.
        """
        lines = [
            f'NodeName = "{self.name}"',
            f'Zone = "{self.zone}"',
            f'Ip = "{self.host}"',
            'PortRange = [7340, 7355]',
            f'HeartbeatMs = {int(self.settings["heartbeat"] * 1000)}',
            f'Bootstrap = {str(self.settings["first_start"]).lower()}',
            '[Zones]',
            *(f'{zone} = "r"' for zone in ZONES),
            '[Listen]',
            f'Front = "{self.host}:8227"',
            f'Ready = "{self.host}:8220"',
            '[Platform]',
            f'Address = "{self.store_proxy.address}"',
            '[Bounds]',
        ]
        bounds = {**NODE_BOUNDS, 'BudgetExtra': self.settings['extra']}
        for name, value in bounds.items():
            lines.append(f'{name} = {json.dumps(value)}')
        path = self._folder / f'{self.name}.toml'
        path.write_text('\n'.join(lines) + '\n', encoding='utf-8')
        return path

    def start(self):
        """Write the settings file and start the process of the node."""
        path = self.write_settings()
        self.settings['first_start'] = False
        self.build = self.next_build
        self.start_count += 1
        with open(self.log_path, 'ab') as log:
            # Says which build has written the lines that follow.
            line = {'event': 'build_started', 'build': self.build}
            log.write(json.dumps(line).encode('ascii') + b'\n')
            log.flush()
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'balsamwind', 'entry'],
                cwd=self._builds[self.build],
                stdout=log,
                stderr=log,
                env={**os.environ, 'BALSAMWIND_BOOT': str(path)},
            )

    async def wait_until_exited(self, timeout=20.0):
        """Wait until the process of the node has exited.

        Parameters
        ----------
        timeout : float, default=20.0
            Longest time to wait (seconds).

        Raises
        ------
        TimeoutError
            The process is still running after `timeout`.
        """
        process = self.process
        deadline = time.monotonic() + timeout
        while process.poll() is None:
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f'{self.name} did not exit before the timeout'
                )
            await asyncio.sleep(0.02)


class Fleet:
    """All processes of a soak test.

    Parameters
    ----------
    folder : pathlib.Path
        Directory for settings files and logs.
    nodes_per_zone : int
        Number of nodes in each data centre.
    seed : int
        Seed of the stand-in's random numbers.
    builds : dict of str to pathlib.Path
        Directory of the program of each build; nodes start with the first.
    engines_per_zone : int, default=10
        Number of engines in each data centre.
    heartbeat : float, default=0.6
        Time between two heartbeats of a server (seconds).
    event_interval : float, default=0.03
        Time between two events of a stream (seconds).

    Attributes
    ----------
    store_port : int
        Port of the store on 127.0.0.1.
    admin_port : int
        Port of the stand-in's admin interface on 127.0.0.1.
    nodes : list of Node
        All nodes.
    proxies : dict of str to standins.proxy.FaultProxy
        Proxy in front of each engine and backend server, by its id.
    version : int
        Latest version of the configuration.
    configured_keys : dict of str to list of str
        API keys in the configuration, by client account.
    client_keys : dict of str to list of str
        API keys that callers use, by client account. A new key is added
        only after nodes have had time to apply it.
    revoked_keys : list of (str, str)
        Client account and API key of each revocation.
    are_routes_moved : bool
        Whether the routes of the ``ledger`` service lead to ``books``.
    idle_timeout, route_timeout : float
        Timeouts in the configuration (seconds).
    """

    def __init__(
        self,
        folder,
        nodes_per_zone,
        seed,
        builds,
        engines_per_zone=ENGINES_PER_ZONE,
        heartbeat=STANDIN_TIMES['heartbeat'],
        event_interval=EVENT_INTERVAL,
    ):
        self._folder = folder
        self._seed = seed
        self._platform = None
        network, self._network_lock = reserve_network()
        engine_count = len(ZONES) * engines_per_zone
        server_count = engine_count + 2 * len(ZONES)
        ports = iter(
            ports_module.find_free_ports(
                3 + len(ZONES) * nodes_per_zone + 2 * server_count
            )
        )
        self.store_port = next(ports)
        self.admin_port = next(ports)
        self.proxies = {}
        self.engines = {}
        self.services = {}
        engine_entries = []
        for zone in ZONES:
            for number in range(engines_per_zone):
                name = f'{zone}-e{number}'
                engine_entries.append(
                    self._add_server(name, 'llm', zone, ports)
                )
                engine_entries[-1]['domain'] = f'{zone}-d'
        self._engine_entries = engine_entries
        self._service_entries = [
            self._add_server(f'{zone}-{service}', service, zone, ports)
            for zone in ZONES
            for service in ('ledger', 'books')
        ]
        self.nodes = [
            Node(
                f'node-{zone}-{number}',
                zone,
                f'{network}.{index}.{number + 1}',
                proxy_module.FaultProxy(
                    next(ports), f'127.0.0.1:{self.store_port}'
                ),
                folder,
                builds,
            )
            for index, zone in enumerate(ZONES)
            for number in range(nodes_per_zone)
        ]
        self._heartbeat = heartbeat
        self._event_interval = event_interval
        for node in self.nodes:
            node.settings['heartbeat'] = heartbeat
        self.version = 1
        # Callers start to use a key later than the configuration holds it.
        self.configured_keys = {'acme': ['key-a'], 'bolt': ['key-b', 'key-c']}
        self.client_keys = {
            name: list(account_keys)
            for name, account_keys in self.configured_keys.items()
        }
        self.revoked_keys = []
        self.are_routes_moved = False
        self.idle_timeout = _traffic.IDLE_TIMEOUT
        self.route_timeout = _traffic.ROUTE_TIMEOUT

    def _add_server(self, name, service, zone, ports):
        port = next(ports)
        self.proxies[name] = proxy_module.FaultProxy(
            next(ports), f'127.0.0.1:{port}'
        )
        return {
            'server_id': name,
            'service': service,
            'zone': zone,
            'port': port,
            'address': self.proxies[name].address,
        }

    @property
    def extra_stream_time(self):
        """Time by which streams last longer than by default (seconds)."""
        return EVENTS_PER_STREAM * (self._event_interval - EVENT_INTERVAL)

    @property
    def engine_names(self):
        """Ids of all engines, as a list."""
        return [row['server_id'] for row in self._engine_entries]

    @property
    def service_names(self):
        """Ids of all backend servers other than engines, as a list."""
        return [row['server_id'] for row in self._service_entries]

    async def start(self):
        """Start the platform stand-in, the proxies and the nodes."""
        plan = {
            'store_port': self.store_port,
            'admin_port': self.admin_port,
            'times': {**STANDIN_TIMES, 'heartbeat': self._heartbeat},
            'configuration': self.make_configuration(),
            'engines': self._engine_entries,
            'services': self._service_entries,
            'events': EVENTS_PER_STREAM,
            'pause': self._event_interval,
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
        for proxy in (
            *self.proxies.values(),
            *(n.store_proxy for n in self.nodes),
        ):
            await proxy.start()
        await self._wait_for_platform()
        for node in self.nodes:
            node.start()

    async def _wait_for_platform(self):
        deadline = time.monotonic() + conditions.WAIT_TIMEOUT
        while True:
            try:
                return await self.fetch_records()
            except OSError:
                if time.monotonic() > deadline:
                    raise
                await asyncio.sleep(0.1)

    async def stop(self):
        """Kill all processes that this fleet has started."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
            node.store_proxy.stop()
        for proxy in self.proxies.values():
            proxy.stop()
        if self._platform is not None:
            self._platform.kill()
            self._platform.wait()
        self._network_lock.close()

    @property
    def has_platform_exited(self):
        """Whether the platform stand-in has exited."""
        return self._platform.poll() is not None

    async def fetch_records(self, first_run=0, first_arrival=0):
        """Fetch what the platform stand-in has recorded.

        Parameters
        ----------
        first_run : int, default=0
            Index of the first run to fetch.
        first_arrival : int, default=0
            Index of the first arrival to fetch.

        Returns
        -------
        dict
            Runs, arrivals and violations, and the states of the groups.
        """
        url = (
            f'http://127.0.0.1:{self.admin_port}/'
            f'?runs={first_run}&arrivals={first_arrival}'
        )
        return await asyncio.to_thread(conditions.get_json, url)

    async def send_command(self, **command):
        """Send a command to the platform stand-in.

        Parameters
        ----------
        **command : dict
            The command; it injects a fault, clears one or replaces the
            configuration.
        """
        url = f'http://127.0.0.1:{self.admin_port}/'
        await asyncio.to_thread(conditions.post_json, url, command)

    def make_configuration(self):
        """Make the current version of the configuration.

        Returns
        -------
        dict
            The configuration as the store holds it.
        """
        return _traffic.make_configuration(
            self.version,
            self.configured_keys,
            self.are_routes_moved,
            self.idle_timeout,
            self.route_timeout,
        )

    async def write_configuration(self):
        """Write a new version of the configuration to the store."""
        self.version += 1
        await self.send_command(configuration=self.make_configuration())


@contextlib.asynccontextmanager
async def open_fleet(folder, nodes_per_zone, seed, builds=None, **options):
    """Run a fleet for the duration of an ``async with`` block.

    Parameters
    ----------
    folder : pathlib.Path
        Directory for settings files and logs.
    nodes_per_zone : int
        Number of nodes in each data centre.
    seed : int
        Seed of the stand-in's random numbers.
    builds : dict of str to pathlib.Path, optional
        Directory of the program of each build; nodes start with the first.
        Without it, all nodes run this one.
    **options : dict
        Further parameters of `Fleet`.

    Yields
    ------
    Fleet
        The fleet; its processes have been started.
    """
    fleet = Fleet(
        folder, nodes_per_zone, seed, builds or {'new': ROOT}, **options
    )
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()
