"""Connections over which other nodes carry this node's attempts."""

import asyncio
import contextlib

from tornado import httputil

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind.node import _attempt_frames
from balsamwind.node import _frame_codec
from balsamwind import relay

CONNECT_TIMEOUT = 0.25
"""Longest wait for a connection to another node (seconds)."""

ACCEPT_TIMEOUT = 0.5
"""Longest wait until the other node says whether it carries an attempt
(seconds)."""

REPLY_TIMEOUT = 0.5
"""Longest wait for the reply to a question (seconds)."""

MAX_IDLE_CONNECTIONS = 16
"""Largest number of idle connections to one node (count)."""

MAX_REASON_LENGTH = 200
"""Longest description of a malformed header (characters)."""

_ERRORS = {
    relay.CarryFailure.UNREACHABLE: exceptions.TransportError,
    relay.CarryFailure.BROKEN: exceptions.TransportError,
    relay.CarryFailure.TIMED_OUT: exceptions.AnswerTimeout,
    relay.CarryFailure.MALFORMED: exceptions.BadAnswer,
}


def _make_error(address, failure, is_accepted):
    """Make the error for an attempt that a node could not complete.

    What the node has accepted may have been sent, whatever it says later.
    """
    message = f'through {address}: {failure.cause.value} {failure.message}'
    if failure.cause in relay.NOT_CARRIED:
        return exceptions.PeerUnavailable(message, is_accepted, failure.cause)
    is_sent = (
        is_accepted or failure.cause is not relay.CarryFailure.UNREACHABLE
    )
    return _ERRORS[failure.cause](message, is_sent)


class AttemptClient:
    """Opens connections to other nodes, and reuses idle ones.

    Parameters
    ----------
    unknown_messages : UnknownMessages
        Counts the messages that this build does not know.
    source_host : str
        Host by which the other nodes know this one; empty if it has only one.
    """

    __slots__ = ('_idle', '_source_host', '_unknown_messages')

    def __init__(self, unknown_messages, source_host=''):
        self._source_host = source_host
        self._idle = {}
        self._unknown_messages = unknown_messages

    async def open(self, address, attempt, before_send):
        """Send an attempt through a node, and wait for the answer's head.

        Parameters
        ----------
        address : str
            Address of the node, ``host:port``.
        attempt : balsamwind.relay.OutgoingAttempt
            The attempt.
        before_send : callable
            Called without arguments immediately before the attempt is sent.
            If it raises, nothing is sent.

        Returns
        -------
        PeerResponse

        Raises
        ------
        balsamwind.exceptions.PeerUnavailable
            The node carries nothing, or was lost; `sent` says whether the
            attempt may have been sent to the server.
        balsamwind.exceptions.TransportError
            The attempt failed at the server.
        """
        connection = self._take(address) or await self._connect(address)
        try:
            before_send()
            response = PeerResponse(self, address, connection)
            await response.send(attempt, ACCEPT_TIMEOUT)
            await response.receive_head(attempt.time_left + relay.READ_MARGIN)
        except BaseException:
            # An attempt that was refused has left the connection idle.
            if not self._is_idle(address, connection):
                connection.transport.abort()
            raise
        return response

    async def ask(self, address, query):
        """Ask a node whether it reaches a server.

        Parameters
        ----------
        address : str
            Address of the node, ``host:port``.
        query : balsamwind.relay.ReachQuery
            The question.

        Returns
        -------
        balsamwind.relay.Reach

        Raises
        ------
        balsamwind.exceptions.PeerUnavailable
            The node gave no answer.
        """
        connection = self._take(address) or await self._connect(address)
        try:
            async with asyncio.timeout(REPLY_TIMEOUT):
                await adapters.send_to(
                    connection, _attempt_frames.CODEC.encode(query)
                )
                frame = await adapters.receive_from(connection)
            reply = _attempt_frames.CODEC.decode(frame)
        except (TimeoutError, exceptions.TransportError) as error:
            connection.transport.abort()
            raise exceptions.PeerUnavailable(
                f'{address}: no reply: {error}', sent=False
            ) from None
        except BaseException:
            connection.transport.abort()
            raise
        match reply:
            case relay.ReachReply(reach=reach):
                self.put_back(address, connection)
                return reach
            case _frame_codec.UnknownMessage():
                self.record_unknown(address, reply)
        # The reply may still come, and would be taken for that to another.
        connection.transport.abort()
        raise exceptions.PeerUnavailable(
            f'{address}: unexpected {type(reply).__name__}', sent=False
        )

    def _take(self, address):
        connections = self._idle.get(address)
        while connections:
            connection = connections.pop()
            if adapters.is_open(connection):
                return connection
        return None

    async def _connect(self, address):
        try:
            return await adapters.open_websocket(
                address,
                _attempt_frames.PATH,
                CONNECT_TIMEOUT,
                self._source_host,
            )
        except exceptions.TransportError as error:
            raise exceptions.PeerUnavailable(
                error.message, sent=False
            ) from None

    def put_back(self, address, connection):
        """Keep a connection whose attempt has come to its end."""
        connections = self._idle.setdefault(address, [])
        if len(connections) < MAX_IDLE_CONNECTIONS:
            connections.append(connection)
        else:
            connection.transport.abort()

    def record_unknown(self, address, message):
        """Record an unknown message; its connection is not used again."""
        self._unknown_messages.open_connection('attempt client', address).add(
            message
        )

    def _is_idle(self, address, connection):
        return connection in self._idle.get(address, ())

    def close(self):
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.transport.abort()
        self._idle.clear()


class PeerResponse:
    """Answer that another node passes on, read as it arrives.

    It has the reading methods of `balsamwind.adapters.StreamedResponse`.

    Parameters
    ----------
    client : AttemptClient
        Takes the connection back at the end of the answer.
    address : str
        Address of the node, ``host:port``.
    connection : websockets.asyncio.client.ClientConnection
        Connection to the node.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : tornado.httputil.HTTPHeaders
        Headers of the answer.
    has_marked_end : bool
        Whether the body itself shows that it is complete.
    on_close : callable
        Called without arguments once the answer has ended.
    """

    __slots__ = (
        '_address',
        '_client',
        '_connection',
        '_next_message',
        'has_marked_end',
        'headers',
        'on_close',
        'status',
    )

    def __init__(self, client, address, connection):
        self._client = client
        self._address = address
        self._connection = connection
        self._next_message = None
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.has_marked_end = False
        self.on_close = lambda: None

    @property
    def framing_name(self):
        """Says in logs how the end of the body was marked."""
        return 'peer'

    async def send(self, attempt, timeout):
        """Send an attempt, and wait until the node has accepted it.

        Raises
        ------
        balsamwind.exceptions.PeerUnavailable
            The node has not accepted it. It certainly did not send it if the
            connection had ended before, or if it closed the connection in
            place of accepting: that it accepts always comes first.
        balsamwind.exceptions.TransportError
            The attempt failed at the server.
        """
        if not adapters.is_open(self._connection):
            raise exceptions.PeerUnavailable(
                f'through {self._address}: the connection has ended',
                sent=False,
            )
        frame = _attempt_frames.CODEC.encode(attempt)
        try:
            async with asyncio.timeout(timeout):
                # What the node sent before the connection ended comes first.
                with contextlib.suppress(exceptions.TransportError):
                    await adapters.send_to(self._connection, frame)
                message = await self._receive(is_accepted=False)
        except TimeoutError:
            raise exceptions.PeerUnavailable(
                f'through {self._address}: not accepted within {timeout:.1f} s'
            ) from None
        match message:
            case relay.AttemptAccepted():
                return
        self._raise_failure(message, is_accepted=False)

    async def receive_head(self, timeout):
        """Wait for the head of the answer.

        Raises
        ------
        balsamwind.exceptions.TransportError
            There is none.
        """
        try:
            async with asyncio.timeout(timeout):
                message = await self._receive()
        except TimeoutError:
            raise exceptions.AnswerTimeout(
                f'through {self._address}: no answer within {timeout:.1f} s'
            ) from None
        match message:
            case relay.AnswerHead(
                status=status, headers=headers, has_marked_end=marked
            ):
                self.status = status
                self.has_marked_end = marked
                self._take_headers(headers)
                return
        self._raise_failure(message)

    def _take_headers(self, headers):
        """Check the headers, which another node has read with its parser."""
        try:
            for name, value in headers:
                self.headers.add(name, value)
            adapters.check_head(self.status, self.headers)
        except (ValueError, httputil.HTTPInputError) as error:
            self.close()
            raise exceptions.PeerUnavailable(
                f'through {self._address}: malformed header:'
                f' {error!r:.{MAX_REASON_LENGTH}}'
            ) from None

    def _raise_failure(self, message, is_accepted=True):
        match message:
            case relay.AttemptFailed():
                self._return_connection()
                raise _make_error(self._address, message, is_accepted)
            case _frame_codec.UnknownMessage():
                self._client.record_unknown(self._address, message)
        self.close()
        raise exceptions.PeerUnavailable(
            f'through {self._address}: unexpected {type(message).__name__}'
        )

    async def _receive(self, is_accepted=True):
        try:
            return _attempt_frames.CODEC.decode(
                await adapters.receive_from(self._connection)
            )
        except exceptions.TransportError as error:
            is_closed = isinstance(error, exceptions.ConnectionClosed)
            raise exceptions.PeerUnavailable(
                f'through {self._address}: {error.message}',
                sent=is_accepted or not is_closed,
            ) from None

    async def wait_for_data(self, timeout):
        """Wait until `read` would return without waiting.

        Parameters
        ----------
        timeout : float
            Longest wait (seconds).

        Returns
        -------
        bool
            False if nothing arrived within `timeout` seconds.
        """
        if self._next_message is not None:
            return True
        try:
            async with asyncio.timeout(timeout):
                self._next_message = await self._receive()
        except TimeoutError:
            return False
        return True

    async def read(self, timeout):
        """Return the next bytes of the body; empty at its proper end.

        Parameters
        ----------
        timeout : float
            Longest wait for the next bytes (seconds).

        Raises
        ------
        balsamwind.exceptions.TransportError
            The body was cut, or nothing arrived within `timeout` seconds.
        """
        if not await self.wait_for_data(timeout):
            self.close()
            raise exceptions.AnswerTimeout(
                f'through {self._address}: no data for {timeout:.1f} s'
            )
        message, self._next_message = self._next_message, None
        match message:
            case relay.AnswerData(data=data):
                return data
            case relay.AnswerEnd():
                self._return_connection()
                return b''
        self._raise_failure(message)

    async def read_all(self, timeout):
        """Read the body to its end, as `StreamedResponse` does."""
        return await adapters.read_body(self, timeout)

    def _return_connection(self):
        connection, self._connection = self._connection, None
        self._client.put_back(self._address, connection)
        self._end()

    def close(self):
        """Cut the connection, unless the answer has come to its end.

        The other node then ends the attempt at once.
        """
        if self._connection is not None:
            self._connection.transport.abort()
            self._connection = None
            self._end()

    def _end(self):
        on_close, self.on_close = self.on_close, lambda: None
        on_close()
