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

from balsamwind.adapters import _http_receiver
from balsamwind.adapters import _idle
from balsamwind import exceptions

CHUNK_SIZE = 65536
"""Largest body chunk (bytes)."""

CONNECT_TIMEOUT = 2.0
"""Longest wait for a connection (seconds)."""

MAX_STRAY_ANSWERS = 2
"""Answers to earlier requests that are read past on one connection
(count)."""

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


class HttpClient:
    """Pool of connections, one list of idle ones for each address.

    Parameters
    ----------
    ssl_context : ssl.SSLContext or None
        For addresses that are reached by TLS.
    user_agent : str
        Who asks, for the logs of the other side.
    """

    __slots__ = ('_idle', '_ssl_context', '_user_agent', 'opened')

    def __init__(self, ssl_context=None, user_agent='balsamwind'):
        self._user_agent = user_agent
        self._idle = _idle.IdleConnections()
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
        connect_timeout=CONNECT_TIMEOUT,
        matches=None,
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
        connect_timeout : float
            For connecting (seconds).
        matches : callable or None
            Tells from an answer's headers whether it is this request's; an
            answer of an earlier request is read past.

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
        exchange = (place, method, parts, headers, body, timeout, matches)
        stream = None if fresh else self._idle.take(place)
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
                parts, place, min(timeout, connect_timeout)
            )
        except exceptions.TransportError as error:
            error.sent = reused
            raise
        return await self._exchange(stream, *exchange)

    async def _exchange(
        self, stream, place, method, parts, headers, body, timeout, matches
    ):
        connection = _make_connection(stream)
        try:
            async with asyncio.timeout(timeout):
                self._send(connection, place, method, parts, headers, body)
                return await self._receive(connection, place, matches)
        except TimeoutError:
            stream.close()
            self.forget(place)
            raise exceptions.AnswerTimeout(
                f'{place}: no answer within {timeout:.1f} s'
            ) from None
        except (OSError, iostream.StreamClosedError) as error:
            stream.close()
            raise exceptions.TransportError(f'{place}: {error}') from None
        except BaseException:
            stream.close()
            raise

    def _send(self, connection, place, method, parts, headers, body):
        path = parts.path or '/'
        if parts.query:
            path = f'{path}?{parts.query}'
        fields = httputil.HTTPHeaders({'User-Agent': self._user_agent})
        for name, value in headers:
            fields.add(name, value)
        if 'Host' not in fields:
            fields['Host'] = place
        if body or method in ('POST', 'PUT', 'PATCH'):
            fields['Content-Length'] = str(len(body))
        start = httputil.RequestStartLine(method, path, 'HTTP/1.1')
        # Not awaited: the answer may come before the body has left.
        written = connection.write_headers(start, fields, body or None)
        written.add_done_callback(lambda future: future.exception())
        connection.finish()

    async def _receive(self, connection, place, matches):
        for _ in range(MAX_STRAY_ANSWERS + 1):
            receiver = _http_receiver.Receiver()
            reader = asyncio.ensure_future(connection.read_response(receiver))
            reader.add_done_callback(receiver.note_reader_done)
            await receiver.start
            if matches is None or matches(receiver.start.result()[1]):
                return StreamedResponse(
                    self, place, connection, receiver, reader
                )
            receiver.ignored = True
            receiver.discard()
            await reader
            stream = connection.detach()
            if stream.closed():
                break
            connection = _make_connection(stream)
            connection.finish()
        raise exceptions.BadAnswer(f'{place}: answers of other requests only')

    async def _connect(self, parts, place, timeout):
        context = self._ssl_context if parts.scheme == 'https' else None
        stream = None
        try:
            family, _, _, _, address = socket.getaddrinfo(
                parts.hostname,
                parts.port,
                type=socket.SOCK_STREAM,
                flags=socket.AI_NUMERICHOST,
            )[0]
            stream = _idle.ClientStream(
                socket.socket(family, socket.SOCK_STREAM)
            )
            async with asyncio.timeout(timeout):
                await stream.connect(address)
                if context is not None:
                    # From here on the TLS stream owns the socket.
                    plain, stream = stream, None
                    stream = await plain.start_tls(
                        False, context, server_hostname=parts.hostname
                    )
        except (OSError, TimeoutError, iostream.StreamClosedError) as error:
            if stream is not None:
                stream.close()
            raise exceptions.TransportError(
                f'{place}: can not connect: {error}', sent=False
            ) from None
        stream.set_nodelay(True)
        self.opened += 1
        return stream

    def give_back(self, place, connection, reader, keep_alive=None):
        """Keep a connection whose answer was read to its end."""

        def keep(task):
            if task.cancelled() or task.exception() or not task.result():
                connection.close()
                return
            self._idle.put(place, connection.detach(), keep_alive)

        if reader.done():
            keep(reader)
        else:
            reader.add_done_callback(keep)

    def forget(self, place):
        """Close the idle connections to an address that is silent.

        Connections may go silent for good while new ones work.
        """
        self._idle.drop(place)

    def close(self):
        """Close all idle connections."""
        self._idle.close()


def _make_connection(stream):
    return http1connection.HTTP1Connection(
        stream,
        True,
        http1connection.HTTP1ConnectionParameters(
            chunk_size=CHUNK_SIZE, max_body_size=1 << 40
        ),
    )


def _read_keep_alive(headers):
    """Idle time-out that the server states (seconds), or None."""
    for part in headers.get('Keep-Alive', '').split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.strip().isdigit():
            return float(value)
    return None
