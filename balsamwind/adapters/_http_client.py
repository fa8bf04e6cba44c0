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
from balsamwind.adapters import _streamed
from balsamwind import exceptions

CHUNK_SIZE = 65536
"""Largest body chunk (bytes)."""

CONNECT_TIMEOUT = 2.0
"""Longest wait for a connection (seconds)."""

MAX_STRAY_ANSWERS = 2
"""Answers to earlier requests that are read past on one connection
(count)."""


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
                return _streamed.StreamedResponse(
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
