"""Connections that misbehave between or after answers."""

import asyncio
import contextlib
import socket
import struct

import pytest

from balsamwind.adapters import _http_client
from balsamwind import exceptions


def _answer(request_id, body=b'ok', extra=b''):
    head = (
        f'HTTP/1.1 200 OK\r\nId: {request_id}\r\n'
        f'Content-Length: {len(body)}\r\n'
    ).encode()
    return head + extra + b'\r\n' + body


@contextlib.asynccontextmanager
async def _serve(handle):
    """A server that hands each connection to `handle`."""

    async def run(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await handle(reader, writer)

    server = await asyncio.start_server(run, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    client = _http_client.HttpClient()
    try:
        yield client, f'http://{host}:{port}/x'
    finally:
        client.close()
        server.close()


async def _read_request(reader):
    return await reader.readuntil(b'\r\n\r\n')


def _fetch(client, url, request_id='', **values):
    async def fetch():
        response = await client.open(
            'GET',
            url,
            timeout=1.0,
            matches=lambda headers: headers.get('Id') == request_id,
            **values,
        )
        try:
            return await response.read_all(1.0)
        finally:
            response.close()

    return fetch()


def test_extra_answer_is_read_past():
    async def handle(reader, writer):
        await _read_request(reader)
        writer.write(_answer('a', b'first'))
        await _read_request(reader)
        writer.write(_answer('a', b'again') + _answer('b', b'second'))
        await reader.read()

    async def scenario():
        async with _serve(handle) as (client, url):
            first = await _fetch(client, url, 'a')
            second = await _fetch(client, url, 'b')
            return first, second, client.opened_connections

    assert asyncio.run(scenario()) == (b'first', b'second', 1)


def test_answers_of_others_only():
    async def handle(reader, writer):
        await _read_request(reader)
        writer.write(_answer('a') * 5)
        await reader.read()

    async def scenario():
        async with _serve(handle) as (client, url):
            with pytest.raises(exceptions.BadAnswer):
                await _fetch(client, url, 'b')

    asyncio.run(scenario())


@pytest.mark.parametrize('late', [False, True])
def test_connection_with_bytes_after_an_answer_is_not_used(late):
    connections = []

    async def handle(reader, writer):
        connections.append(writer)
        await _read_request(reader)
        extra = b'' if late else b'garbage'
        writer.write(_answer('a') + extra)
        await asyncio.sleep(0.02)
        if late:
            writer.write(b'garbage')
        await reader.read()

    async def scenario():
        async with _serve(handle) as (client, url):
            await _fetch(client, url, 'a')
            await asyncio.sleep(0.05)
            await _fetch(client, url, 'a')

    asyncio.run(scenario())
    assert len(connections) == 2


def test_connection_that_was_closed_while_idle_is_not_used():
    async def handle(reader, writer):
        await _read_request(reader)
        writer.write(_answer('a'))
        await writer.drain()
        writer.close()

    async def scenario():
        async with _serve(handle) as (client, url):
            for _ in range(3):
                await _fetch(client, url, 'a')
                await asyncio.sleep(0.02)
            return client.opened_connections

    assert asyncio.run(scenario()) == 3


def test_stated_idle_time_out_is_kept():
    async def handle(reader, writer):
        while True:
            await _read_request(reader)
            writer.write(_answer('a', extra=b'Keep-Alive: timeout=0\r\n'))

    async def scenario():
        async with _serve(handle) as (client, url):
            await _fetch(client, url, 'a')
            await _fetch(client, url, 'a')
            return client.opened_connections

    assert asyncio.run(scenario()) == 2


def _reset(writer):
    """Close a connection with a reset."""
    linger = struct.pack('ii', 1, 0)
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@pytest.mark.parametrize('whole', [True, False])
def test_body_without_a_length_ends_with_its_connection(whole):
    async def handle(reader, writer):
        await _read_request(reader)
        writer.write(b'HTTP/1.1 200 OK\r\nId: a\r\n\r\nsome bytes')
        await writer.drain()
        await asyncio.sleep(0.05)
        if whole:
            writer.close()
        else:
            _reset(writer)

    async def scenario():
        async with _serve(handle) as (client, url):
            return await _fetch(client, url, 'a')

    if whole:
        assert asyncio.run(scenario()) == b'some bytes'
    else:
        with pytest.raises(exceptions.TransportError):
            asyncio.run(scenario())


def test_silent_connection_drops_the_idle_ones_beside_it():
    async def handle(reader, writer):
        await _read_request(reader)
        writer.write(_answer('a'))
        await reader.read()

    async def scenario():
        async with _serve(handle) as (client, url):
            await asyncio.gather(*(_fetch(client, url, 'a') for _ in range(3)))
            with pytest.raises(exceptions.AnswerTimeout):
                await client.fetch('GET', url, timeout=0.1)
            opened = client.opened_connections
            await _fetch(client, url, 'a')
            return client.opened_connections - opened

    assert asyncio.run(scenario()) == 1
