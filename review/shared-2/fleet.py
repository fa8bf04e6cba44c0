"""Nodes as real processes before a stand-in of the platform's store.

Everything listens on loopback addresses and runs on the real clock. The nodes
are started with the command of the deploy file.
"""

import argparse
import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DEPENDENCIES = ROOT / 'target' / 'deps'

for folder in (str(DEPENDENCIES), str(ROOT)):
    if folder not in sys.path:
        sys.path.insert(0, folder)

FRONT_PORT = 8227
READY_PORT = 8220
CONTROL_PORT = 8229
METRICS_PORT = 9464

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
    """The case could not run; says nothing of the system."""


class Record:
    """Writes what was sent, answered and run, with the time since start.

    Parameters
    ----------
    path : pathlib.Path
        The file, which is written anew.
    """

    def __init__(self, path):
        self._started_at = time.monotonic()
        self._file = open(path, 'w', encoding='utf-8')

    def write(self, text):
        """Write one line."""
        age = time.monotonic() - self._started_at
        self._file.write(f'{age:8.3f}  {text}\n')
        self._file.flush()

    def say(self, text):
        """Write one line, and print it."""
        self.write(text)
        print(text, flush=True)


def read_arguments():
    """Read what `run.sh` passes on."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--trouble', default='1')
    parser.add_argument('--record', type=pathlib.Path, required=True)
    return parser.parse_args()


def read_trouble():
    """Tell whether the disruption is to be made."""
    return read_arguments().trouble != '0'


def find_free_port(host='127.0.0.1'):
    """Return a port that nobody listens on."""
    with socket.socket() as found:
        found.bind((host, 0))
        return found.getsockname()[1]


def find_network(count):
    """Find loopback addresses on which the ports of a node are free.

    Returns
    -------
    list of str
    """
    numbers = list(range(20, 250))
    random.shuffle(numbers)
    for number in numbers:
        hosts = [f'127.{number}.7.{index + 1}' for index in range(count)]
        if all(_is_free(host) for host in hosts):
            return hosts
    raise CannotRun('no free loopback addresses')


def _is_free(host):
    ports = (FRONT_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT, 7340)
    for port in ports:
        with socket.socket() as found:
            try:
                found.bind((host, port))
            except OSError:
                return False
    return True


def _format_toml(value):
    if isinstance(value, dict):
        items = ', '.join(
            f'{json.dumps(key)} = {_format_toml(item)}'
            for key, item in value.items()
        )
        return f'{{ {items} }}'
    return json.dumps(value)


class Node:
    """One node, started with the command of the deploy file.

    Parameters
    ----------
    name, zone, host : str
        Name, zone and loopback address.
    store : str
        Address of the store, ``host:port``.
    folder : pathlib.Path
        Temporary folder for settings and log.
    zones : list of str
        All zones.
    bounds, limits : dict
        What differs from the defaults.
    """

    def __init__(
        self, name, zone, host, store, folder, zones, bounds=(), limits=()
    ):
        self.name = name
        self.zone = zone
        self.host = host
        self.folder = folder
        self.process = None
        self.descriptors = None
        self.bootstrap = True
        self.settings = {
            'NodeName': name,
            'Role': 'entry',
            'MachineClass': 'front',
            'Serves': ['front'],
            'Ip': host,
            'Zone': zone,
            'Region': 'r',
            'PortRange': [7340, 7355],
            'SeedAddrs': [],
            'InTolerance': False,
            'Discovery': 'platform',
            'Entry': 'vip',
            'HeartbeatMs': 1200,
            'Contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'retry',
                'recover',
                'engine',
                'stream',
                'tenants',
                'platform',
                'gangs',
            ],
            'Zones': dict.fromkeys(zones, 'r'),
            'Listen': {
                'Front': f'{host}:{FRONT_PORT}',
                'Ready': f'{host}:{READY_PORT}',
            },
            'Limits': {
                'CpuShare': 0.537,
                'CpuCores': 2,
                'MemoryMb': 300,
                'MaxFds': 4200,
                'LinkMbps': 1000.0,
                'DiskMb': 0,
                **dict(limits),
            },
            'Tolerate': {'Machines': 1, 'Zones': 1, 'Regions': 0},
            'Bounds': {**BOUNDS, **dict(bounds)},
            'Platform': {
                'Address': store,
                'form': 'objects',
                'WritesPerS': 400,
                'ReadsPerS': 2000,
                'HistoryTtlS': 20,
                'ValueBytes': 1048576,
                'MinTtlMs': 1000,
            },
        }

    @property
    def front(self):
        """Host and port for clients."""
        return self.host, FRONT_PORT

    @property
    def log_path(self):
        """Path of the log."""
        return self.folder / f'{self.name}.log'

    def start(self):
        """Write the settings, and start the process."""
        path = self.folder / f'{self.name}.toml'
        lines = [f'Bootstrap = {json.dumps(self.bootstrap)}']
        lines += [
            f'{key} = {_format_toml(value)}'
            for key, value in self.settings.items()
        ]
        path.write_text('\n'.join(lines) + '\n', encoding='utf-8')
        self.bootstrap = False
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        )
        command = deploy['roles']['entry']['run'].split()
        if self.descriptors is not None:
            # Of the shell, as the platform limits them for each process.
            command = [
                'sh',
                '-c',
                f'ulimit -n {self.descriptors}; exec "$@"',
                'sh',
                *command,
            ]
        kept = ('PATH', 'HOME', 'LANG')
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment['PYTHONPATH'] = str(DEPENDENCIES)
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['BALSAMWIND_BOOT'] = str(path)
        with open(self.log_path, 'ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, env=environment
            )

    def send_signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def wait_ready(self, timeout=20.0):
        """Wait until the node says that it is ready."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if await ask_ready(self) == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} did not become ready')


async def ask_ready(node, timeout=1.0):
    """Ask a node on a new connection; its status, or 0."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(
                node.host, READY_PORT
            )
            try:
                writer.write(
                    b'GET /v1/ready HTTP/1.1\r\nHost: r\r\n'
                    b'Connection: close\r\n\r\n'
                )
                line = await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0
    parts = line.split()
    return int(parts[1]) if len(parts) > 1 else 0


class Fleet:
    """Ends all that a case has started.

    Parameters
    ----------
    record_path : pathlib.Path
        File of the record.
    """

    def __init__(self, record_path):
        self.record = Record(record_path)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.nodes = []

    def add_node(self, *arguments, **values):
        """Make a node, which is not started yet."""
        node = Node(*arguments, **values)
        self.nodes.append(node)
        return node

    def close(self):
        """End all processes that this case has started."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        self._temporary.cleanup()


def run_case(folder, run, limit=115.0):
    """Run a case, and exit as the issue says.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case.
    run : callable
        Coroutine function that takes the `Fleet` and returns what broke the
        rule, as a list of str.
    limit : float
        Longest time (seconds).
    """
    fleet = Fleet(folder / read_arguments().record)

    async def run_limited():
        async with asyncio.timeout(limit):
            return await run(fleet)

    try:
        broken = asyncio.run(run_limited())
    except CannotRun as error:
        fleet.record.say(f'could not run: {error}')
        code = 2
    except TimeoutError:
        fleet.record.say('could not run: out of time')
        code = 2
    except Exception as error:
        traceback.print_exc()
        fleet.record.say(f'could not run: {error!r}')
        code = 2
    else:
        for text in broken:
            fleet.record.say(f'broken: {text}')
        if not broken:
            fleet.record.say('held')
        code = 1 if broken else 0
    finally:
        fleet.close()
    sys.exit(code)
