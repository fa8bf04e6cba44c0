"""A node before a stand-in of the platform, on one loop."""

import asyncio
import contextlib
import time

from balsamwind import node
from balsamwind import platform
from standins import pool as pool_standin
from standins import ports

KEY = 'k1'
"""Key of the client account."""

MODEL = 'small'
"""Model of the pool, served by groups of two."""

CONFIGURATION = {
    'Version': 3,
    'Routes': [
        {
            'Name': 'ask',
            'Host': 'a.example',
            'PathPrefix': '/ask/',
            'Kind': 'streaming',
            'TimeoutMs': 4000,
            'SloMs': 300,
            'Service': 'llm',
            'MaxAttempts': 2,
            'Resumable': True,
        },
        {
            'Name': 'once',
            'Host': 'a.example',
            'PathPrefix': '/once/',
            'Kind': 'streaming',
            'TimeoutMs': 600,
            'SloMs': 300,
            'Service': 'llm',
            'MaxAttempts': 2,
        },
    ],
    'Services': [
        {
            'Name': 'llm',
            'Engine': {
                'SlotCount': 9,
                'Models': [
                    {
                        'Name': MODEL,
                        'size': 2,
                        'Share': 1.0,
                        'LoadS': 1.0,
                        'WarmS': 0.1,
                    }
                ],
                'LoadsPerS': 5.0,
                'FormMs': 10.0,
            },
        }
    ],
    'Tenants': [{'Name': 'acme', 'ApiKeys': [KEY]}],
}


def make_settings(name, store_port, stall=4.0, heartbeat=1.2, **values):
    """Settings of a node."""
    return node.NodeSettings(
        name=name,
        data_centre='z1',
        data_centres=('z1',),
        callers=f'127.0.0.1:{ports.find_free_port()}',
        readiness=f'127.0.0.1:{ports.find_free_port()}',
        metrics=f'127.0.0.1:{ports.find_free_port()}',
        news=f'127.0.0.1:{ports.find_free_port()}',
        store=f'127.0.0.1:{store_port}',
        first_start=True,
        bounds=node.Bounds(
            key_revocation=5.0,
            retry_extra=100.0,
            stall=stall,
            heartbeat=heartbeat,
        ),
        **values,
    )


@contextlib.asynccontextmanager
async def open_platform(engines=4, times=None):
    """Stand-in of the platform with engines of one domain."""
    outside = pool_standin.PoolPlatform(ports.find_free_port, times)
    outside.start()
    outside.store.put('config', 'main', CONFIGURATION)
    for number in range(engines):
        outside.add_engine(f'e{number}', 'llm', 'z1', 'd1')
    try:
        yield outside
    finally:
        await outside.stop()


@contextlib.asynccontextmanager
async def open_node(outside, name='n1'):
    """A node that serves from the stand-in's engines."""
    settings = make_settings(
        name,
        outside.store_port,
        outside.times.stall,
        outside.times.heartbeat or 1.2,
    )
    async with node.open_node(settings, platform.make_outside) as process:
        process.settings = settings
        yield process


async def wait_until(condition, timeout=10.0):
    """Wait until `condition` holds.

    Raises
    ------
    TimeoutError
        It does not hold within `timeout` seconds.
    """
    end = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(condition)
        await asyncio.sleep(0.01)


def count_open(outside):
    """Groups whose head is open (count)."""
    return sum(
        engine.group is not None and engine.group['State'] == 'open'
        for engine in outside.engines.values()
    )


def find_open(outside, but=None):
    """An engine that is the head of an open group, or None."""
    for engine in outside.engines.values():
        is_open = engine.group and engine.group['State'] == 'open'
        if is_open and engine is not but:
            return engine
    return None


def add_spare(outside):
    """Add an engine whose host holds the model."""
    spare = outside.add_engine('spare', 'llm', 'z1', 'd1')
    spare.staged = [MODEL]
    spare.write_entry()
    return spare


async def stop_leading(process):
    """Let a node lead no more, and give its leases back."""
    for task in process._leading:
        task.cancel()
    for leader in process._leaders:
        await leader.lease.release()


def find_served(process):
    """Places of groups that a node would send requests to."""
    service = process.book.find_service('llm')
    if service is None:
        return []
    return process.relay.places.of_service(service)


def count_served(process):
    """Groups that a node would send requests to (count)."""
    return len(find_served(process))


def make_request(path='/ask/x', request_id='r1', key=KEY, extra=''):
    """Bytes of a caller's request."""
    return (
        f'POST {path} HTTP/1.1\r\nHost: a.example\r\n'
        f'X-Balsamwind-Request-Id: {request_id}\r\n'
        f'X-Balsamwind-Model: {MODEL}\r\n'
        f'X-Balsamwind-Token-Usage: 100,50\r\n'
        f'Authorization: Token {key}\r\n{extra}'
        'Content-Length: 2\r\n\r\nhi'
    ).encode()


async def call(process, data):
    """Send bytes on a new connection; the whole answer up to its end."""
    host, port = process.settings.callers.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    answer = b''
    try:
        while not _is_whole(answer):
            chunk = await asyncio.wait_for(reader.read(65536), 8.0)
            if not chunk:
                break
            answer += chunk
    finally:
        writer.close()
    return answer


def _is_whole(answer):
    head, found, body = answer.partition(b'\r\n\r\n')
    if not found:
        return False
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            return len(body) >= int(line.split(b':')[1])
    return body.endswith(b'0\r\n\r\n')
