"""Nodes of a small deployment, as processes of the deploy file."""

import asyncio
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

FRONT_PORT = 8227
READY_PORT = 8220
PEER_PORT = 7340
METRICS_PORT = 9464

BOUNDS = """
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
BackMs = 250
SkewMaxMs = 5000
StrictRevoke = true
RevokeMs = 5000
BudgetRatio = 0.2
BudgetWindowS = 10
BudgetExtra = 103
RecoveryS = 12
PassMs = 120
RetryAfterS = 0
StallMs = 4000
RequireFence = true
CeilingWindowS = 5
CeilingExcess = 1.1
"""


def find_network(count):
    """Find a loopback network whose first addresses are free.

    Returns
    -------
    list of str
        That many addresses.
    """
    numbers = list(range(20, 250))
    random.shuffle(numbers)
    for number in numbers:
        hosts = [f'127.{number}.0.{item + 1}' for item in range(count)]
        if all(_is_free(host) for host in hosts):
            return hosts
    raise OSError('no loopback network is free')


def _is_free(host):
    for port in (FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT):
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


class Node:
    """One node, on a loopback address of its own."""

    def __init__(self, name, zone, host, store, folder):
        self.name = name
        self.zone = zone
        self.host = host
        self._store = store
        self._folder = folder
        self.process = None

    def start(self):
        """Start the process, with the command of the deploy file."""
        path = self._folder / f'{self.name}.toml'
        path.write_text(self._make_settings(), encoding='utf-8')
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        )
        log = (self._folder / f'{self.name}.log').open('ab')
        with log:
            self.process = subprocess.Popen(
                shlex.split(deploy['roles']['entry']['run']),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'BALSAMWIND_BOOT': str(path),
                },
            )

    def _make_settings(self):
        return f"""NodeName = "{self.name}"
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = "{self.host}"
Zone = "{self.zone}"
Region = "r"
PortRange = [{PEER_PORT}, {PEER_PORT + 15}]
Bootstrap = true
HeartbeatMs = 1200
[Zones]
{self.zone} = "r"
[Listen]
Front = "{self.host}:{FRONT_PORT}"
Ready = "{self.host}:{READY_PORT}"
[Limits]
CpuShare = 0.537
CpuCores = 2
MemoryMb = 300
MaxFds = 4200
LinkMbps = 1000.0
[Tolerate]
Machines = 1
Zones = 1
Regions = 0
{BOUNDS}
[Platform]
Address = "{self._store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryTtlS = 20
ValueBytes = 1048576
MinTtlMs = 1000
"""

    def pause(self):
        """Freeze the machine."""
        self.process.send_signal(signal.SIGSTOP)

    def wake(self):
        """Let the machine go on."""
        self.process.send_signal(signal.SIGCONT)

    def end(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_until_ready(self, timeout):
        """Wait until the node says that it is ready; whether it does."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if await self._is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def _is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.host, READY_PORT
            )
            writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line
