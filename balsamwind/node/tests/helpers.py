"""Helpers that run nodes against a fake platform in one event loop."""

import asyncio
import contextlib
import time

from balsamwind import node
from balsamwind import platform
from standins import pool as pool_standin
from standins import ports

KEY = 'k1'
"""API key of the client account."""

MODEL = 'small'
"""Model of the service, whose groups have two members."""

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


def make_settings(
    name,
    store_port,
    stall=4.0,
    heartbeat=1.2,
    data_centre='z1',
    data_centres=('z1',),
    evacuation=None,
    first_start=True,
    **values,
):
    """Make the settings of a node that listens on free ports."""
    return node.NodeSettings(
        name=name,
        data_centre=data_centre,
        data_centres=data_centres,
        callers=f'127.0.0.1:{ports.find_free_port()}',
        readiness=f'127.0.0.1:{ports.find_free_port()}',
        metrics=f'127.0.0.1:{ports.find_free_port()}',
        news=f'127.0.0.1:{ports.find_free_port()}',
        store=f'127.0.0.1:{store_port}',
        first_start=first_start,
        bounds=node.Bounds(
            key_revocation=5.0,
            retry_extra=100.0,
            stall=stall,
            heartbeat=heartbeat,
            evacuation=evacuation,
        ),
        **values,
    )


@contextlib.asynccontextmanager
async def open_platform(engines=4, times=None):
    """Run a fake platform with engines of one domain until the block ends."""
    fake_platform = pool_standin.FakePlatform(ports.find_free_port, times)
    fake_platform.start()
    fake_platform.store.put('config', 'main', CONFIGURATION)
    for number in range(engines):
        fake_platform.add_engine(f'e{number}', 'llm', 'z1', 'd1')
    try:
        yield fake_platform
    finally:
        await fake_platform.stop()


@contextlib.asynccontextmanager
async def open_node(fake_platform, name='n1', **values):
    """Run a node against the fake platform until the block ends."""
    settings = make_settings(
        name,
        fake_platform.store_port,
        fake_platform.times.stall,
        fake_platform.times.heartbeat or 1.2,
        **values,
    )
    async with node.open_node(
        settings, platform.make_platform_client
    ) as process:
        process.settings = settings
        yield process


@contextlib.asynccontextmanager
async def open_fleet(
    placement, engines=0, servers=0, configuration=CONFIGURATION, **values
):
    """Run nodes, engines and plain servers until the block ends.

    Parameters
    ----------
    placement : iterable of (str, str)
        Name and data centre of each node. Engines and servers are spread over
        these data centres.
    engines : int
        Engines, of which all groups serve when the block begins (count).
    servers : int
        Servers of the plain service ``ledger`` (count).
    configuration : dict
        Configuration that the operator has written.
    **values : object
        Further settings of the nodes, see `make_settings`.

    Yields
    ------
    (FakePlatform, list of Process)
    """
    data_centres = tuple(sorted({place for _, place in placement}))
    async with (
        open_platform(0) as fake_platform,
        contextlib.AsyncExitStack() as stack,
    ):
        fake_platform.store.put('config', 'main', configuration)
        for number in range(engines):
            place = data_centres[number % len(data_centres)]
            fake_platform.add_engine(f'e{number}', 'llm', place, f'd{place}')
        for number in range(servers):
            place = data_centres[number % len(data_centres)]
            fake_platform.add_service(f's{number}', 'ledger', place)
        nodes = [
            await stack.enter_async_context(
                open_node(
                    fake_platform,
                    name,
                    data_centre=place,
                    data_centres=data_centres,
                    **values,
                )
            )
            for name, place in placement
        ]
        for process in nodes:
            await wait_until(
                lambda process=process: is_serving(process, engines, servers)
            )
        yield fake_platform, nodes


def is_serving(process, engines, servers):
    """Tell whether a node would use all groups and plain servers."""
    if count_serving_groups(process) != engines // 2:
        return False
    ledger = process.configuration_cache.find_service('ledger')
    if ledger is None:
        return not servers
    return len(process.relay.backends.get_by_service(ledger)) == servers


async def wait_until(condition, timeout=10.0):
    """Wait until `condition` returns a true value.

    Raises
    ------
    TimeoutError
        It does not within `timeout` seconds.
    """
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(condition)
        await asyncio.sleep(0.01)


def count_open_groups(fake_platform):
    """Count the groups whose head is open."""
    return sum(
        engine.group is not None and engine.group['State'] == 'open'
        for engine in fake_platform.engines.values()
    )


def find_open_head(fake_platform, excluding=None):
    """Return an engine that is the head of an open group, or None."""
    for engine in fake_platform.engines.values():
        is_open = engine.group and engine.group['State'] == 'open'
        if is_open and engine is not excluding:
            return engine
    return None


def add_spare_engine(fake_platform):
    """Add an engine whose host already holds the model."""
    spare = fake_platform.add_engine('spare', 'llm', 'z1', 'd1')
    spare.staged = [MODEL]
    spare.write_entry()
    return spare


async def stop_leading(process):
    """Stop the leaders of a node, and release its leases."""
    for task in process._leader_tasks:
        task.cancel()
    for leader in process._leaders:
        await leader.lease.release()


def find_serving_backends(process):
    """Return the backends of the groups that a node would send requests to."""
    service = process.configuration_cache.find_service('llm')
    if service is None:
        return []
    return process.relay.backends.get_by_service(service)


def count_serving_groups(process):
    """Count the groups that a node would send requests to."""
    return len(find_serving_backends(process))


def make_request(path='/ask/x', request_id='r1', key=KEY, extra=''):
    """Make the bytes of a caller's request."""
    return (
        f'POST {path} HTTP/1.1\r\nHost: a.example\r\n'
        f'X-Balsamwind-Request-Id: {request_id}\r\n'
        f'X-Balsamwind-Model: {MODEL}\r\n'
        f'X-Balsamwind-Token-Usage: 100,50\r\n'
        f'Authorization: Token {key}\r\n{extra}'
        'Content-Length: 2\r\n\r\nhi'
    ).encode()


async def send_request(process, data):
    """Send a request on a new connection and return the whole response."""
    host, port = process.settings.callers.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    answer = b''
    try:
        while not _is_complete(answer):
            chunk = await asyncio.wait_for(reader.read(65536), 8.0)
            if not chunk:
                break
            answer += chunk
    finally:
        writer.close()
    return answer


def _is_complete(answer):
    head, separator, body = answer.partition(b'\r\n\r\n')
    if not separator:
        return False
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            return len(body) >= int(line.split(b':')[1])
    return body.endswith(b'0\r\n\r\n')
