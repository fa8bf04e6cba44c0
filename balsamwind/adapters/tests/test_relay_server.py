"""Connections of callers while a node drains."""

import asyncio
import logging
import socket

import pytest

from balsamwind.adapters import _relay_server
from balsamwind import exceptions
from balsamwind import traffic
from standins import ports


class _FakeClock:
    def monotonic(self):
        return asyncio.get_running_loop().time()


class _FakeRelay:
    """Relay that answers each request and records its target."""

    def __init__(self):
        self.targets = []

    async def run(self, request, responder):
        self.targets.append(request.target)
        responder.start(200, [('Content-Length', '2')])
        await responder.write(b'ok')
        responder.finish()


REQUEST_FORMAT = b'GET /%d HTTP/1.1\r\nHost: a\r\n\r\n'


async def _open_server():
    relay = _FakeRelay()
    server = _relay_server.RelayServer(
        relay, _FakeClock(), traffic.RequestLimits(), logging.getLogger()
    )
    port = ports.find_free_port()
    server.listen(f'127.0.0.1:{port}')
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(REQUEST_FORMAT % 1)
    await reader.readuntil(b'ok')
    await asyncio.sleep(0.02)
    return relay, server, reader, writer


def test_request_received_before_the_close_is_answered():
    async def scenario():
        relay, server, reader, writer = await _open_server()
        server.disable_keep_alive()
        writer.write(REQUEST_FORMAT % 2)
        # The bytes are in the socket, but the event loop has not read them.
        server.close_idle()
        response = await asyncio.wait_for(reader.read(), 2.0)
        await server.close()
        return relay.targets, response

    targets, response = asyncio.run(scenario())
    assert targets == ['/1', '/2']
    assert b'Connection: close' in response
    assert response.endswith(b'ok')


def test_request_received_after_the_close_is_not_run():
    async def scenario():
        relay, server, reader, writer = await _open_server()
        (receiver,) = server._idle_receivers
        server.close_idle()
        writer.write(REQUEST_FORMAT % 2)
        # tornado may still pass on a request that it read before the close.
        receiver.headers_received(None, {})
        receiver.finish()
        response = await asyncio.wait_for(reader.read(), 2.0)
        await asyncio.sleep(0.02)
        await server.close()
        return relay.targets, response

    targets, response = asyncio.run(scenario())
    assert targets == ['/1']
    assert response == b''


def test_close_that_the_loop_has_not_processed_is_seen():
    """A slow node must not send the request of a caller that has left."""

    async def scenario():
        gone = []

        class Relay(_FakeRelay):
            async def run(self, request, responder):
                gone.append(responder.is_caller_gone())
                if request.target == '/2':
                    # The loop does not run between the close and the check.
                    caller.shutdown(socket.SHUT_RDWR)
                    gone.append(responder.is_caller_gone())
                await super().run(request, responder)

        relay = Relay()
        server = _relay_server.RelayServer(
            relay, _FakeClock(), traffic.RequestLimits(), logging.getLogger()
        )
        port = ports.find_free_port()
        server.listen(f'127.0.0.1:{port}')
        caller = socket.create_connection(('127.0.0.1', port))
        caller.sendall(REQUEST_FORMAT % 1)
        while not relay.targets:
            await asyncio.sleep(0.01)
        caller.sendall(REQUEST_FORMAT % 2)
        while len(gone) < 3:
            await asyncio.sleep(0.01)
        await server.close()
        caller.close()
        return gone

    assert asyncio.run(scenario()) == [False, False, True]


class _CuttingRelay(_FakeRelay):
    """Relay that cuts each response after its first bytes."""

    async def run(self, request, responder):
        responder.start(200, [('Content-Type', 'text/event-stream')])
        await responder.write(b'id: 0\ndata: a\n\n')
        responder.fail(exceptions.BadAnswer('cut'))


@pytest.mark.parametrize('version', ['1.0', '1.1'])
def test_cut_response_does_not_look_complete_to_an_older_caller(version):
    """A caller of HTTP/1.0 knows the end of a body by its connection only."""

    async def scenario():
        server = _relay_server.RelayServer(
            _CuttingRelay(),
            _FakeClock(),
            traffic.RequestLimits(),
            logging.getLogger(),
        )
        port = ports.find_free_port()
        server.listen(f'127.0.0.1:{port}')
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(f'GET / HTTP/{version}\r\nHost: a\r\n\r\n'.encode())
        try:
            return await asyncio.wait_for(reader.read(), 2.0)
        except ConnectionResetError:
            return None
        finally:
            writer.close()
            await server.close()

    response = asyncio.run(scenario())
    assert response is None or (
        b'Transfer-Encoding: chunked' in response
        and not response.endswith(b'0\r\n\r\n')
    )


@pytest.mark.parametrize('status', [-1, 0, 20, 99, 100, 101, 199, 600, 999])
def test_status_that_is_none_was_written_to_a_caller(status):
    # Whoever asks for it: the caller gets an error in its place.
    class Relay(_FakeRelay):
        async def run(self, request, responder):
            try:
                responder.start(status, [('Content-Length', '0')])
            except exceptions.BalsamwindError as error:
                responder.fail(error)

    async def scenario():
        server = _relay_server.RelayServer(
            Relay(), _FakeClock(), traffic.RequestLimits(), logging.getLogger()
        )
        port = ports.find_free_port()
        server.listen(f'127.0.0.1:{port}')
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(REQUEST_FORMAT % 1)
        line = await asyncio.wait_for(reader.readline(), 2.0)
        writer.close()
        await server.close()
        return line

    assert asyncio.run(scenario()) == b'HTTP/1.1 502 Bad Gateway\r\n'
