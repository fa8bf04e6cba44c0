"""Servers that write an earlier refusal once more on a kept connection."""

import asyncio
import collections
import contextlib

import pytest

from balsamwind.adapters import _http_client
from balsamwind.node.tests import helpers
from balsamwind.node.tests import test_odd_entries

COPY_WITHOUT_ID = 'copy without id'
COPY_WITH_ID = 'copy with id'


def _make_answer(status, request_id, body=b'ok', extra=''):
    id_line = (
        f'X-Balsamwind-Request-Id: {request_id}\r\n' if request_id else ''
    )
    return (
        f'HTTP/1.1 {status} X\r\n{id_line}{extra}'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


def _make_refusal(request_id):
    return _make_answer(
        503, request_id, b'', 'X-Balsamwind-Not-Executed: 1\r\n'
    )


class _CopyingServer:
    """Plain server that refuses some requests, and then once more.

    Parameters
    ----------
    copy : str
        Whether the second copy of a refusal names its request.
    refusals : dict of str to int
        How often a request is refused before it runs, by its id.
    mute : tuple of str
        Requests that run and get no answer.
    """

    def __init__(self, copy, refusals, mute=()):
        self._copy = copy
        self._refusals = dict(refusals)
        self._mute = mute
        self.runs = collections.Counter()
        self.connections = 0

    async def handle(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            self.connections += 1
            extra = b''
            while True:
                request_id = await self._read_request(reader)
                await asyncio.sleep(0.02)
                writer.write(extra)
                extra = b''
                if self._refusals.get(request_id, 0):
                    self._refusals[request_id] -= 1
                    writer.write(_make_refusal(request_id))
                    named = self._copy == COPY_WITH_ID
                    extra = _make_refusal(request_id if named else '')
                    continue
                self.runs[request_id] += 1
                if request_id in self._mute:
                    continue
                await asyncio.sleep(0.05)
                stamp = 'X-Balsamwind-Response-Stamp: s\r\n'
                writer.write(_make_answer(200, request_id, extra=stamp))

    async def _read_request(self, reader):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        fields = dict(
            line.lower().split(': ', 1) for line in head.split('\r\n')[1:-2]
        )
        await reader.readexactly(int(fields.get('content-length', 0)))
        return fields.get('x-balsamwind-request-id', '')


def _play(server, request_ids, names=('s1',)):
    """Send bookings one after the other; return their statuses.

    All entries of servers in `names` have the same address.
    """

    async def scenario():
        async with (
            helpers.open_platform(0) as fake_platform,
            helpers.open_node(fake_platform) as process,
        ):
            listener = await asyncio.start_server(
                server.handle, '127.0.0.1', 0
            )
            host, port = listener.sockets[0].getsockname()
            fake_platform.store.put(
                'config', 'main', test_odd_entries.make_configuration()
            )
            for name in names:
                entry = {
                    'Service': 'ledger',
                    'Address': f'{host}:{port}',
                    'Zone': 'z1',
                    'State': 'ready',
                    'SlotCount': 6,
                }
                fake_platform.store.put('servers', name, entry)
            await helpers.wait_until(
                lambda: (
                    all(map(process.registry.get, names))
                    and process.configuration_cache.find_service('ledger')
                )
            )
            statuses = []
            for request_id in request_ids:
                request = helpers.make_request('/balance/x', request_id)
                request = request.replace(
                    b'X-Balsamwind-Request-Id: \r\n', b''
                )
                answer = await helpers.send_request(process, request)
                statuses.append(int(answer[9:12]))
            listener.close()
            return statuses

    return asyncio.run(scenario())


@pytest.mark.parametrize('copy', [COPY_WITHOUT_ID, COPY_WITH_ID])
def test_copy_of_a_refusal_is_no_answer_to_the_next_request(copy):
    # Callers were told 'not run' for a booking that ran, and the node sent
    # it once more (REFUSED, TWICE).
    server = _CopyingServer(copy, {'a': 9})
    assert _play(server, ['a', 'b', 'c']) == [503, 200, 200]
    assert server.runs == {'b': 1, 'c': 1}


def test_request_without_an_answer_of_its_own_promises_nothing():
    # It may have run: neither 'not run' nor another attempt is allowed.
    server = _CopyingServer(COPY_WITHOUT_ID, {'a': 9}, mute=('b',))
    assert _play(server, ['a', 'b']) == [503, 502]
    assert server.runs == {'b': 1}


def test_copy_of_the_refusal_of_the_same_request_is_not_taken():
    # Its second attempt at the same server has the same id.
    server = _CopyingServer(COPY_WITH_ID, {'a': 1})
    assert _play(server, ['a'], names=('s1', 's2')) == [200]
    assert server.runs == {'a': 1}
    assert server.connections == 2


def test_request_without_an_id_has_a_connection_of_its_own():
    # No answer names it, so that any on a kept connection may be another's.
    server = _CopyingServer(COPY_WITHOUT_ID, {'a': 9})
    assert _play(server, ['a', '', 'a', '']) == [503, 200, 503, 200]
    assert server.runs == {'': 2}


def test_refusal_without_an_id_on_a_new_connection_is_believed():
    # Nothing else can have been written there.
    class Server(_CopyingServer):
        async def handle(self, reader, writer):
            await self._read_request(reader)
            writer.write(_make_refusal(''))
            await writer.drain()
            writer.close()

    assert _play(Server('', {}), ['a']) == [503]


def test_doubt_does_not_hold_a_request_to_its_deadline(monkeypatch):
    monkeypatch.setattr(_http_client, 'DOUBTFUL_RESPONSE_TIME', 0.1)
    server = _CopyingServer(COPY_WITHOUT_ID, {'a': 9}, mute=('b',))
    started_at = asyncio.new_event_loop().time()
    assert _play(server, ['a', 'b']) == [503, 502]
    assert asyncio.new_event_loop().time() - started_at < 3.0
