"""Ports that stand-ins and tests listen on."""

import asyncio
import socket

import pytest
from tornado import httpserver

from standins import ports


def test_port_is_given_to_nobody_else():
    for port in ports.find_free_ports(5):
        with socket.socket() as sock, pytest.raises(OSError):
            sock.bind(('127.0.0.1', port))


def test_server_can_listen_on_a_held_port():
    async def scenario():
        first, second = ports.find_free_ports(2)
        server = await asyncio.start_server(
            lambda reader, writer: writer.close(), '127.0.0.1', first
        )
        http_server = httpserver.HTTPServer(lambda request: None)
        http_server.listen(second, '127.0.0.1')
        for port in (first, second):
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.close()
        server.close()
        http_server.stop()

    asyncio.run(scenario())
