"""Whatever a peer does ends its own link only."""

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

WAIT = 10.0
HELLO = peers.encode_frame([peers.Hello('z', 'dc', 'i')])
BEAT = peers.Heartbeat(1, 0.0, False, {})


class Receiver:
    """Notes what it is told."""

    def __init__(self):
        self.seen = []
        self.gone = []

    def on_connect(self, hello):
        return [BEAT]

    def on_message(self, hello, message):
        self.seen.append((hello.node, message))

    def on_disconnect(self, hello):
        self.gone.append(hello.node)


def make_links(name, **options):
    receiver = Receiver()
    log = structlog.get_logger()
    hello = peers.Hello(name, 'dc', 'i')
    links = adapters.PeerLinks(hello, receiver, log, **options)
    return links, receiver


async def wait_for(check):
    async with asyncio.timeout(WAIT):
        while not check():
            await asyncio.sleep(0.01)


async def connect(links, first=HELLO):
    connection = await ws_client.connect(
        f'ws://127.0.0.1:{links.port}/',
        compression=None,
        proxy=None,
        ping_interval=None,
        max_queue=1,
    )
    if first is not None:
        await connection.send(first)
    return connection


async def send_frame(connection, _links, data):
    await connection.send(data)


async def reset(connection, _links, _data):
    raw = connection.transport.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.transport.abort()


async def go_silent(connection, links, data):
    if data is not None:
        await connection.send(data)
    await asyncio.sleep(0.3)
    links.close_silent()


async def read_slowly(connection, links, _data):
    connection.transport.pause_reading()
    row = peers.GroupDown('g', 1, 'x' * 500_000)
    for _ in range(200):
        if 'z' not in links.connected:
            return
        links.send('z', row)
        await asyncio.sleep(0)
    raise AssertionError('a slow peer was never ended')


FAULTS = {
    'malformed': (send_frame, b'\xff\x00'),
    'text': (send_frame, 'text'),
    'bad value': (send_frame, cbor2.dumps([[4, [-1, 0.0, False, {}]]])),
    'oversized': (go_silent, bytes(_peer_link.MAX_FRAME + 1)),
    'reset': (reset, None),
    'silence': (go_silent, None),
    'slow reader': (read_slowly, None),
}


@pytest.mark.parametrize('fault', FAULTS)
def test_fault_ends_only_its_link(fault):
    async def run():
        links, receiver = make_links('a', max_silence=0.2)
        other, heard = make_links('b', max_silence=60.0)
        act, data = FAULTS[fault]
        async with links.listen('127.0.0.1:0'), other.listen('127.0.0.1:0'):
            links.reach('b', f'127.0.0.1:{other.port}')
            await wait_for(lambda: links.connected == ['b'])
            bad = await connect(links)
            await wait_for(lambda: links.connected == ['b', 'z'])
            alive = asyncio.ensure_future(keep_alive(other))
            with_reset = (websockets.WebSocketException, OSError)
            try:
                await act(bad, links, data)
            except with_reset:
                pass
            await wait_for(lambda: 'z' not in links.connected)
            assert receiver.gone == ['z']
            assert links.connected == ['b']
            count = len(heard.seen)
            links.broadcast(BEAT)
            await wait_for(lambda: len(heard.seen) > count)
            alive.cancel()
            bad.transport.abort()

    asyncio.run(run())


async def keep_alive(links):
    while True:
        links.broadcast(BEAT)
        await asyncio.sleep(0.02)


@pytest.mark.parametrize(
    'first',
    [
        peers.encode_frame([BEAT]),
        peers.encode_frame([peers.Hello('a', 'dc', 'i')]),
        peers.encode_frame([peers.Hello('', 'dc', 'i')]),
        peers.encode_frame([]),
        b'\xff',
        'text',
        None,
    ],
)
def test_wrong_first_message_opens_no_link(first, monkeypatch):
    monkeypatch.setattr(_peer_link, 'OPEN_TIMEOUT', 0.2)

    async def run():
        links, receiver = make_links('a')
        async with links.listen('127.0.0.1:0'):
            connection = await connect(links, first)
            async with asyncio.timeout(WAIT):
                with pytest.raises(websockets.ConnectionClosed):
                    while True:
                        await connection.recv()
            assert links.connected == []
            assert receiver.seen == receiver.gone == []

    asyncio.run(run())


def test_unknown_message_keeps_the_link():
    async def run():
        links, receiver = make_links('a')
        async with links.listen('127.0.0.1:0'):
            connection = await connect(links)
            await connection.send(cbor2.dumps([[99, []]]))
            await connection.send(peers.encode_frame([BEAT]))
            await wait_for(lambda: receiver.seen == [('z', BEAT)])
            assert links.connected == ['z']
            connection.transport.abort()

    asyncio.run(run())


def test_failure_of_the_receiver_ends_the_link_and_dials_again(monkeypatch):
    monkeypatch.setattr(_peer_link, 'INITIAL_RECONNECT_DELAY', 0.01)

    async def run():
        links, receiver = make_links('a')
        other, heard = make_links('b')
        fails = [1]

        def on_message(hello, message):
            if fails.pop() if fails else 0:
                raise RuntimeError('fault of the test')
            receiver.seen.append(message)

        receiver.on_message = on_message
        async with links.listen('127.0.0.1:0'), other.listen('127.0.0.1:0'):
            links.reach('b', f'127.0.0.1:{other.port}')
            await wait_for(lambda: receiver.seen == [BEAT])
            assert receiver.gone == ['b']

    asyncio.run(run())
