"""A fault of one peer ends its own link only."""

import asyncio
import socket
import struct

import cbor2
import pytest
import structlog
import websockets
from websockets.asyncio import client as ws_client

from balsamwind import adapters
from balsamwind.adapters import _peer_link
from balsamwind import peers

MAX_WAIT = 10.0
HELLO = peers.encode_frame([peers.Hello('z', 'dc', 'i')])
HEARTBEAT = peers.Heartbeat(1, 0.0, False, {})


class RecordingReceiver:
    """Receiver that records messages and disconnections."""

    def __init__(self):
        self.messages = []
        self.disconnected = []

    def on_connect(self, hello):
        return [HEARTBEAT]

    def on_message(self, hello, message):
        self.messages.append((hello.node, message))

    def on_disconnect(self, hello):
        self.disconnected.append(hello.node)


def make_links(name, **options):
    receiver = RecordingReceiver()
    log = structlog.get_logger()
    hello = peers.Hello(name, 'dc', 'i')
    links = adapters.PeerLinks(hello, receiver, log, **options)
    return links, receiver


async def wait_for(check):
    async with asyncio.timeout(MAX_WAIT):
        while not check():
            await asyncio.sleep(0.01)


async def connect(links, first_frame=HELLO):
    connection = await ws_client.connect(
        f'ws://127.0.0.1:{links.port}/',
        compression=None,
        proxy=None,
        ping_interval=None,
        max_queue=1,
    )
    if first_frame is not None:
        await connection.send(first_frame)
    return connection


async def send_frame(connection, _links, data):
    await connection.send(data)


async def reset(connection, _links, _data):
    sock = connection.transport.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.transport.abort()


async def stay_silent(connection, links, data):
    if data is not None:
        await connection.send(data)
    await asyncio.sleep(0.3)
    links.abort_silent_links()


async def read_slowly(connection, links, _data):
    connection.transport.pause_reading()
    group_down = peers.GroupDown('g', 1, 'x' * 500_000)
    for _ in range(200):
        if 'z' not in links.connected:
            return
        links.send('z', group_down)
        await asyncio.sleep(0)
    raise AssertionError('the link to a slow peer was not aborted')


FAULTS = {
    'malformed': (send_frame, b'\xff\x00'),
    'text': (send_frame, 'text'),
    'bad value': (send_frame, cbor2.dumps([[4, [-1, 0.0, False, {}]]])),
    'oversized': (stay_silent, bytes(_peer_link.MAX_FRAME + 1)),
    'reset': (reset, None),
    'silence': (stay_silent, None),
    'slow reader': (read_slowly, None),
}


@pytest.mark.parametrize('fault', FAULTS)
def test_fault_of_a_peer_ends_only_its_link(fault):
    async def run():
        links, receiver = make_links('a', silence_timeout=0.2)
        other, other_receiver = make_links('b', silence_timeout=60.0)
        inject_fault, data = FAULTS[fault]
        async with links.listen('127.0.0.1:0'), other.listen('127.0.0.1:0'):
            links.connect_to('b', f'127.0.0.1:{other.port}')
            await wait_for(lambda: links.connected == ['b'])
            faulty_connection = await connect(links)
            await wait_for(lambda: links.connected == ['b', 'z'])
            heartbeat_task = asyncio.ensure_future(send_heartbeats(other))
            connection_errors = (websockets.WebSocketException, OSError)
            try:
                await inject_fault(faulty_connection, links, data)
            except connection_errors:
                pass
            await wait_for(lambda: 'z' not in links.connected)
            assert receiver.disconnected == ['z']
            assert links.connected == ['b']
            count = len(other_receiver.messages)
            links.broadcast(HEARTBEAT)
            await wait_for(lambda: len(other_receiver.messages) > count)
            heartbeat_task.cancel()
            faulty_connection.transport.abort()

    asyncio.run(run())


async def send_heartbeats(links):
    while True:
        links.broadcast(HEARTBEAT)
        await asyncio.sleep(0.02)


@pytest.mark.parametrize(
    'first_frame',
    [
        peers.encode_frame([HEARTBEAT]),
        peers.encode_frame([peers.Hello('a', 'dc', 'i')]),
        peers.encode_frame([peers.Hello('', 'dc', 'i')]),
        peers.encode_frame([]),
        b'\xff',
        'text',
        None,
    ],
)
def test_invalid_first_frame_opens_no_link(first_frame, monkeypatch):
    monkeypatch.setattr(_peer_link, 'OPEN_TIMEOUT', 0.2)

    async def run():
        links, receiver = make_links('a')
        async with links.listen('127.0.0.1:0'):
            connection = await connect(links, first_frame)
            async with asyncio.timeout(MAX_WAIT):
                with pytest.raises(websockets.ConnectionClosed):
                    while True:
                        await connection.recv()
            assert links.connected == []
            assert receiver.messages == receiver.disconnected == []

    asyncio.run(run())


def test_unknown_message_is_ignored():
    async def run():
        links, receiver = make_links('a')
        async with links.listen('127.0.0.1:0'):
            connection = await connect(links)
            await connection.send(cbor2.dumps([[99, []]]))
            await connection.send(peers.encode_frame([HEARTBEAT]))
            await wait_for(lambda: receiver.messages == [('z', HEARTBEAT)])
            assert links.connected == ['z']
            connection.transport.abort()

    asyncio.run(run())


def test_error_of_the_receiver_leads_to_a_reconnection(monkeypatch):
    monkeypatch.setattr(_peer_link, 'INITIAL_RECONNECT_DELAY', 0.01)

    async def run():
        links, receiver = make_links('a')
        other, other_receiver = make_links('b')
        remaining_failures = [1]

        def on_message(hello, message):
            if remaining_failures.pop() if remaining_failures else 0:
                raise RuntimeError('injected fault')
            receiver.messages.append(message)

        receiver.on_message = on_message
        async with links.listen('127.0.0.1:0'), other.listen('127.0.0.1:0'):
            links.connect_to('b', f'127.0.0.1:{other.port}')
            await wait_for(lambda: receiver.messages == [HEARTBEAT])
            assert receiver.disconnected == ['b']

    asyncio.run(run())
