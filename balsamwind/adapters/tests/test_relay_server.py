"""Connections of callers while a node drains."""

import asyncio
import logging
import socket

from balsamwind.adapters import _relay_server
from balsamwind import traffic


class _Clock:
    def monotonic(self):
        return asyncio.get_running_loop().time()


class _Relay:
    """Answers each request, and notes that it ran."""

    def __init__(self):
        self.ran = []

    async def run(self, request, responder):
        self.ran.append(request.target)
        responder.start(200, [('Content-Length', '2')])
        await responder.write(b'ok')
        responder.finish()


REQUEST = b'GET /%d HTTP/1.1\r\nHost: a\r\n\r\n'


async def _open():
    relay = _Relay()
    server = _relay_server.RelayServer(
        relay, _Clock(), traffic.Limits(), logging.getLogger()
    )
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    server.listen(f'127.0.0.1:{port}')
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(REQUEST % 1)
    await reader.readuntil(b'ok')
    await asyncio.sleep(0.02)
    return relay, server, reader, writer


def test_request_that_has_come_is_answered():
    async def scenario():
        relay, server, reader, writer = await _open()
        server.close_after_answers()
        writer.write(REQUEST % 2)
        # The bytes are in the socket, and the loop has not read them yet.
        server.close_idle()
        answer = await asyncio.wait_for(reader.read(), 2.0)
        await server.close()
        return relay.ran, answer

    ran, answer = asyncio.run(scenario())
    assert ran == ['/1', '/2']
    assert b'Connection: close' in answer
    assert answer.endswith(b'ok')


def test_request_that_crosses_the_close_is_not_run():
    async def scenario():
        relay, server, reader, writer = await _open()
        (message,) = server._idle_receivers
        server.close_idle()
        writer.write(REQUEST % 2)
        # The library may still hand over what it had read before.
        message.headers_received(None, {})
        message.finish()
        answer = await asyncio.wait_for(reader.read(), 2.0)
        await asyncio.sleep(0.02)
        await server.close()
        return relay.ran, answer

    ran, answer = asyncio.run(scenario())
    assert ran == ['/1']
    assert answer == b''
