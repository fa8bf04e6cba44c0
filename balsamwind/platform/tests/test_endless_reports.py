"""Engines whose reports never end."""

import asyncio
import contextlib

import pytest
from tornado import iostream

from balsamwind import adapters
from balsamwind.adapters import _http_client
from balsamwind import exceptions
from balsamwind.node.tests import helpers
from balsamwind import platform
from balsamwind.platform import _client
from balsamwind import pool

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n'

MAX_READ = len(HEAD) + _client.MAX_ENGINE_ANSWER + 2 * _http_client.CHUNK_SIZE
"""Bytes that a node may read of a report: the largest one, the chunk that
shows that it is larger, and the one that is read ahead (bytes)."""


def test_report_without_end_was_kept_up_to_32_mib(monkeypatch):
    taken = 0
    read_from_fd = iostream.IOStream.read_from_fd

    def count_read(stream, buffer):
        nonlocal taken
        count = read_from_fd(stream, buffer)
        taken += count or 0
        return count

    monkeypatch.setattr(iostream.IOStream, 'read_from_fd', count_read)

    async def handle(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(HEAD)
        with contextlib.suppress(OSError):
            while True:
                writer.write(b'x' * (1 << 16))
                await writer.drain()

    async def scenario():
        client = adapters.HttpClient()
        settings = helpers.make_settings('n1', 1)
        made = platform.make_platform_client(settings, client)
        server = await asyncio.start_server(handle, '127.0.0.1', 0)
        address = '{}:{}'.format(*server.sockets[0].getsockname())
        record = pool.ServerRecord('e1', 'llm', address, 'z1')
        async with server:
            with pytest.raises(exceptions.BadAnswer):
                await made.fetch_engine_report(record, 1.0)
        client.close()

    asyncio.run(scenario())
    assert _client.MAX_ENGINE_ANSWER < taken <= MAX_READ
