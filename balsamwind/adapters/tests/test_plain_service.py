"""Faults of a backend server, over the real adapter and sockets."""

import asyncio
import base64

import pytest

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind import ports

POST = ports.ServiceCall('POST', '/payouts', b'{}', idempotency_key='k')
LIMIT = 1024


def make_answer(status, body, fields=''):
    """Bytes of an answer."""
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{fields}'
    return head.encode() + b'\r\n' + body


OK = make_answer(200, b'{}')
CUT = OK[:-1]
STALL = None


async def call_backend(parts, call=POST):
    """Send one call to a backend server that answers with `parts`."""
    calls = []

    async def serve(reader, writer):
        calls.append(await reader.read(65536))
        for part in parts:
            if part is STALL:
                await asyncio.sleep(30)
            writer.write(part)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    client = adapters.HttpClient()
    service = adapters.HttpPlainService(client)
    try:
        return await service.call(f'127.0.0.1:{port}', call, 0.2, limit=LIMIT)
    finally:
        client.close()
        server.close()
        assert len(calls) == 1


ANSWERED = [
    ('whole', [OK], 200),
    ('in two parts', [OK[:20], OK[20:]], 200),
    ('503 without not_run', [make_answer(503, b'{"busy": true}')], 503),
    ('503, not JSON', [make_answer(503, b'not_run')], 503),
    ('503, not_run not true', [make_answer(503, b'{"not_run": 0}')], 503),
    ('500 with not_run', [make_answer(500, b'{"not_run": true}')], 500),
]


@pytest.mark.parametrize(
    'parts, status',
    [row[1:] for row in ANSWERED],
    ids=[r[0] for r in ANSWERED],
)
def test_answered(parts, status):
    assert asyncio.run(call_backend(parts)).status == status


SENT = [
    ('reset before any byte', []),
    ('reset in the status line', [b'HTTP/1.']),
    ('reset after the headers', [CUT]),
    ('stall before any byte', [STALL]),
    ('stall after the headers', [CUT, STALL]),
    ('malformed status line', [b'SMTP ready\r\n\r\n']),
    ('malformed length', [OK.replace(b': 2', b': x')]),
    ('refusal that was cut', [make_answer(503, b'{"not_run": true}')[:-1]]),
]


@pytest.mark.parametrize(
    'parts', [row[1] for row in SENT], ids=[row[0] for row in SENT]
)
def test_outcome_unknown(parts):
    with pytest.raises(exceptions.TransportError) as caught:
        asyncio.run(call_backend(parts))
    assert caught.value.sent


@pytest.mark.parametrize('parts', [[], [b'HTTP/1.'], [CUT]])
def test_reset_is_seen_before_the_timeout(parts):
    with pytest.raises(exceptions.TransportError) as caught:
        asyncio.run(call_backend(parts))
    assert 'no answer within' not in str(caught.value)


@pytest.mark.parametrize(
    'status, fields, overloaded, retry_after',
    [
        (503, '', False, None),
        (503, 'Retry-After: 3\r\n', False, 3.0),
        (429, 'Retry-After: 1.5\r\n', True, 1.5),
        (429, 'Retry-After: Fri, 04 Dec 2026 00:00:00 GMT\r\n', True, None),
    ],
)
def test_refused(status, fields, overloaded, retry_after):
    answer = make_answer(status, b'{"not_run": true}', fields)
    with pytest.raises(exceptions.BackendRefused) as caught:
        asyncio.run(call_backend([answer]))
    assert caught.value.overloaded is overloaded
    assert caught.value.retry_after == retry_after


def test_oversized():
    answer = make_answer(200, b'x' * (LIMIT + 1))
    with pytest.raises(exceptions.AnswerTooLarge):
        asyncio.run(call_backend([answer]))


def test_largest_answer():
    answer = asyncio.run(call_backend([make_answer(200, b'x' * LIMIT)]))
    assert base64.b64decode(answer.body) == b'x' * LIMIT


def test_nothing_listens():
    async def run():
        server = await asyncio.start_server(print, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        service = adapters.HttpPlainService(adapters.HttpClient())
        await service.call(f'127.0.0.1:{port}', POST, 0.2)

    with pytest.raises(exceptions.TransportError) as caught:
        asyncio.run(run())
    assert not caught.value.sent


def test_each_call_has_a_connection_of_its_own():
    async def run():
        connections = []

        async def serve(reader, writer):
            connections.append(writer)
            while await reader.read(65536):
                writer.write(OK)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = adapters.HttpClient()
        service = adapters.HttpPlainService(client)
        for _ in range(3):
            await service.call(f'127.0.0.1:{port}', POST, 1.0)
        client.close()
        server.close()
        return len(connections)

    assert asyncio.run(run()) == 3
