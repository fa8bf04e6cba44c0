"""Paths and queries of requests, which reach the server as they came."""

import asyncio
import contextlib

import pytest

from balsamwind.node.tests import helpers
from balsamwind.node.tests import test_odd_entries

ANSWER = b'X-Balsamwind-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok'


class _Server:
    """Plain server that notes the first line of each request."""

    def __init__(self):
        self.lines = []

    async def handle(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = dict(
                    line.lower().split(b': ', 1)
                    for line in head.split(b'\r\n')[1:-2]
                )
                await reader.readexactly(int(fields[b'content-length']))
                self.lines.append(head.partition(b'\r\n')[0])
                request_id = fields[b'x-balsamwind-request-id']
                writer.write(
                    b'HTTP/1.1 200 OK\r\nX-Balsamwind-Request-Id: %s\r\n%s'
                    % (request_id, ANSWER)
                )


def _send(target):
    """Send one request; return its answer and the lines at the server."""

    async def scenario():
        server = _Server()
        async with (
            helpers.open_platform(0) as fake_platform,
            helpers.open_node(fake_platform) as process,
        ):
            listener = await asyncio.start_server(
                server.handle, '127.0.0.1', 0
            )
            host, port = listener.sockets[0].getsockname()
            entry = {
                **test_odd_entries.FOREIGN_ENTRY,
                'Service': 'ledger',
                'Address': f'{host}:{port}',
                'group': None,
            }
            fake_platform.store.put(
                'config', 'main', test_odd_entries.make_configuration()
            )
            fake_platform.store.put('servers', 's1', entry)
            await helpers.wait_until(
                lambda: (
                    process.registry.get('s1')
                    and process.configuration_cache.find_service('ledger')
                )
            )
            request = helpers.make_request('/TARGET')
            answer = await helpers.send_request(
                process, request.replace(b'/TARGET', target)
            )
            listener.close()
            return answer, server.lines

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    'target',
    [
        b'/balance/x?',
        b'/balance/x?a=1&b=%20?c',
        b'/balance/x?a=1#part',
        b'/balance//x/../y;p=1',
        b'/balance/%C3%A9',
        'é/'.join(['/balance/', 'x']).encode(),
        '/balance/x?name=é'.encode(),
    ],
)
def test_target_reaches_the_server_unchanged(target):
    # An empty query lost its question mark, a fragment was cut off, and bytes
    # beyond ASCII were encoded once more (UNASKED).
    answer, lines = _send(target)
    assert answer.startswith(b'HTTP/1.1 200')
    assert lines == [b'POST %s HTTP/1.1' % target]


def test_target_that_is_no_text_is_rejected():
    # It can't be passed on as it is.
    answer, lines = _send(b'/balance/\xff')
    assert answer.startswith(b'HTTP/1.1 400')
    assert lines == []
