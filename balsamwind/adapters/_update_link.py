"""Websockets over which a node sends updates to other nodes."""

import asyncio
import contextlib
import functools

import websockets
from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server

from balsamwind import exceptions

MAX_FRAME = 4 * 1024 * 1024
"""Largest frame that is accepted (bytes)."""

MAX_WRITE_BUFFER = 1024 * 1024
"""Unsent bytes for one subscriber above which its connection is aborted
(bytes)."""

OPEN_TIMEOUT = 1.0
"""Timeout for opening and for closing a connection (seconds)."""

GOING_AWAY = 1001
"""Code with which a server that ends closes its connections."""

CLOSE_TIMEOUT = 0.1
"""Longest wait at the end of a server until the other ends have read that
their connections are closed (seconds)."""

WEBSOCKET_OPTIONS = {
    'compression': None,
    'max_size': MAX_FRAME,
    'open_timeout': OPEN_TIMEOUT,
    'close_timeout': OPEN_TIMEOUT,
    'ping_interval': None,
}
"""Options of the websockets on both sides."""


class UpdateServer:
    """Sends updates to all subscribers, and replies to their requests.

    Parameters
    ----------
    make_first_frame : callable
        Takes no arguments and returns the first frame for a new subscriber,
        or None for no frame.
    open_session : callable
        Takes a callable that sends a frame to a new subscriber without
        waiting, and returns the session of the subscriber. Its
        `handle` takes a frame of the subscriber and returns the frame to
        reply with, or None; it raises
        `balsamwind.exceptions.TransportError` if the frame is malformed,
        which ends the connection. Its `close` is called at the end.
    log : structlog.BoundLogger
        Logger of connection errors.

    Attributes
    ----------
    handlers : dict of str to callable
        Coroutine functions that handle the connections to other paths; they
        take the connection.
    """

    def __init__(self, make_first_frame, open_session, log):
        self._make_first_frame = make_first_frame
        self._open_session = open_session
        self._log = log
        self._connections = set()
        self._others = set()
        self.handlers = {}

    @contextlib.asynccontextmanager
    async def listen(self, address):
        """Accept subscribers until the block ends.

        Parameters
        ----------
        address : str
            ``host:port`` to listen on.
        """
        host, port = address.rsplit(':', 1)
        async with ws_server.serve(
            self._handle_connection, host, int(port), **WEBSOCKET_OPTIONS
        ):
            try:
                yield self
            finally:
                await self._close_others()
                for connection in [*self._connections, *self._others]:
                    connection.transport.abort()

    async def _close_others(self):
        """Close connections in order, so that no message is left in doubt.

        What the other end has sent meanwhile was not handled, and it learns
        that.
        """
        tasks = [
            asyncio.ensure_future(connection.close(GOING_AWAY))
            for connection in self._others
        ]
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_TIMEOUT)
        for task in tasks:
            task.cancel()

    @property
    def subscriber_count(self):
        """Connected subscribers (count)."""
        return len(self._connections)

    def broadcast(self, data):
        """Send a frame to all subscribers.

        Subscribers that do not read fast enough are disconnected.

        Parameters
        ----------
        data : bytes or str
            Frame to send.
        """
        ws_server.broadcast(self._connections, data)
        for connection in list(self._connections):
            if connection.transport.get_write_buffer_size() > MAX_WRITE_BUFFER:
                self._log.warning('news_reader_too_slow')
                connection.transport.abort()

    async def _handle_connection(self, connection):
        handler = self.handlers.get(connection.request.path)
        try:
            if handler is None:
                await self._serve_subscriber(connection)
            else:
                await self._serve_other(handler, connection)
        except exceptions.TransportError as error:
            self._log.warning('news_malformed', error=str(error))
        except (OSError, websockets.WebSocketException):
            return

    async def _serve_subscriber(self, connection):
        session = self._open_session(functools.partial(send_frame, connection))
        try:
            # Without a wait between them, nothing that is published meanwhile
            # is missed.
            first_frame = self._make_first_frame()
            if first_frame is not None:
                send_frame(connection, first_frame)
            self._connections.add(connection)
            async for data in connection:
                reply = session.handle(data)
                if reply is not None:
                    await connection.send(reply)
        finally:
            self._connections.discard(connection)
            session.close()

    async def _serve_other(self, handler, connection):
        self._others.add(connection)
        try:
            await handler(connection)
        finally:
            self._others.discard(connection)


def send_frame(connection, data):
    """Send a frame without waiting until the socket has taken it.

    Parameters
    ----------
    connection : websockets.asyncio.client.ClientConnection
        Connection to a node; nothing is sent if it is not open any more.
    data : bytes
        Frame to send.
    """
    ws_server.broadcast((connection,), data)


def is_open(connection):
    """Tell whether a websocket is open."""
    return connection.state is websockets.State.OPEN


async def send_to(connection, data):
    """Send a frame, and wait until the socket has taken it.

    Raises
    ------
    balsamwind.exceptions.TransportError
        The connection was lost.
    """
    try:
        await connection.send(data)
    except (OSError, websockets.WebSocketException) as error:
        raise exceptions.TransportError(f'connection lost: {error}') from None


async def receive_from(connection):
    """Wait for the next frame, without a timeout.

    Raises
    ------
    balsamwind.exceptions.ConnectionClosed
        The other end closed the connection, and all its frames were read.
    balsamwind.exceptions.TransportError
        The connection was lost.
    """
    try:
        return await connection.recv()
    except (OSError, websockets.WebSocketException) as error:
        if _is_closed_by_other_end(error):
            raise exceptions.ConnectionClosed(
                f'connection closed: {error}'
            ) from None
        raise exceptions.TransportError(f'connection lost: {error}') from None


def _is_closed_by_other_end(error):
    """Tell whether no frame can have been lost before the end.

    The answer to a close of this end shows less: frames that came before it
    may have been discarded.
    """
    return (
        isinstance(error, websockets.ConnectionClosed)
        and error.rcvd is not None
        and error.rcvd_then_sent is not False
    )


async def open_websocket(address, path, timeout, source_host=''):
    """Connect to a node; the caller closes the connection.

    Parameters
    ----------
    address : str
        ``host:port`` of the node.
    path : str
        Path of the websocket.
    timeout : float
        Longest wait (seconds).
    source_host : str
        Host of this node that the connection comes from; empty if the system
        chooses.

    Returns
    -------
    websockets.asyncio.client.ClientConnection

    Raises
    ------
    balsamwind.exceptions.TransportError
        The node can't be reached.
    """
    local_address = (source_host, 0) if source_host else None
    try:
        async with asyncio.timeout(timeout):
            return await ws_client.connect(
                f'ws://{address}{path}',
                proxy=None,
                local_addr=local_address,
                **WEBSOCKET_OPTIONS,
            )
    except (OSError, TimeoutError, websockets.WebSocketException) as error:
        raise exceptions.TransportError(f'{address}: {error!r}') from None


@contextlib.asynccontextmanager
async def open_update_connection(address):
    """Connect to a node that sends updates, until the block ends.

    Parameters
    ----------
    address : str
        ``host:port`` of the node.

    Yields
    ------
    websockets.asyncio.client.ClientConnection

    Raises
    ------
    balsamwind.exceptions.TransportError
        The node can't be reached, or the connection was lost.
    """
    try:
        async with ws_client.connect(
            f'ws://{address}/', proxy=None, **WEBSOCKET_OPTIONS
        ) as connection:
            yield connection
    except (OSError, TimeoutError, websockets.WebSocketException) as error:
        raise exceptions.TransportError(f'{address}: {error}') from None


async def receive_frame(connection, timeout):
    """Wait for the next frame.

    Parameters
    ----------
    connection : websockets.asyncio.client.ClientConnection
        Connection to the sending node.
    timeout : float
        Longest wait (seconds).

    Returns
    -------
    bytes or str

    Raises
    ------
    balsamwind.exceptions.AnswerTimeout
        No frame arrived within `timeout` seconds.
    """
    try:
        async with asyncio.timeout(timeout):
            return await connection.recv()
    except TimeoutError:
        raise exceptions.AnswerTimeout(
            'no frame from the node before the timeout'
        ) from None
