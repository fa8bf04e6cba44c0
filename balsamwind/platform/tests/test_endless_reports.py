"""Engines whose reports never end."""

import asyncio
import contextlib

import pytest

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind.node.tests import helpers
from balsamwind import platform
from balsamwind import pool

MAX_TAKEN = 4 << 20
"""Bytes that may leave the engine, with what waits in the kernel (bytes)."""


def test_report_without_end_was_kept_up_to_32_mib():
    taken = 0

    async def handle(reader, writer):
        nonlocal taken
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n')
        with contextlib.suppress(OSError):
            while True:
                writer.write(b'x' * (1 << 16))
                await writer.drain()
                taken += 1 << 16

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
    assert taken <= MAX_TAKEN
