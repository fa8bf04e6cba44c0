"""HTTP/1.1 client over tornado's connection layer.

`tornado.http1connection.HTTP1Connection` keeps connections alive, streams
with back-pressure, and says exactly when the first byte could have left,
which :class:`balsamwind.exceptions.TransportError` reports as `sent`.
"""

import asyncio
import dataclasses
import socket
import urllib.parse

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import netutil
from tornado import tcpclient

from balsamwind.adapters import _http_receiver
from balsamwind import exceptions

MAX_IDLE = 64
"""Idle connections kept to one address (count)."""

CHUNK_SIZE = 65536
"""Largest body chunk (bytes)."""

CONNECT_TIMEOUT = 2.0
"""Longest wait for a connection (seconds)."""

RELEASE_TIMEOUT = 1.0
"""Longest wait for the end of a body that is no longer read (seconds)."""


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


class _NumericResolver(netutil.Resolver):
    """Takes IP numbers only, so that no thread has to look up names."""

    async def resolve(self, host, port, family=socket.AF_UNSPEC):
        rows = socket.getaddrinfo(
            host,
            port,
            family,
            socket.SOCK_STREAM,
            flags=socket.AI_NUMERICHOST,
        )
        return [(row[0], row[4]) for row in rows]


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
            self._keep()
        return chunk

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
        self._client.give_back(self._place, connection, self._reader)

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
    user_agent : str
        Who asks, for the logs of the other side.
    """

    __slots__ = ('_idle', '_ssl_context', '_tcp', '_user_agent', 'opened')

    def __init__(self, ssl_context=None, user_agent='balsamwind'):
        self._user_agent = user_agent
        self._tcp = tcpclient.TCPClient(_NumericResolver())
        self._idle = {}
        self._ssl_context = ssl_context
        self.opened = 0

    async def fetch(
        self,
        method,
        url,
        *,
        headers=(),
        body=b'',
        timeout,
        fresh=False,
        repeat=False,
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
            repeat=repeat,
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
        fresh=False,
        repeat=False,
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
        fresh : bool
            Whether to use a new connection, so that an idle connection
            closed by the server can't leave the outcome in doubt.
        repeat : bool
            Whether the request may be sent again, on a new connection, if
            an idle one proves closed before the answer begins.

        Returns
        -------
        StreamedResponse

        Raises
        ------
        balsamwind.exceptions.TransportError
            `sent` says whether a byte may have left.
        """
        parts = urllib.parse.urlsplit(url)
        place = f'{parts.hostname}:{parts.port}'
        exchange = (place, method, parts, headers, body, timeout)
        stream = None if fresh else self._take_idle(place)
        reused = stream is not None
        if reused:
            try:
                return await self._exchange(stream, *exchange)
            except exceptions.AnswerTimeout:
                raise
            except exceptions.TransportError:
                if not repeat:
                    raise
        try:
            stream = await self._connect(
                parts, place, min(timeout, CONNECT_TIMEOUT)
            )
        except exceptions.TransportError as error:
            error.sent = reused
            raise
        return await self._exchange(stream, *exchange)

    async def _exchange(
        self, stream, place, method, parts, headers, body, timeout
    ):
        connection = http1connection.HTTP1Connection(
            stream,
            True,
            http1connection.HTTP1ConnectionParameters(
                chunk_size=CHUNK_SIZE, max_body_size=1 << 40
            ),
        )
        receiver = _http_receiver.Receiver()
        path = parts.path or '/'
        if parts.query:
            path = f'{path}?{parts.query}'
        fields = httputil.HTTPHeaders(
            {'Host': place, 'User-Agent': self._user_agent}
        )
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
            reader.add_done_callback(receiver.note_reader_done)
            async with asyncio.timeout(timeout):
                await receiver.start
        except TimeoutError:
            connection.close()
            raise exceptions.AnswerTimeout(
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
