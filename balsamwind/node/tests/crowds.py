"""A node in a process of its own, and clients that keep to no rule."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import subprocess
import sys
import threading
import time

from balsamwind.node.tests import helpers

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent.parent

CALLERS_PORT = 8227
"""Port for the requests of callers."""

PAGE_PORTS = {'readiness': 8220, 'metrics': 9464}
"""Ports of the pages for operators, by their names."""

MAX_MEMORY = 120
"""Memory of the node's machine, as its settings state it (MB)."""

MAX_DESCRIPTORS = 300
"""Descriptors of the node, as its settings state it (count)."""

MAX_BODY = 1 << 20
"""Largest body that clients may send (bytes)."""

CROWD = 150
"""Clients at the same time (count)."""

STAY_TIME = 4.0
"""Time for which clients that stop short stay (seconds)."""

SAMPLE_INTERVAL = 0.02
"""Time between two looks at the process (seconds)."""

CONFIGURATION = {
    'Version': 1,
    'Routes': [
        {
            'Name': 'once',
            'Host': 'a.example',
            'PathPrefix': '/once/',
            'Kind': 'non_idempotent',
            'TimeoutMs': 8000,
            'SloMs': 500,
            'Service': 'ledger',
            'MaxAttempts': 1,
        },
        {
            'Name': 'balance',
            'Host': 'a.example',
            'PathPrefix': '/balance/',
            'Kind': 'idempotent',
            'TimeoutMs': 8000,
            'SloMs': 500,
            'Service': 'ledger',
            'MaxAttempts': 2,
        },
    ],
    'Services': [{'Name': 'ledger'}],
    'Tenants': [{'Name': 'acme', 'ApiKeys': [helpers.KEY]}],
    'Limits': {'MaxBodyBytes': MAX_BODY},
}


@dataclasses.dataclass(slots=True)
class Usage:
    """What the process has used at most.

    Parameters
    ----------
    memory : float
        Resident memory (MB).
    descriptors : int
        Open descriptors (count).
    """

    memory: float = 0.0
    descriptors: int = 0


class NodeProcess:
    """A node in a process of its own.

    Parameters
    ----------
    host : str
        Loopback address of the node.
    process : subprocess.Popen
        The process.

    Attributes
    ----------
    usage : Usage
        What it has used at most so far.
    """

    def __init__(self, host, process):
        self.host = host
        self._process = process
        self.usage = Usage()

    @property
    def is_alive(self):
        """Whether the process runs."""
        return self._process.poll() is None

    def watch(self, ended):
        """Look at the process until the event is set."""
        while not ended.wait(SAMPLE_INTERVAL) and self.is_alive:
            with contextlib.suppress(OSError):
                self._look()

    def _look(self):
        folder = pathlib.Path(f'/proc/{self._process.pid}')
        for line in (folder / 'status').read_text().splitlines():
            if line.startswith('VmHWM:'):
                self.usage.memory = int(line.split()[1]) / 1024
        count = len(os.listdir(folder / 'fd'))
        self.usage.descriptors = max(self.usage.descriptors, count)

    async def connect(self, port=CALLERS_PORT):
        """Open a connection of a client."""
        return await asyncio.open_connection(self.host, port)

    async def send(self, data):
        """Send bytes on a new connection; return the answer's status, or 0."""
        try:
            reader, writer = await self.connect()
        except OSError:
            return 0
        try:
            writer.write(data)
            async with asyncio.timeout(10.0):
                line = await reader.readline()
            return int(line.split()[1]) if line else 0
        except (OSError, TimeoutError):
            return 0
        finally:
            writer.close()

    async def send_ordinary(self, path='/balance/x'):
        """Send one ordinary request; return the status, or 0."""
        return await self.send(make_head(path, 'Content-Length: 2') + b'hi')


def make_head(path, framing):
    """Make the head of a request, with the line that frames its body."""
    return (
        f'POST {path} HTTP/1.1\r\nHost: a.example\r\n'
        f'X-Balsamwind-Request-Id: r{time.monotonic_ns()}\r\n'
        f'Authorization: Token {helpers.KEY}\r\n{framing}\r\n\r\n'
    ).encode()


def _write_settings(folder, host, store_port):
    lines = [
        'NodeName = "n1"',
        'Zone = "z1"',
        f'Ip = "{host}"',
        'PortRange = [7340, 7355]',
        'HeartbeatMs = 1200',
        'Bootstrap = true',
        '[Zones]',
        'z1 = "r"',
        '[Listen]',
        f'Front = "{host}:{CALLERS_PORT}"',
        f'Ready = "{host}:8220"',
        '[Limits]',
        f'MemoryMb = {MAX_MEMORY}',
        f'MaxFds = {MAX_DESCRIPTORS}',
        '[Platform]',
        f'Address = "127.0.0.1:{store_port}"',
        '[Bounds]',
        'StallMs = 4000',
    ]
    path = folder / 'n1.toml'
    path.write_text('\n'.join(lines) + '\n', encoding='utf-8')
    return path


@contextlib.asynccontextmanager
async def open_node_process(folder, processing_time=0.0, address=None):
    """Run a node in a process of its own, and the platform in this one.

    Parameters
    ----------
    folder : pathlib.Path
        Directory for the settings file and the log.
    processing_time : float, default=0.0
        Time that the plain server takes for a request (seconds).
    address : str or None
        Address of another server that takes its place, ``host:port``.

    Yields
    ------
    (NodeProcess, FakePlatform)
    """
    host = f'127.{os.getpid() % 200 + 30}.{os.getpid() // 200 % 250}.1'
    async with helpers.open_platform(0) as fake_platform:
        fake_platform.store.put('config', 'main', CONFIGURATION)
        server = fake_platform.add_service(
            's0', 'ledger', 'z1', address=address
        )
        server.processing_time = processing_time
        path = _write_settings(folder, host, fake_platform.store_port)
        with open(folder / 'n1.log', 'wb') as log:
            process = subprocess.Popen(
                [sys.executable, '-m', 'balsamwind', 'entry'],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, 'BALSAMWIND_BOOT': str(path)},
            )
        node = NodeProcess(host, process)
        ended = threading.Event()
        watcher = threading.Thread(target=node.watch, args=(ended,))
        watcher.start()
        try:
            async with asyncio.timeout(20.0):
                while await node.send_ordinary() != 200:
                    await asyncio.sleep(0.1)
            yield node, fake_platform
        finally:
            ended.set()
            watcher.join()
            process.terminate()
            try:
                await asyncio.to_thread(process.wait, 15.0)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


async def _write(writer, data, piece=1 << 16):
    for start in range(0, len(data), piece):
        writer.write(data[start : start + piece])
        await writer.drain()


async def _stay(reader):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(STAY_TIME):
            await reader.read()


async def _run_client(node, play, port):
    """Play one client; what becomes of it does not matter."""
    with contextlib.suppress(OSError):
        reader, writer = await node.connect(port)
        try:
            await play(reader, writer)
        finally:
            writer.close()


async def run_crowd(node, play, count=CROWD, port=CALLERS_PORT):
    """Play clients at the same time.

    Parameters
    ----------
    node : NodeProcess
        The node.
    play : callable
        Coroutine function that plays one client on a stream reader and a
        stream writer.
    count : int, default=CROWD
        Clients (count).
    port : int
        Port of the node that they turn to.
    """
    await asyncio.gather(
        *(_run_client(node, play, port) for _ in range(count))
    )


def make_chunk(data):
    """Make one chunk of a body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


LENGTH = f'Content-Length: {MAX_BODY}'
CHUNKED = 'Transfer-Encoding: chunked'
PIECE = b'x' * (1 << 16)
BODY = b'x' * MAX_BODY


async def stop_before_the_last_byte(reader, writer):
    await _write(writer, make_head('/balance/x', LENGTH) + BODY[1:])
    await _stay(reader)


async def send_whole_bodies(reader, writer):
    await _write(writer, make_head('/balance/x', LENGTH) + BODY)
    await _stay(reader)


async def stop_before_the_last_chunk(reader, writer):
    await _write(writer, make_head('/balance/x', CHUNKED))
    for _ in range(MAX_BODY // len(PIECE) - 1):
        await _write(writer, make_chunk(PIECE))
    await _stay(reader)


async def send_far_too_much(reader, writer):
    await _write(writer, make_head('/balance/x', CHUNKED))
    for _ in range(8 * MAX_BODY // len(PIECE)):
        await _write(writer, make_chunk(PIECE))
    await _stay(reader)


async def announce_too_much(reader, writer):
    head = make_head('/balance/x', f'Content-Length: {64 * MAX_BODY}')
    await _write(writer, head + BODY)
    await _stay(reader)


async def drip_the_end(reader, writer):
    await _write(writer, make_head('/balance/x', LENGTH) + BODY[100:])
    for _ in range(int(STAY_TIME / 0.2)):
        await _write(writer, b'x')
        await asyncio.sleep(0.2)


async def send_tiny_chunks(reader, writer):
    await _write(writer, make_head('/balance/x', CHUNKED))
    for _ in range(100):
        await _write(writer, make_chunk(b'x') * 200)
    await _stay(reader)


async def leave_the_head_open(reader, writer):
    head = make_head('/balance/x', LENGTH)[:-4]
    await _write(writer, head + b'\r\nX-A: ' + b'x' * 12000)
    await _stay(reader)


HEAD = b'HTTP/1.1 200 OK\r\n'
STAMP = b'X-Balsamwind-Response-Stamp: s0\r\n'
CHUNKED_ANSWER = b'Transfer-Encoding: chunked\r\n\r\n'
LONG_ANSWER = b'Content-Length: 1099511627776\r\n\r\n'

ENDLESS_ANSWERS = {
    'status line': (b'HTTP/1.1 200 ', PIECE),
    'head lines': (HEAD, b'X-A: b\r\n' * 4096),
    'value of a head line': (HEAD + b'X-A: ', PIECE),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 2000),
    'size of a chunk': (HEAD + STAMP + CHUNKED_ANSWER, b'0' * (1 << 16)),
    'chunks without a stamp': (HEAD + CHUNKED_ANSWER, make_chunk(PIECE)),
    'body without a stamp': (HEAD + LONG_ANSWER, PIECE),
    'body until the close': (HEAD + b'\r\n', PIECE),
    'failure': (b'HTTP/1.1 500 X\r\n' + STAMP + LONG_ANSWER, PIECE),
    'refusal': (
        b'HTTP/1.1 503 X\r\nX-Balsamwind-Not-Executed: 1\r\n' + CHUNKED_ANSWER,
        make_chunk(PIECE),
    ),
    'body that nobody reads': (
        HEAD + STAMP + CHUNKED_ANSWER,
        make_chunk(PIECE),
    ),
}
"""What a faulty server sends first, and then without end."""


@contextlib.asynccontextmanager
async def open_endless_server(begin, rest):
    """Run a server that answers requests below ``/once/`` without end.

    Yields
    ------
    str
        Its address.
    """

    async def handle(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await reader.readexactly(2)
                if b'/once/' in head:
                    await _write_without_end(writer, begin, rest)
                writer.write(_make_answer(head))
        writer.close()

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    async with server:
        yield '{}:{}'.format(*server.sockets[0].getsockname())


async def _write_without_end(writer, begin, rest):
    writer.write(begin)
    while True:
        writer.write(rest)
        await writer.drain()


def _make_answer(head):
    (own_id,) = (
        line
        for line in head.split(b'\r\n')
        if line.lower().startswith(b'x-balsamwind-request-id:')
    )
    return HEAD + STAMP + own_id + b'\r\nContent-Length: 2\r\n\r\nok'


async def ask_without_reading(reader, writer):
    """Send a request that the faulty server answers, and read little of it."""
    writer.transport.pause_reading()
    await _write(writer, make_head('/once/x', 'Content-Length: 2') + b'hi')
    await asyncio.sleep(STAY_TIME)
