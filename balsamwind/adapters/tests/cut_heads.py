"""Servers that stop in the head of an answer or right after it."""

import asyncio
import contextlib
import socket
import struct

CLOSE = 'close'
RESET = 'reset'
BYTE_BY_BYTE = 'byte by byte'
"""As `CLOSE`, after each byte was sent by itself."""

ENDINGS = (CLOSE, RESET, BYTE_BY_BYTE)
"""How a connection ends after what was sent of the answer."""

ARRIVAL_TIME = 0.01
"""Time in which bytes arrive before a reset (seconds)."""


def make_cuts(fields, body, chunk):
    """Make the ways in which an answer with status 200 is cut short.

    Parameters
    ----------
    fields : bytes
        Header fields, each with its line end, without those of the framing.
    body : bytes
        Body of the whole answer.
    chunk : bytes
        The same as one chunk.

    Returns
    -------
    dict of str to bytes
    """
    length = b'%d' % (len(body) + 1000)
    start = b'HTTP/1.1 200 OK\r\n' + fields
    head = start + b'Content-Length: ' + length + b'\r\n'
    chunked = start + b'Transfer-Encoding: chunked\r\n\r\n'
    early = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
    return {
        'nothing': b'',
        'version cut': b'HTTP/1.',
        'status cut': b'HTTP/1.1 20',
        'status line alone': b'HTTP/1.1 200 OK\r\n',
        'name cut': start + b'Content-Le',
        'value cut': start + b'Content-Length:',
        'fields without framing': start,
        'digits of the length cut': start + b'Content-Length: 1',
        'digits cut after a line end': start + b'Content-Length: 1\r\n',
        'digits cut before a bare line end': start + b'Content-Length: 1\n',
        'no blank line': head,
        'half of the blank line': head + b'\r',
        'bare line feeds': head.replace(b'\r\n', b'\n'),
        'body for a blank line': head + body.rstrip(),
        'length without a body': head + b'\r\n',
        'body shorter than its length': head + b'\r\n' + body,
        'chunked without a chunk': chunked,
        'size of a chunk cut': chunked + b'1',
        'size of a chunk alone': chunked + chunk[: chunk.index(b'\n') + 1],
        'chunk cut': chunked + chunk[:-5],
        'no last chunk': chunked + chunk,
        'continue alone': b'HTTP/1.1 100 Continue\r\n\r\n',
        'continue, status cut': b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 2',
        'early hints, no blank line': early + head,
        'early hints, no body': early + head + b'\r\n',
        'early hints cut': early[:-2],
    }


class CuttingServer:
    """Answers requests by the next script, and ends the connection.

    Parameters
    ----------
    answers : list of bytes
        What is sent of each answer; the last one is repeated.
    ending : str
        How the connection ends, see `ENDINGS`.

    Attributes
    ----------
    requests : int
        Requests received (count).
    address : str
        ``host:port``, set by `listen`.
    """

    def __init__(self, answers, ending):
        self._answers = list(answers)
        self._ending = ending
        self.requests = 0
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
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b'\r\n\r\n')).lower()
            _, _, length = head.partition(b'content-length: ')
            await reader.readexactly(int(length.split()[0] if length else 0))
            self.requests += 1
            await self._send(writer)
        writer.close()

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
