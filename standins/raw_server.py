"""Server that sends the raw bytes that it is told to."""

import asyncio
import contextlib
import socket
import struct

KEEP = 'keep'
"""The connection is kept, also for further requests."""

CLOSE = 'close'
RESET = 'reset'
BYTE_BY_BYTE = 'byte by byte'
"""As `CLOSE`, after each byte was sent by itself."""

ENDINGS = (CLOSE, RESET, BYTE_BY_BYTE)
"""How a connection may end after what was sent of an answer."""

ARRIVAL_TIME = 0.01
"""Time in which bytes arrive before a reset (seconds)."""


class RawServer:
    """Answers requests by the next bytes of a list.

    Parameters
    ----------
    answers : list of bytes
        What is sent for each request, in a head, in a body or after an
        answer; the last one is repeated.
    ending : str
        What becomes of the connection then, see `KEEP` and `ENDINGS`.

    Attributes
    ----------
    requests : int
        Requests received (count).
    connections : int
        Connections accepted (count).
    address : str
        ``host:port``, set by `listen`.
    """

    def __init__(self, answers, ending=KEEP):
        self._answers = list(answers)
        self._ending = ending
        self.requests = 0
        self.connections = 0
        self.address = ''

    @contextlib.asynccontextmanager
    async def listen(self):
        """Listen on the loopback interface until the block ends."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = '%s:%d' % server.sockets[0].getsockname()
        try:
            yield self
        finally:
            server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self._answer(reader, writer)
            while self._ending == KEEP:
                await self._answer(reader, writer)
        writer.close()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).lower()
        _, _, length = head.partition(b'content-length: ')
        await reader.readexactly(int(length.split()[0] if length else 0))
        self.requests += 1
        await self._send(writer)

    async def _send(self, writer):
        answer = self._answers[0]
        if len(self._answers) > 1:
            del self._answers[0]
        size = 1 if self._ending == BYTE_BY_BYTE else max(1, len(answer))
        for start in range(0, len(answer), size):
            writer.write(answer[start : start + size])
            await writer.drain()
            await asyncio.sleep(0)
        if self._ending == RESET:
            await asyncio.sleep(ARRIVAL_TIME)
            _reset_on_close(writer)
            writer.transport.abort()


def _reset_on_close(writer):
    sock = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
