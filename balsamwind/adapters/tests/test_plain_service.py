"""Faults of a backend server, seen by the real client over sockets."""

import asyncio
import base64

import pytest

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind import ports

POST = ports.ServiceCall('POST', '/payouts', b'{}', idempotency_key='k')
MAX_RESPONSE_SIZE = 1024


def make_response(status, body, fields=''):
    """Return the bytes of a response."""
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{fields}'
    return head.encode() + b'\r\n' + body


OK_RESPONSE = make_response(200, b'{}')
CUT_RESPONSE = OK_RESPONSE[:-1]
STALL = None


async def call_backend(parts, call=POST):
    """Send a call to a server that responds with `parts`.

    The server must get the call exactly once.
    """
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
        return await service.call(
            f'127.0.0.1:{port}', call, 0.2, max_answer_size=MAX_RESPONSE_SIZE
        )
    finally:
        client.close()
        server.close()
        assert len(calls) == 1


ANSWERED_CALLS = [
    ('whole', [OK_RESPONSE], 200),
    ('in two parts', [OK_RESPONSE[:20], OK_RESPONSE[20:]], 200),
    ('503 without not_run', [make_response(503, b'{"busy": true}')], 503),
    ('503, not JSON', [make_response(503, b'not_run')], 503),
    ('503, not_run not true', [make_response(503, b'{"not_run": 0}')], 503),
    ('500 with not_run', [make_response(500, b'{"not_run": true}')], 500),
]


@pytest.mark.parametrize(
    'parts, status',
    [row[1:] for row in ANSWERED_CALLS],
    ids=[r[0] for r in ANSWERED_CALLS],
)
def test_response_other_than_a_refusal_is_returned(parts, status):
    assert asyncio.run(call_backend(parts)).status == status


UNKNOWN_OUTCOMES = [
    ('reset before any byte', []),
    ('reset in the status line', [b'HTTP/1.']),
    ('reset after the headers', [CUT_RESPONSE]),
    ('stall before any byte', [STALL]),
    ('stall after the headers', [CUT_RESPONSE, STALL]),
    ('malformed status line', [b'SMTP ready\r\n\r\n']),
    ('malformed length', [OK_RESPONSE.replace(b': 2', b': x')]),
    ('truncated refusal', [make_response(503, b'{"not_run": true}')[:-1]]),
]


@pytest.mark.parametrize(
    'parts',
    [row[1] for row in UNKNOWN_OUTCOMES],
    ids=[row[0] for row in UNKNOWN_OUTCOMES],
)
def test_failure_after_sending_leaves_the_outcome_unknown(parts):
    with pytest.raises(exceptions.TransportError) as caught:
        asyncio.run(call_backend(parts))
    assert caught.value.sent


@pytest.mark.parametrize('parts', [[], [b'HTTP/1.'], [CUT_RESPONSE]])
def test_reset_is_detected_before_the_timeout(parts):
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
def test_refusal_with_not_run_is_raised(
    status, fields, overloaded, retry_after
):
    response = make_response(status, b'{"not_run": true}', fields)
    with pytest.raises(exceptions.BackendRefused) as caught:
        asyncio.run(call_backend([response]))
    assert caught.value.overloaded is overloaded
    assert caught.value.retry_after == retry_after


def test_oversized_response_is_an_error():
    response = make_response(200, b'x' * (MAX_RESPONSE_SIZE + 1))
    with pytest.raises(exceptions.AnswerTooLarge):
        asyncio.run(call_backend([response]))


def test_response_of_the_largest_size_is_accepted():
    response = asyncio.run(
        call_backend([make_response(200, b'x' * MAX_RESPONSE_SIZE)])
    )
    assert base64.b64decode(response.body) == b'x' * MAX_RESPONSE_SIZE


def test_refused_connection_sends_nothing():
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


OTHER_RESPONSE = make_response(200, b'{"circle": "other"}')
REFUSAL = make_response(503, b'{"not_run": true}')


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize(
    ('first', 'outcome'),
    [
        pytest.param(OTHER_RESPONSE, b'{"circle": "other"}', id='answer'),
        pytest.param(REFUSAL, exceptions.NOT_RUN, id='refusal'),
    ],
)
def test_second_copy_of_a_response_was_taken_for_the_next(
    method, first, outcome
):
    # Callers got the answer to another request, or were told 'not run'.
    responses = [first, OK_RESPONSE]

    async def serve(reader, writer):
        copy = b''
        while await reader.read(65536):
            response = responses.pop(0)
            writer.write(copy + response)
            copy = response

    async def run():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = '%s:%d' % server.sockets[0].getsockname()
        client = adapters.HttpClient()
        service = adapters.HttpPlainService(client)
        outcomes = []
        for _ in range(2):
            try:
                answer = await service.call(
                    address, ports.ServiceCall(method, '/payouts'), 0.5
                )
                outcomes.append(base64.b64decode(answer.body))
            except exceptions.BalsamwindError as error:
                outcomes.append(error.run)
        client.close()
        server.close()
        return outcomes

    assert asyncio.run(run()) == [outcome, b'{}']


def test_each_post_opens_a_new_connection():
    async def run():
        connections = []

        async def serve(reader, writer):
            connections.append(writer)
            while await reader.read(65536):
                writer.write(OK_RESPONSE)

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
