"""HTTP/1.1 client over tornado's connection layer.

`tornado.http1connection.HTTP1Connection` supports persistent connections and
streaming with back-pressure. It also shows exactly when the first byte of a
request may have been sent, which
:class:`balsamwind.exceptions.TransportError` reports as `sent`.
"""

import asyncio
import dataclasses
import socket
import urllib.parse

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from balsamwind.adapters import _connection_pool
from balsamwind.adapters import _http_receiver
from balsamwind.adapters import _read_body
from balsamwind.adapters import _response_head
from balsamwind.adapters import _streamed_response
from balsamwind import exceptions

CHUNK_SIZE = 65536
"""Largest chunk of a response body that is read at once (bytes)."""

CONNECT_TIMEOUT = 2.0
"""Default timeout for opening a connection, TLS included (seconds)."""

MAX_STALE_RESPONSES = 2
"""Responses to earlier requests that one request skips on its connection
(count)."""

DOUBTFUL_RESPONSE_TIME = 1.0
"""Time in which the response to a request must follow one that may belong to
an earlier request (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """Complete response to a request.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : tornado.httputil.HTTPHeaders
        Response headers.
    body : bytes
        Response body.
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


@dataclasses.dataclass(slots=True)
class _Exchange:
    """Wait for the response to one request.

    Parameters
    ----------
    endpoint : str
        ``host:port`` of the server.
    is_own_response : callable or None
        See `HttpClient.open`.
    may_have_earlier : bool
        Whether a response to an earlier request may come on the connection.
    is_doubtful : bool
        Whether one came that may belong to an earlier request.
    timeout : asyncio.Timeout or None
        Limit of the wait.
    """

    endpoint: str
    is_own_response: object
    may_have_earlier: bool
    is_doubtful: bool = False
    timeout: asyncio.Timeout | None = None

    def accepts(self, headers):
        """Tell whether a response is the one that is awaited.

        What may belong to an earlier request promises nothing. The own
        response follows soon then, or the server's state is not known.
        """
        if self.is_own_response is None:
            return True
        is_own = self.is_own_response(headers)
        if is_own is None and not self.may_have_earlier:
            return True
        self.may_have_earlier = True
        if is_own is None:
            self._limit_doubt()
        return bool(is_own)

    def _limit_doubt(self):
        self.is_doubtful = True
        latest = asyncio.get_running_loop().time() + DOUBTFUL_RESPONSE_TIME
        self.timeout.reschedule(min(self.timeout.when(), latest))


class HttpClient:
    """HTTP client that reuses idle connections.

    Parameters
    ----------
    ssl_context : ssl.SSLContext or None
        Client-side TLS context for ``https`` URLs; None connects to them
        without TLS.
    user_agent : str
        Value of the ``User-Agent`` header, which identifies this process in
        the server's logs.

    Attributes
    ----------
    opened_connections : int
        Connections opened so far (count).
    on_dropped_response : callable
        Called with the ``host:port`` of the server and whether it may have
        been the right one, for each response that is skipped.
    on_malformed_answer : callable
        Called with the ``host:port`` of the server, the tag of the request,
        a `HeadDefect` and the reason (str), for each answer that is none.
    """

    __slots__ = (
        '_connection_pool',
        '_ssl_context',
        '_user_agent',
        'on_dropped_response',
        'on_malformed_answer',
        'opened_connections',
    )

    def __init__(self, ssl_context=None, user_agent='balsamwind'):
        self._user_agent = user_agent
        self._connection_pool = _connection_pool.IdleConnectionPool()
        self._ssl_context = ssl_context
        self.opened_connections = 0
        self.on_dropped_response = lambda endpoint, is_doubtful: None
        self.on_malformed_answer = lambda endpoint, tag, defect, reason: None

    async def fetch(
        self,
        method,
        url,
        *,
        headers=(),
        body=b'',
        timeout,
        new_connection=False,
        retry_on_new_connection=False,
        max_body_size=_read_body.MAX_BODY_SIZE,
    ):
        """Send a request and read the complete response.

        Parameters
        ----------
        method, url : str
            HTTP method, and absolute URL whose host is an IP address.
        headers : iterable of (str, str)
            Headers in addition to ``User-Agent``, ``Host`` and
            ``Content-Length``; a ``Host`` among them replaces the default.
        body : bytes
            Request body.
        timeout : float
            Timeout for connecting, for the response headers and for each
            chunk of the body, each counted anew (seconds).
        new_connection : bool
            Whether to open a new connection. An idle connection that the
            server closes at the same time leaves the outcome of the request
            unknown.
        retry_on_new_connection : bool
            Whether the request may be sent again, on a new connection, if
            an idle connection fails before the response begins.
        max_body_size : int
            Largest body of the response (bytes).

        Returns
        -------
        Response

        Raises
        ------
        balsamwind.exceptions.TransportError
            The request failed; `sent` says whether a byte of it may have
            been sent.
        """
        response = await self.open(
            method,
            url,
            headers=headers,
            body=body,
            timeout=timeout,
            new_connection=new_connection,
            retry_on_new_connection=retry_on_new_connection,
        )
        try:
            content = await response.read_all(timeout, max_body_size)
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
        new_connection=False,
        retry_on_new_connection=False,
        connect_timeout=CONNECT_TIMEOUT,
        is_own_response=None,
        before_send=None,
        request_tag='',
    ):
        """Send a request and wait for the headers of the response.

        Parameters
        ----------
        method, url : str
            HTTP method, and absolute URL whose host is an IP address.
        headers : iterable of (str, str)
            Headers in addition to ``User-Agent``, ``Host`` and
            ``Content-Length``; a ``Host`` among them replaces the default.
        body : bytes
            Request body.
        timeout : float
            Timeout for connecting and again for the response headers
            (seconds).
        new_connection : bool
            Whether to open a new connection. An idle connection that the
            server closes at the same time leaves the outcome of the request
            unknown.
        retry_on_new_connection : bool
            Whether the request may be sent again, on a new connection, if
            an idle connection fails before the response begins.
        connect_timeout : float
            Upper bound of the timeout for connecting (seconds).
        is_own_response : callable or None
            Takes the headers of a response and returns whether it belongs to
            this request, or None if they don't show it. A response to an
            earlier request is skipped. One that may be of an earlier request
            is skipped as well, except the first on a new connection. None
            accepts any response.
        before_send : callable or None
            Called without arguments each time immediately before the request
            is sent, after any wait for a connection. If it raises, the
            request is not sent.
        request_tag : str
            Identifies the request in its responses. A connection that has
            carried it before is not reused, as a second copy of that response
            would look like this one's; empty for any connection.

        Returns
        -------
        StreamedResponse

        Raises
        ------
        balsamwind.exceptions.TransportError
            The request failed; `sent` says whether a byte of it may have
            been sent.
        """
        parts = urllib.parse.urlsplit(url)
        endpoint = f'{parts.hostname}:{parts.port}'
        arguments = (
            endpoint,
            method,
            _find_target(url, parts),
            headers,
            body,
            timeout,
            is_own_response,
            before_send,
            request_tag,
        )
        stream = None
        # An answer to another method would be read without its body, which
        # would look like the next answer.
        if not new_connection and method != 'HEAD':
            stream = self._connection_pool.take(endpoint, request_tag)
        reused = stream is not None
        if reused:
            try:
                return await self._send_and_receive(stream, True, *arguments)
            except exceptions.AnswerTimeout:
                raise
            except exceptions.TransportError:
                if not retry_on_new_connection:
                    raise
        try:
            stream = await self._connect(
                parts, endpoint, min(timeout, connect_timeout)
            )
        except exceptions.TransportError as error:
            error.sent = reused
            raise
        response = await self._send_and_receive(stream, False, *arguments)
        if method == 'HEAD':
            # A second copy of it would be read with the body it announces.
            response.forbid_reuse()
        return response

    async def is_reachable(self, endpoint, timeout):
        """Tell whether a server accepts a new connection.

        Parameters
        ----------
        endpoint : str
            ``host:port`` of the server.
        timeout : float
            Longest wait for the connection (seconds).

        Returns
        -------
        bool
        """
        return await self.try_connecting(endpoint, timeout) is None

    def has_idle_connection(self, endpoint):
        """Tell whether a server keeps an idle connection of this client open.

        A process that has ended keeps none.

        Parameters
        ----------
        endpoint : str
            ``host:port`` of the server.

        Returns
        -------
        bool
        """
        return self._connection_pool.has_open(endpoint)

    async def try_connecting(self, endpoint, timeout):
        """Open a connection and close it again.

        Parameters
        ----------
        endpoint, timeout
            As for `is_reachable`.

        Returns
        -------
        balsamwind.exceptions.TransportError or None
            Why it could not be opened; None if it was.
        """
        parts = urllib.parse.urlsplit(f'http://{endpoint}')
        try:
            stream = await self._connect(parts, endpoint, timeout)
        except exceptions.TransportError as error:
            return error
        stream.close()
        return None

    async def _send_and_receive(
        self,
        stream,
        reused,
        endpoint,
        method,
        target,
        headers,
        body,
        timeout,
        is_own_response,
        before_send,
        request_tag,
    ):
        connection = _make_connection(stream)
        if request_tag:
            _connection_pool.add_tag(stream, request_tag)
        exchange = _Exchange(endpoint, is_own_response, reused)
        try:
            if before_send is not None:
                before_send()
            async with asyncio.timeout(timeout) as exchange.timeout:
                self._send(connection, endpoint, method, target, headers, body)
                return await self._receive(connection, exchange)
        except TimeoutError:
            _connection_pool.abandon(stream)
            self.close_idle_connections(endpoint)
            if exchange.is_doubtful:
                raise exceptions.BadAnswer(
                    f'{endpoint}: got only an answer that may belong to an'
                    ' earlier request'
                ) from None
            raise exceptions.AnswerTimeout(
                f'{endpoint}: no answer within {timeout:.1f} s'
            ) from None
        except (OSError, iostream.StreamClosedError) as error:
            stream.close()
            reason = self.report_refusal(endpoint, stream) or error
            raise exceptions.TransportError(f'{endpoint}: {reason}') from None
        except _response_head.MalformedHead as error:
            _connection_pool.abandon(stream)
            self.on_malformed_answer(
                endpoint, request_tag, error.defect, error.message
            )
            raise exceptions.BadAnswer(
                f'{endpoint}: malformed answer: {error.message}'
            ) from None
        except BaseException:
            _connection_pool.abandon(stream)
            raise

    def _send(self, connection, endpoint, method, target, headers, body):
        fields = httputil.HTTPHeaders({'User-Agent': self._user_agent})
        for name, value in headers:
            fields.add(name, value)
        if 'Host' not in fields:
            fields['Host'] = endpoint
        if body or method in ('POST', 'PUT', 'PATCH'):
            fields['Content-Length'] = str(len(body))
        start = httputil.RequestStartLine(method, target, 'HTTP/1.1')
        # Not awaited: the response may arrive before the body was sent.
        written = connection.write_headers(start, fields, body or None)
        written.add_done_callback(lambda future: future.exception())
        connection.finish()

    async def _receive(self, connection, exchange):
        for _ in range(MAX_STALE_RESPONSES + 1):
            receiver = _http_receiver.ResponseReceiver()
            reader = asyncio.ensure_future(connection.read_response(receiver))
            reader.add_done_callback(receiver.handle_reader_done)
            try:
                _, headers = await receiver.head
            finally:
                receiver.end_refused(connection)
            if exchange.accepts(headers):
                return _streamed_response.StreamedResponse(
                    self, exchange.endpoint, connection, receiver, reader
                )
            self.on_dropped_response(exchange.endpoint, exchange.is_doubtful)
            receiver.discarding = True
            receiver.discard_chunks()
            await reader
            stream = connection.detach()
            if stream.closed():
                break
            connection = _make_connection(stream)
            connection.finish()
        raise exceptions.BadAnswer(
            f'{exchange.endpoint}: got only responses to earlier requests'
        )

    async def _connect(self, parts, endpoint, timeout):
        context = self._ssl_context if parts.scheme == 'https' else None
        stream = None
        try:
            family, _, _, _, address = socket.getaddrinfo(
                parts.hostname,
                parts.port,
                type=socket.SOCK_STREAM,
                flags=socket.AI_NUMERICHOST,
            )[0]
            stream = _connection_pool.ClientStream(
                socket.socket(family, socket.SOCK_STREAM)
            )
            async with asyncio.timeout(timeout):
                await stream.connect(address)
                if context is not None:
                    # From here on the TLS stream owns the socket, so an
                    # error must not close the plain stream.
                    plain, stream = stream, None
                    stream = await plain.start_tls(
                        False, context, server_hostname=parts.hostname
                    )
        except (OSError, TimeoutError, iostream.StreamClosedError) as error:
            if stream is not None:
                stream.close()
            # tornado hides the reason in an attribute of its error.
            reason = getattr(error, 'real_error', None) or error
            error_type = (
                exceptions.ConnectionRefused
                if isinstance(reason, ConnectionRefusedError)
                else exceptions.TransportError
            )
            raise error_type(
                f'{endpoint}: connection could not be opened: {reason!r}',
                sent=False,
            ) from None
        except BaseException:
            if stream is not None:
                _connection_pool.abandon(stream)
            raise
        stream.set_nodelay(True)
        self.opened_connections += 1
        return stream

    def report_refusal(self, endpoint, stream):
        """Report why the parser has refused an answer, if it has.

        Parameters
        ----------
        endpoint : str
            ``host:port`` of the server.
        stream : tornado.iostream.IOStream
            Stream of the connection, which is closed.

        Returns
        -------
        str
            The reason, for an error; empty if the parser has refused nothing.
        """
        refusal = _connection_pool.find_refusal(stream)
        if not refusal:
            return ''
        defect = _response_head.HeadDefect.SYNTAX
        tag = stream.tags[-1] if stream.tags else ''
        self.on_malformed_answer(endpoint, tag, defect, refusal)
        return f'malformed answer: {refusal}'

    def return_connection(self, endpoint, connection, reader, keep_alive=None):
        """Return a connection to the pool once its response has been read.

        Parameters
        ----------
        endpoint : str
            ``host:port`` of the server.
        connection : tornado.http1connection.HTTP1Connection
            Connection whose response body has ended.
        reader : asyncio.Task
            Task that reads the response. The connection is closed if the
            task fails or says that the connection can not be reused.
        keep_alive : float or None
            Idle timeout that the server announced (seconds).
        """

        def put_into_pool(task):
            if task.cancelled() or task.exception() or not task.result():
                connection.close()
                return
            self._connection_pool.put(
                endpoint, connection.detach(), keep_alive
            )

        if reader.done():
            put_into_pool(reader)
        else:
            reader.add_done_callback(put_into_pool)

    def close_idle_connections(self, endpoint):
        """Close the idle connections to a server that did not respond.

        Established connections may stay silent for good, while new
        connections to the same server work.

        Parameters
        ----------
        endpoint : str
            ``host:port`` of the server.
        """
        self._connection_pool.close_endpoint(endpoint)

    def close(self):
        """Close all idle connections."""
        self._connection_pool.close()


def _find_target(url, parts):
    """Return what follows the host in a URL, as it is."""
    target = url[len(f'{parts.scheme}://{parts.netloc}') :]
    return target if target.startswith('/') else f'/{target}'


def _make_connection(stream):
    return http1connection.HTTP1Connection(
        stream,
        True,
        http1connection.HTTP1ConnectionParameters(
            chunk_size=CHUNK_SIZE, max_body_size=_response_head.MAX_LENGTH
        ),
    )
