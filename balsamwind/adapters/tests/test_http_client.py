"""Reuse of connections after faults between or after responses."""

import asyncio
import contextlib
import socket
import struct

import pytest

from balsamwind.adapters import _connection_pool
from balsamwind.adapters import _http_client
from balsamwind import exceptions


def _make_response(request_id, body=b'ok', extra=b''):
    head = (
        f'HTTP/1.1 200 OK\r\nId: {request_id}\r\n'
        f'Content-Length: {len(body)}\r\n'
    ).encode()
    return head + extra + b'\r\n' + body


@contextlib.asynccontextmanager
async def _open_server(handle):
    """Yield a client, and the URL of a server that runs `handle`."""

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
            is_own_response=lambda headers: headers.get('Id') == request_id,
            **values,
        )
        try:
            return await response.read_all(1.0)
        finally:
            response.close()

    return fetch()


def test_duplicate_response_is_skipped():
    async def handle(reader, writer):
        await _read_request(reader)
        writer.write(_make_response('a', b'first'))
        await _read_request(reader)
        writer.write(
            _make_response('a', b'again') + _make_response('b', b'second')
        )
        await reader.read()

    async def scenario():
        async with _open_server(handle) as (client, url):
            first = await _fetch(client, url, 'a')
            second = await _fetch(client, url, 'b')
            return first, second, client.opened_connections

    assert asyncio.run(scenario()) == (b'first', b'second', 1)


def test_only_stale_responses_are_an_error():
    async def handle(reader, writer):
        await _read_request(reader)
        writer.write(_make_response('a') * 5)
        await reader.read()

    async def scenario():
        async with _open_server(handle) as (client, url):
            with pytest.raises(exceptions.BadAnswer):
                await _fetch(client, url, 'b')

    asyncio.run(scenario())


@pytest.mark.parametrize('after_response', [False, True])
def test_connection_with_unexpected_bytes_is_not_reused(after_response):
    connections = []

    async def handle(reader, writer):
        connections.append(writer)
        await _read_request(reader)
        extra = b'' if after_response else b'garbage'
        writer.write(_make_response('a') + extra)
        await asyncio.sleep(0.02)
        if after_response:
            writer.write(b'garbage')
        await reader.read()

    async def scenario():
        async with _open_server(handle) as (client, url):
            await _fetch(client, url, 'a')
            await asyncio.sleep(0.05)
            await _fetch(client, url, 'a')

    asyncio.run(scenario())
    assert len(connections) == 2


def test_connection_closed_while_idle_is_not_reused():
    async def handle(reader, writer):
        await _read_request(reader)
        writer.write(_make_response('a'))
        await writer.drain()
        writer.close()

    async def scenario():
        async with _open_server(handle) as (client, url):
            for _ in range(3):
                await _fetch(client, url, 'a')
                await asyncio.sleep(0.02)
            return client.opened_connections

    assert asyncio.run(scenario()) == 3


def test_announced_idle_timeout_is_respected():
    async def handle(reader, writer):
        while True:
            await _read_request(reader)
            writer.write(
                _make_response('a', extra=b'Keep-Alive: timeout=0\r\n')
            )

    async def scenario():
        async with _open_server(handle) as (client, url):
            await _fetch(client, url, 'a')
            await _fetch(client, url, 'a')
            return client.opened_connections

    assert asyncio.run(scenario()) == 2


def _reset(writer):
    """Reset a connection."""
    linger = struct.pack('ii', 1, 0)
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@pytest.mark.parametrize('whole', [True, False])
def test_reset_of_a_body_without_length_is_an_error(whole):
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
        async with _open_server(handle) as (client, url):
            return await _fetch(client, url, 'a')

    if whole:
        assert asyncio.run(scenario()) == b'some bytes'
    else:
        with pytest.raises(exceptions.TransportError):
            asyncio.run(scenario())


def test_response_timeout_closes_idle_connections():
    async def handle(reader, writer):
        await _read_request(reader)
        writer.write(_make_response('a'))
        await reader.read()

    async def scenario():
        async with _open_server(handle) as (client, url):
            await asyncio.gather(*(_fetch(client, url, 'a') for _ in range(3)))
            with pytest.raises(exceptions.AnswerTimeout):
                await client.fetch('GET', url, timeout=0.1)
            opened_before = client.opened_connections
            await _fetch(client, url, 'a')
            return client.opened_connections - opened_before

    assert asyncio.run(scenario()) == 1


async def _send_endless(writer, data, interval):
    while True:
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(interval)


ENDLESS_ANSWERS = [
    pytest.param(b'', b'X-Filler: 1\r\n', 0.0, id='head, at once'),
    pytest.param(b'', b'X', 0.02, id='head, by single bytes'),
    pytest.param(b'', b'\x00\xff garbage', 0.0, id='no answer at all'),
    pytest.param(
        b'\r\n', b'x' * 65536, 0.0, id='body without a length, at once'
    ),
    pytest.param(b'\r\n', b'x', 0.02, id='body by single bytes'),
    pytest.param(
        b'Transfer-Encoding: chunked\r\n\r\n',
        b'1\r\nx\r\n',
        0.02,
        id='chunks by single bytes',
    ),
    pytest.param(
        b'Transfer-Encoding: chunked\r\n\r\n',
        b'1',
        0.02,
        id='length of a chunk',
    ),
]


@pytest.mark.parametrize(('head', 'filler', 'interval'), ENDLESS_ANSWERS)
def test_answer_without_end_is_given_up(head, filler, interval):
    """Time and memory are bounded, and the connection is not used again."""
    closed = []

    async def handle(reader, writer):
        await _read_request(reader)
        writer.write(b'HTTP/1.1 200 OK\r\n' + head)
        try:
            await _send_endless(writer, filler, interval)
        finally:
            closed.append(True)

    async def scenario():
        async with _open_server(handle) as (client, url):
            started_at = asyncio.get_running_loop().time()
            with pytest.raises(exceptions.TransportError):
                await client.fetch(
                    'GET', url, timeout=0.2, max_body_size=1 << 20
                )
            duration = asyncio.get_running_loop().time() - started_at
            for _ in range(100):
                if closed:
                    break
                await asyncio.sleep(0.02)
            return duration, client._connection_pool.take(
                url.removeprefix('http://').removesuffix('/x')
            )

    duration, reusable = asyncio.run(scenario())
    assert duration < 3.0
    assert reusable is None
    assert closed


def test_connection_that_is_cancelled_while_it_opens_is_closed(monkeypatch):
    """It would hold a place at the server for as long as the node runs."""
    streams = []

    async def connect(stream, address):
        streams.append(stream)
        await asyncio.sleep(60.0)

    monkeypatch.setattr(_connection_pool.ClientStream, 'connect', connect)

    async def scenario():
        client = _http_client.HttpClient()
        task = asyncio.ensure_future(
            client.is_reachable('127.0.0.1:9', timeout=30.0)
        )
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait({task})
        return [stream.closed() for stream in streams]

    assert asyncio.run(scenario()) == [True]


INTERIM = {
    'continue': b'HTTP/1.1 100 Continue\r\n\r\n',
    'early hints': b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n',
    'of another request': b'HTTP/1.1 103 X\r\nId: a\r\n\r\n',
    'several': b'HTTP/1.1 102 X\r\n\r\n' * 3,
}


@pytest.mark.parametrize('interim', INTERIM.values(), ids=INTERIM)
@pytest.mark.parametrize(
    ('answer', 'expected'),
    [
        pytest.param(_make_response('b'), (200, b'ok'), id='answer'),
        pytest.param(
            _make_response('b').replace(b'200', b'503'),
            (503, b'ok'),
            id='refusal',
        ),
        pytest.param(
            _make_response('a', b'old') + _make_response('b'),
            (200, b'ok'),
            id='copy of an earlier answer',
        ),
        pytest.param(b'', None, id='closed'),
        pytest.param(_make_response('b')[:-5], None, id='cut head'),
    ],
)
@pytest.mark.parametrize('is_kept', [False, True])
def test_interim_response_was_taken_for_the_answer(
    interim, answer, expected, is_kept
):
    # Callers got status 100 or 103 with the body of the final answer.
    async def handle(reader, writer):
        if is_kept:
            await _read_request(reader)
            writer.write(_make_response('a'))
        await _read_request(reader)
        writer.write(interim)
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.write(answer)
        writer.close()

    async def open_response(client, url):
        response = await client.open(
            'GET',
            url,
            timeout=1.0,
            is_own_response=lambda headers: (
                headers['Id'] == 'b' if 'Id' in headers else None
            ),
        )
        return response.status, await response.read_all(1.0)

    async def scenario():
        async with _open_server(handle) as (client, url):
            if is_kept:
                await _fetch(client, url, 'a')
            if expected is not None:
                return await open_response(client, url)
            with pytest.raises(exceptions.TransportError) as caught:
                await open_response(client, url)
            assert caught.value.sent

    assert asyncio.run(scenario()) == expected


def test_body_of_an_earlier_answer_was_read_as_the_answer_to_head():
    # What a body holds was believed, such as a refusal of the request.
    hidden = _make_response('b').replace(b'200', b'503')

    async def handle(reader, writer):
        if b'HEAD' not in await _read_request(reader):
            writer.write(_make_response('a', hidden))
            await _read_request(reader)
            writer.write(_make_response('a', hidden))
        writer.write(_make_response('b', b''))
        await reader.read()

    async def scenario():
        async with _open_server(handle) as (client, url):
            await _fetch(client, url, 'a')
            response = await client.open(
                'HEAD',
                url,
                timeout=0.5,
                is_own_response=lambda headers: headers.get('Id') == 'b',
            )
            return response.status

    assert asyncio.run(scenario()) == 200
