"""HTTP response whose body is read as it arrives."""

import asyncio
import enum

from balsamwind.adapters import _read_body
from balsamwind import exceptions

RELEASE_TIMEOUT = 1.0
"""Longest wait for the end of a body, after which the connection is closed and
not reused (seconds)."""


class BodyFraming(enum.Enum):
    """How the end of a response body is marked."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CLOSE = 'close'


class StreamedResponse:
    """Response whose body is read as it arrives.

    Parameters
    ----------
    client : HttpClient
        Client that takes the connection back after the body has ended.
    endpoint : str
        ``host:port`` of the server, for error messages and the pool.
    connection : tornado.http1connection.HTTP1Connection
        Connection that carries the response.
    receiver : ResponseReceiver
        Buffer of the response; its `head` has resolved.
    reader : asyncio.Task
        Task that reads the response.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : tornado.httputil.HTTPHeaders
        Response headers.
    """

    __slots__ = (
        '_client',
        '_connection',
        '_endpoint',
        '_may_reuse',
        '_reader',
        '_receiver',
        '_stream',
        'headers',
        'status',
    )

    def __init__(self, client, endpoint, connection, receiver, reader):
        self._client = client
        self._endpoint = endpoint
        self._connection = connection
        self._stream = connection.stream
        self._receiver = receiver
        self._reader = reader
        self._may_reuse = True
        self.status, self.headers = receiver.head.result()

    @property
    def framing(self):
        """How the end of the body is marked (`BodyFraming`)."""
        if 'Transfer-Encoding' in self.headers:
            return BodyFraming.CHUNKED
        if 'Content-Length' in self.headers:
            return BodyFraming.LENGTH
        return BodyFraming.CLOSE

    @property
    def framing_name(self):
        """Says in logs how the end of the body is marked."""
        return self.framing.value

    @property
    def has_marked_end(self):
        """Whether the body itself shows that it is complete."""
        return self.framing is not BodyFraming.CLOSE

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
        try:
            await self._receiver.wait_for_data(timeout)
        except TimeoutError:
            return False
        return True

    async def read(self, timeout):
        """Return the next bytes of the body; empty at its proper end.

        At the end the connection goes back to the client.

        Parameters
        ----------
        timeout : float
            Longest wait for the next bytes (seconds).

        Raises
        ------
        balsamwind.exceptions.TransportError
            The body was cut, or nothing arrived within `timeout` seconds;
            the connection is closed.
        """
        try:
            await self._receiver.wait_for_data(timeout)
        except TimeoutError:
            self.close()
            raise exceptions.AnswerTimeout(
                f'{self._endpoint}: no data of the body for {timeout:.1f} s'
            ) from None
        chunk = self._receiver.take_data()
        if chunk is None:
            self.close()
            reason = self._client.report_refusal(self._endpoint, self._stream)
            reason = reason or 'connection closed before end of body'
            raise exceptions.TransportError(f'{self._endpoint}: {reason}')
        if not chunk:
            self._check_reset()
            self._return_connection()
        return chunk

    def _check_reset(self):
        """Check that a body that ends with its connection was not reset.

        Raises
        ------
        balsamwind.exceptions.TransportError
            The connection was reset, so the body may be incomplete.
        """
        if self.has_marked_end:
            return
        if self._stream.error is not None:
            self.close()
            raise exceptions.TransportError(
                f'{self._endpoint}: connection reset, body without length'
            )

    async def read_all(self, timeout, max_size=_read_body.MAX_BODY_SIZE):
        """Read the body to its end, see `read_body`."""
        return await _read_body.read_body(self, timeout, max_size)

    def release(self):
        """Reuse the connection if the body ends soon and without more data.

        The end is awaited in the background for at most `RELEASE_TIMEOUT`
        seconds; otherwise the connection is closed.
        """
        if self._connection is None:
            return
        if self._receiver.chunks or self._receiver.closed:
            self.close()
        elif self._receiver.finished:
            self._return_connection()
        else:
            loop = asyncio.get_running_loop()
            timer = loop.call_later(RELEASE_TIMEOUT, self.close)
            self._receiver.on_finish = lambda: self._finish_release(timer)

    def _finish_release(self, timer):
        timer.cancel()
        if self._connection is None:
            return
        if self._receiver.chunks:
            self.close()
        else:
            self._return_connection()

    def forbid_reuse(self):
        """Let the connection be closed at the end of the body."""
        self._may_reuse = False

    def _return_connection(self):
        says_close = self.headers.get('Connection', '').lower() == 'close'
        if says_close or not self._may_reuse:
            self.close()
            return
        connection, self._connection = self._connection, None
        keep_alive = _parse_keep_alive(self.headers)
        self._client.return_connection(
            self._endpoint, connection, self._reader, keep_alive
        )

    def close(self):
        """Close the connection, unless it went back to the client already."""
        if self._connection is not None:
            self._receiver.discard_chunks()
            self._connection.close()
            self._connection = None


def _parse_keep_alive(headers):
    """Return the idle timeout that the server announced (seconds), or None."""
    for part in headers.get('Keep-Alive', '').split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.strip().isdigit():
            return float(value)
    return None
