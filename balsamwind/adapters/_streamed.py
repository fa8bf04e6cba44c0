"""Answers of an HTTP client whose body is read as it comes."""

import asyncio

from balsamwind import exceptions

RELEASE_TIMEOUT = 1.0
"""Longest wait for the end of a body that is no longer read (seconds)."""


class StreamedResponse:
    """Answer whose body is read as it comes."""

    __slots__ = (
        '_client',
        '_connection',
        '_place',
        '_reader',
        '_receiver',
        '_stream',
        'headers',
        'status',
    )

    def __init__(self, client, place, connection, receiver, reader):
        self._client = client
        self._place = place
        self._connection = connection
        self._stream = connection.stream
        self._receiver = receiver
        self._reader = reader
        self.status, self.headers = receiver.start.result()

    async def wait(self, timeout):
        """Wait for something to read; False if nothing comes in time."""
        try:
            await self._receiver.wait(timeout)
        except TimeoutError:
            return False
        return True

    async def read(self, timeout):
        """Next bytes of the body; empty at its proper end.

        Raises
        ------
        balsamwind.exceptions.TransportError
            The body was cut, or nothing came within `timeout` seconds.
        """
        try:
            await self._receiver.wait(timeout)
        except TimeoutError:
            self.close()
            raise exceptions.AnswerTimeout(
                f'{self._place}: no data for {timeout:.1f} s'
            ) from None
        chunk = self._receiver.take()
        if chunk is None:
            self.close()
            raise exceptions.TransportError(f'{self._place}: body was cut')
        if not chunk:
            self._check_end()
            self._keep()
        return chunk

    def _check_end(self):
        """Check that a body that ends with its connection was not reset."""
        if 'Content-Length' in self.headers or not self._reader.done():
            return
        if self._stream.error is not None:
            self.close()
            raise exceptions.TransportError(f'{self._place}: body was cut')

    async def read_all(self, timeout):
        """Whole body."""
        parts = []
        while part := await self.read(timeout):
            parts.append(part)
        return b''.join(parts)

    def release(self):
        """Keep the connection if the body ends soon, and without data."""
        if self._connection is None:
            return
        if self._receiver.chunks or self._receiver.closed:
            self.close()
        elif self._receiver.finished:
            self._keep()
        else:
            loop = asyncio.get_running_loop()
            timer = loop.call_later(RELEASE_TIMEOUT, self.close)
            self._receiver.on_finish = lambda: self._end_release(timer)

    def _end_release(self, timer):
        timer.cancel()
        if self._connection is None:
            return
        if self._receiver.chunks:
            self.close()
        else:
            self._keep()

    def _keep(self):
        if self.headers.get('Connection', '').lower() == 'close':
            self.close()
            return
        connection, self._connection = self._connection, None
        keep_alive = _read_keep_alive(self.headers)
        self._client.give_back(
            self._place, connection, self._reader, keep_alive
        )

    def close(self):
        """Close the connection, unless the body was read to its end."""
        if self._connection is not None:
            self._receiver.discard()
            self._connection.close()
            self._connection = None


def _read_keep_alive(headers):
    """Idle time-out that the server states (seconds), or None."""
    for part in headers.get('Keep-Alive', '').split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.strip().isdigit():
            return float(value)
    return None
