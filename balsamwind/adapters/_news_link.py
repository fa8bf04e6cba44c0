"""Websockets that carry news from one node to others."""

import asyncio
import contextlib

import websockets
from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server

from balsamwind import exceptions

MAX_FRAME = 4 * 1024 * 1024
"""Largest frame (bytes)."""

MAX_BUFFERED = 1024 * 1024
"""Bytes that wait for a slow reader; more ends its link."""

OPEN_TIMEOUT = 1.0
"""Time-out of the opening of a link (seconds)."""

SETTINGS = {
    'compression': None,
    'max_size': MAX_FRAME,
    'open_timeout': OPEN_TIMEOUT,
    'close_timeout': OPEN_TIMEOUT,
    'ping_interval': None,
}


class NewsServer:
    """Sends news to all who listen, and answers their questions.

    Parameters
    ----------
    make_first : callable
        Makes the first frame for a new reader, or None.
    answer : callable
        Makes the answer to a reader's frame, or None.
    log : structlog logger
        Log.
    """

    def __init__(self, make_first, answer, log):
        self._make_first = make_first
        self._answer = answer
        self._log = log
        self._connections = set()

    @contextlib.asynccontextmanager
    async def listen(self, address):
        """Accept readers at ``host:port`` until the block ends."""
        host, port = address.rsplit(':', 1)
        async with ws_server.serve(self._serve, host, int(port), **SETTINGS):
            try:
                yield self
            finally:
                for connection in list(self._connections):
                    connection.transport.abort()

    @property
    def readers(self):
        """Nodes that listen (count)."""
        return len(self._connections)

    def broadcast(self, data):
        """Send a frame to all readers."""
        ws_server.broadcast(self._connections, data)
        for connection in list(self._connections):
            if connection.transport.get_write_buffer_size() > MAX_BUFFERED:
                self._log.warning('news_reader_too_slow')
                connection.transport.abort()

    async def _serve(self, connection):
        try:
            first = self._make_first()
            if first is not None:
                await connection.send(first)
            self._connections.add(connection)
            async for data in connection:
                answer = self._answer(data)
                if answer is not None:
                    await connection.send(answer)
        except exceptions.TransportError as error:
            self._log.warning('news_malformed', error=str(error))
        except (OSError, websockets.WebSocketException):
            return
        finally:
            self._connections.discard(connection)


@contextlib.asynccontextmanager
async def open_news(address):
    """Connection to a node that sends news, until the block ends.

    Raises
    ------
    balsamwind.exceptions.TransportError
        It can't be reached, or the connection was lost.
    """
    try:
        async with ws_client.connect(
            f'ws://{address}/', proxy=None, **SETTINGS
        ) as connection:
            yield connection
    except (OSError, TimeoutError, websockets.WebSocketException) as error:
        raise exceptions.TransportError(f'{address}: {error}') from None


async def receive(connection, timeout):
    """Next frame.

    Raises
    ------
    balsamwind.exceptions.TransportError
        Nothing came within `timeout` seconds.
    """
    try:
        async with asyncio.timeout(timeout):
            return await connection.recv()
    except TimeoutError:
        raise exceptions.AnswerTimeout('no news') from None
