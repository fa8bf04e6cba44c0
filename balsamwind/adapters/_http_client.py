"""HTTP/1.1 client over tornado's connection layer.

`tornado.http1connection.HTTP1Connection` keeps connections alive, streams
with back-pressure, and says exactly when the first byte could have left,
which :class:`balsamwind.exceptions.TransportError` reports as `sent`.
"""

import asyncio
import collections
import dataclasses
import urllib.parse

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

from balsamwind import exceptions

MAX_IDLE = 64
"""Idle connections kept to one address (count)."""

MAX_BUFFERED_CHUNKS = 4
"""Body chunks read ahead of the consumer (count)."""

CHUNK_SIZE = 65536
"""Largest body chunk (bytes)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """Whole answer to a request.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tornado.httputil.HTTPHeaders
        Headers.
    body : bytes
        Body.
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


class _Receiver(httputil.HTTPMessageDelegate):
    """Collects what the connection reads, with back-pressure."""

    def __init__(self):
        self.start = asyncio.get_running_loop().create_future()
        self.chunks = collections.deque()
        self.finished = False
        self.closed = False
        self._arrived = asyncio.Event()
        self._drained = asyncio.Event()
        self._drained.set()

    def headers_received(self, start_line, headers):
        if not self.start.done():
            self.start.set_result((start_line.code, headers))

    async def data_received(self, chunk):
        self.chunks.append(chunk)
        self._arrived.set()
        if len(self.chunks) >= MAX_BUFFERED_CHUNKS:
            self._drained.clear()
            await self._drained.wait()

    def finish(self):
        self.finished = True
        self._arrived.set()

    def on_connection_close(self):
        self.closed = True
        self._arrived.set()
        self._drained.set()
        if not self.start.done():
            self.start.set_exception(iostream.StreamClosedError())
            self.start.exception()

    def end(self, reader):
        """Note that nothing more is read; before the headers too."""
        if not self.finished:
            self.on_connection_close()

    async def take(self):
        """Next chunk; empty bytes at the end; None if it was cut."""
        while not self.chunks:
            if self.finished:
                return b''
            if self.closed:
                return None
            self._arrived.clear()
            await self._arrived.wait()
        chunk = self.chunks.popleft()
        self._drained.set()
        return chunk

    def discard(self):
        """Let the reader go on without a consumer."""
        self.chunks.clear()
        self._drained.set()


class StreamedResponse:
    """Answer whose body is read as it comes."""

    __slots__ = (
        '_client',
        '_connection',
        '_place',
        '_reader',
        '_receiver',
        'headers',
        'status',
    )

    def __init__(self, client, place, connection, receiver, reader):
        self._client = client
        self._place = place
        self._connection = connection
        self._receiver = receiver
        self._reader = reader
        self.status, self.headers = receiver.start.result()

    async def read(self, timeout):
        """Next bytes of the body; empty at its proper end.

        Raises
        ------
        balsamwind.exceptions.TransportError
            The body was cut, or nothing came within `timeout` seconds.
        """
        if self._receiver.chunks:
            return await self._receiver.take()
        try:
            async with asyncio.timeout(timeout):
                chunk = await self._receiver.take()
        except TimeoutError:
            self.close()
            raise exceptions.TransportError(
                f'{self._place}: no data for {timeout:.1f} s'
            ) from None
        if chunk is None:
            self.close()
            raise exceptions.TransportError(f'{self._place}: body was cut')
        if not chunk:
            self._client.give_back(self._place, self._connection, self._reader)
            self._connection = None
        return chunk

    async def read_all(self, timeout):
        """Whole body."""
        parts = []
        while part := await self.read(timeout):
            parts.append(part)
        return b''.join(parts)

    def close(self):
        """Close the connection, unless the body was read to its end."""
        if self._connection is not None:
            self._receiver.discard()
            self._connection.close()
            self._connection = None


class HttpClient:
    """Pool of connections, one list of idle ones for each address.

    Parameters
    ----------
    ssl_context : ssl.SSLContext or None
        For addresses that are reached by TLS.
    """

    __slots__ = ('_idle', '_ssl_context', '_tcp', 'opened')

    def __init__(self, ssl_context=None):
        self._tcp = tcpclient.TCPClient()
        self._idle = {}
        self._ssl_context = ssl_context
        self.opened = 0

    async def fetch(
        self, method, url, *, headers=(), body=b'', timeout, fresh=False
    ):
        """Send a request and read the whole answer.

        Raises
        ------
        balsamwind.exceptions.TransportError
            `sent` says whether a byte may have left.
        """
        response = await self.open(
            method,
            url,
            headers=headers,
            body=body,
            timeout=timeout,
            fresh=fresh,
        )
        try:
            content = await response.read_all(timeout)
        finally:
            response.close()
        return Response(response.status, response.headers, content)

    async def open(
        self,
        method,
        url,
        *,
        headers=(),
        body=b'',
        timeout,
        connect_timeout=None,
        fresh=False,
    ):
        """Send a request and wait for the headers of the answer.

        Parameters
        ----------
        method, url : str
            HTTP method and absolute URL.
        headers : iterable of (str, str)
            Headers beside Host and Content-Length.
        body : bytes
            Request body.
        timeout : float
            For connecting and again for the headers (seconds).
        connect_timeout : float or None
            For connecting, if it differs (seconds).
        fresh : bool
            Whether to use a new connection, so that an idle connection
            closed by the server can't leave the outcome in doubt.

        Returns
        -------
        StreamedResponse
        """
        parts = urllib.parse.urlsplit(url)
        place = f'{parts.hostname}:{parts.port}'
        stream = None if fresh else self._take_idle(place)
        if stream is None:
            stream = await self._connect(
                parts, place, connect_timeout or timeout
            )
        connection = http1connection.HTTP1Connection(
            stream,
            True,
            http1connection.HTTP1ConnectionParameters(
                chunk_size=CHUNK_SIZE, max_body_size=1 << 40
            ),
        )
        return await self._exchange(
            connection, place, method, parts, headers, body, timeout
        )

    async def _exchange(
        self, connection, place, method, parts, headers, body, timeout
    ):
        receiver = _Receiver()
        path = parts.path or '/'
        if parts.query:
            path = f'{path}?{parts.query}'
        fields = httputil.HTTPHeaders({'Host': place})
        if body or method in ('POST', 'PUT', 'PATCH'):
            fields['Content-Length'] = str(len(body))
        for name, value in headers:
            fields.add(name, value)
        start = httputil.RequestStartLine(method, path, 'HTTP/1.1')
        try:
            # Not awaited: the answer may come before the body has left.
            written = connection.write_headers(start, fields, body or None)
            written.add_done_callback(lambda future: future.exception())
            connection.finish()
            reader = asyncio.ensure_future(connection.read_response(receiver))
            reader.add_done_callback(_take_exception)
            reader.add_done_callback(receiver.end)
            async with asyncio.timeout(timeout):
                await receiver.start
        except TimeoutError:
            connection.close()
            raise exceptions.TransportError(
                f'{place}: no answer within {timeout:.1f} s'
            ) from None
        except (OSError, iostream.StreamClosedError) as error:
            connection.close()
            raise exceptions.TransportError(f'{place}: {error}') from None
        except BaseException:
            connection.close()
            raise
        return StreamedResponse(self, place, connection, receiver, reader)

    async def _connect(self, parts, place, timeout):
        context = self._ssl_context if parts.scheme == 'https' else None
        try:
            async with asyncio.timeout(timeout):
                stream = await self._tcp.connect(
                    parts.hostname, parts.port, ssl_options=context
                )
        except (OSError, TimeoutError, iostream.StreamClosedError) as error:
            raise exceptions.TransportError(
                f'{place}: can not connect: {error}', sent=False
            ) from None
        stream.set_nodelay(True)
        self.opened += 1
        return stream

    def _take_idle(self, place):
        idle = self._idle.get(place)
        while idle:
            stream = idle.pop()
            if not stream.closed():
                return stream
        return None

    def give_back(self, place, connection, reader):
        """Keep a connection whose answer was read to its end."""

        def keep(task):
            if task.cancelled() or task.exception() or not task.result():
                connection.close()
                return
            stream = connection.detach()
            idle = self._idle.setdefault(place, [])
            if stream.closed() or len(idle) >= MAX_IDLE:
                stream.close()
                return
            idle.append(stream)

        if reader.done():
            keep(reader)
        else:
            reader.add_done_callback(keep)

    def close(self):
        """Close all idle connections."""
        for idle in self._idle.values():
            for stream in idle:
                stream.close()
        self._idle.clear()


def _take_exception(task):
    if not task.cancelled():
        task.exception()
