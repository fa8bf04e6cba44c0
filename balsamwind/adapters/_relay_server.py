"""HTTP server that passes the requests of callers to a relay, as bytes."""

import asyncio
import json
import math
import socket
import weakref

from tornado import httpserver
from tornado import httputil
from tornado import iostream

from balsamwind.adapters import _body_receiver
from balsamwind.adapters import _connection_pool
from balsamwind.adapters import _outgoing_status
from balsamwind import admission
from balsamwind import exceptions
from balsamwind import relay

HEADER_SIZE_MARGIN = 4096
"""Size beyond the limit up to which header blocks are still read, so that the
caller gets an error response and not a closed connection (bytes)."""

IDLE_TIMEOUT_MARGIN = 1.0
"""Time for which an idle connection is kept beyond the limit (seconds)."""

LIBRARY_MAX_BODY_SIZE = 1 << 40
"""Largest body that tornado accepts (bytes); too large to take effect, as this
module checks the limit of the settings itself."""


SWEEP_INTERVAL = 1.0
"""Interval of the search for bodies that do not come on (seconds)."""


class _Shutdown:
    """How far a server is on its way to the end.

    Attributes
    ----------
    announced : bool
        Whether responses announce the close of their connection.
    is_closing : bool
        Whether connections without a request are closed.
    streams : weakref.WeakSet of tornado.iostream.IOStream
        Connections whose close was announced.
    """

    __slots__ = ('announced', 'is_closing', 'streams')

    def __init__(self):
        self.announced = False
        self.is_closing = False
        self.streams = weakref.WeakSet()


class Responder:
    """Writes the response to one request of a caller.

    Parameters
    ----------
    connection : tornado.http1connection.HTTP1Connection
        Connection of the caller.
    shutdown : _Shutdown
        Tells whether the response announces the close of its connection.

    Attributes
    ----------
    started : bool
        Whether the status line has been written.
    done : bool
        Whether the response has ended or the connection was closed.
    status : int
        Status code of the response; 0 before the start.
    http_version : str
        Version of the request, as in its request line.
    """

    __slots__ = (
        '_closed',
        '_connection',
        '_has_marked_end',
        '_shutdown',
        'done',
        'http_version',
        'started',
        'status',
    )

    def __init__(self, connection, shutdown):
        self._connection = connection
        self._shutdown = shutdown
        self._closed = False
        self._has_marked_end = True
        self.started = False
        self.done = False
        self.status = 0
        self.http_version = 'HTTP/1.1'

    def is_caller_gone(self):
        """Tell whether the caller has closed its connection.

        A close that the event loop has not processed yet counts as well: on
        a slow node it may wait behind the request itself.
        """
        stream = self._connection.stream
        if self._closed or stream is None or stream.closed():
            return True
        return _is_closed_by_peer(stream.socket)

    def start(self, status, headers):
        """Write the status line and the headers.

        Parameters
        ----------
        status : int
            HTTP status code.
        headers : iterable of (str, str)
            Names and values of all headers.

        Raises
        ------
        balsamwind.exceptions.BadAnswer
            The status is not that of a final response; nothing was written.
        """
        _outgoing_status.check_outgoing_status(status)
        self.started = True
        self.status = status
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if self._shutdown.announced:
            # tornado does so only where the request came after the call of
            # `RelayServer.disable_keep_alive`.
            fields['Connection'] = 'close'
            self._shutdown.streams.add(self._connection.stream)
        # HTTP/1.0 has no chunks.
        self._has_marked_end = (
            'Content-Length' in fields or self.http_version != 'HTTP/1.0'
        )
        reason = httputil.responses.get(status, 'Unknown')
        line = httputil.ResponseStartLine('HTTP/1.1', status, reason)
        self._retrieve_exception(self._connection.write_headers(line, fields))

    async def write(self, chunk):
        """Write a chunk of the body and wait until the socket has taken it.

        Parameters
        ----------
        chunk : bytes
            Data to write.

        Raises
        ------
        asyncio.CancelledError
            The caller has disconnected.
        """
        try:
            await self._connection.write(chunk)
        except (iostream.StreamClosedError, AssertionError):
            raise asyncio.CancelledError from None

    def finish(self):
        """End the response."""
        self.done = True
        self._connection.finish()

    def fail(self, error):
        """Send an error response, or cut a response that has been started.

        Nothing is done if the response has ended already.

        Parameters
        ----------
        error : balsamwind.exceptions.BalsamwindError
            Error to report.
        """
        if self._closed or self.done:
            return
        if self.started:
            self.close()
            return
        body = json.dumps(
            {'error': {'code': error.code, 'message': error.message}}
        ).encode('utf-8')
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ]
        if error.retry_after is not None:
            headers.append(('Retry-After', f'{error.retry_after:.3f}'))
        self.start(error.status, headers)
        self._retrieve_exception(self._connection.write(body))
        self.finish()

    def close(self):
        """Close the connection, so that the caller sees a cut response."""
        self._closed = True
        self.done = True
        if self.started and not self._has_marked_end:
            _reset_on_close(self._connection.stream)
        self._connection.close()

    def _retrieve_exception(self, future):
        """Discard the error of a write, which asyncio would log otherwise."""
        future.add_done_callback(lambda done_future: done_future.exception())


def _reset_on_close(stream):
    """Make the close of a stream visible as a reset."""
    if stream is not None:
        _connection_pool.reset_on_close(stream)


def _is_closed_by_peer(sock):
    """Return whether the next read of a socket finds the end of its data."""
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _has_unread_bytes(stream):
    """Return whether bytes of a caller have arrived and were not read yet.

    tornado has no public name for the bytes that it has taken from the socket.
    """
    if stream.closed():
        return False
    if stream._read_buffer_size:
        return True
    try:
        return bool(
            stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        )
    except OSError:
        return False


def _decode_target(target):
    """Decode the bytes of a path and query, which tornado reads as Latin-1.

    Returns
    -------
    str or None
        None if they are no text in UTF-8, in which they are passed on.
    """
    try:
        return target.encode('latin-1').decode('utf-8')
    except UnicodeError:
        return None


class _RequestReceiver(httputil.HTTPMessageDelegate):
    """Reads one request, checks its limits and passes it to the relay."""

    def __init__(self, server, connection):
        self._server = server
        self._connection = connection
        self._responder = Responder(connection, server.shutdown)
        self._task = None
        self._body = None
        self._start_line = None
        self._target = None
        self._headers = None
        self._received_at = 0.0

    def close_idle(self):
        """Close the connection unless bytes of a request have arrived.

        A request whose first bytes have arrived is read completely and
        answered. A request that arrives after the close is not run.
        """
        stream = self._connection.stream
        if stream is not None and not _has_unread_bytes(stream):
            self.close()

    def close(self):
        """Close the connection; no request is taken from it."""
        self._server.discard_idle_receiver(self)
        self._responder.done = True
        self._connection.close()

    def headers_received(self, start_line, headers):
        if self._responder.done:
            return
        self._server.discard_idle_receiver(self)
        self._connection.stream.set_nodelay(True)
        self._start_line = start_line
        self._target = _decode_target(start_line.path)
        self._responder.http_version = start_line.version
        self._headers = headers
        self._received_at = self._server.clock.monotonic()
        limits = self._server.limits
        size = sum(
            len(name) + len(value) + 4 for name, value in headers.items()
        )
        if size > limits.max_header_bytes:
            self._reject(
                exceptions.HeadersTooLarge(
                    f'{size} bytes of headers are over the limit'
                )
            )
        elif self._target is None:
            self._reject(exceptions.BadRequest('the path is no text in UTF-8'))
        elif 'Host' not in headers:
            self._reject(exceptions.BadRequest('Host header is missing'))
        elif not headers.get('Content-Length', '0').isdigit():
            self._reject(
                exceptions.BadRequest('Content-Length is not a single number')
            )
        elif int(headers.get('Content-Length', '0')) > limits.max_body_bytes:
            self._reject(
                exceptions.BodyTooLarge('Content-Length is over the limit')
            )
        else:
            self._begin_body(limits.max_body_bytes)

    def _begin_body(self, max_size):
        now = self._received_at
        self._body = _body_receiver.BodyReceiver(
            self._server.held_bytes, max_size, self._reject, now
        )
        self._server.watch_body(self)
        size = int(self._headers.get('Content-Length', '0'))
        if size:
            self._body.reserve(size, now)

    def end_if_idle(self, now):
        """Reject the request if its body has not come on for too long."""
        if now - self._body.received_at > self._server.limits.idle_timeout:
            self._reject(exceptions.BodyTimeout('the body does not come on'))

    def _reject(self, error):
        self._server.on_unread_request(error)
        self._close_body()
        self._responder.fail(error)
        self._connection.close()

    def _close_body(self):
        self._server.unwatch_body(self)
        if self._body is not None:
            self._body.close()

    def data_received(self, chunk):
        if self._responder.done:
            return None
        return self._body.add(chunk, self._server.clock.monotonic())

    def finish(self):
        if self._responder.done:
            return
        self._server.unwatch_body(self)
        request = relay.IncomingRequest(
            method=self._start_line.method,
            target=self._target,
            host=self._headers['Host'],
            headers=self._headers,
            body=self._body.take(),
            received_at=self._received_at,
        )
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.ensure_future(
            self._server.relay.run(request, self._responder)
        )
        self._task.add_done_callback(self._handle_task_done)

    def on_connection_close(self):
        self._server.discard_idle_receiver(self)
        if self._task is not None:
            self._task.cancel()
        else:
            self._close_body()

    def _handle_task_done(self, task):
        self._close_body()
        if not task.cancelled() and task.exception() is not None:
            self._server.log.error(
                'relay_failed', error=repr(task.exception())
            )
        if not self._responder.done:
            self._responder.close()


def _ignore(error):
    """Stand in until such requests are logged."""


class _HttpServer(httpserver.HTTPServer):
    """Server that tells its `RelayServer` of closed connections, too."""

    def on_close(self, server_conn):
        super().on_close(server_conn)
        self.request_callback.on_close(server_conn)


class RelayServer(httputil.HTTPServerConnectionDelegate):
    """HTTP server that accepts the connections of callers.

    Parameters
    ----------
    request_relay : balsamwind.relay.Relay
        Relay that runs the requests.
    clock : balsamwind.ports.Clock
        Clock for the arrival times of requests.
    limits : balsamwind.traffic.RequestLimits
        Limits on header blocks, bodies and idle connections.
    log : structlog.BoundLogger
        Logger of requests that failed unexpectedly.
    held_bytes : balsamwind.admission.HeldBytes or None
        Account of the bodies that the process holds; None for one without a
        limit of its own.

    Attributes
    ----------
    max_connections : float
        Connections of callers that are open at the same time (count).
    on_unread_request : callable
        Called with the error of each request that is rejected before its
        body was read.
    """

    def __init__(self, request_relay, clock, limits, log, held_bytes=None):
        self.held_bytes = held_bytes or admission.HeldBytes(math.inf)
        self.max_connections = math.inf
        self.on_unread_request = _ignore
        self._connections = set()
        self.shutdown = _Shutdown()
        self.relay = request_relay
        self.clock = clock
        self.limits = limits
        self.log = log
        # In the order in which they began to wait.
        self._idle_receivers = {}
        self._body_receivers = set()
        self._sweep_timer = None
        self._server = _HttpServer(self, max_body_size=LIBRARY_MAX_BODY_SIZE)
        self.set_limits(limits)

    def set_limits(self, limits):
        """Change the limits, also for connections that are open.

        Parameters
        ----------
        limits : balsamwind.traffic.RequestLimits
            New limits.
        """
        self.limits = limits
        parameters = self._server.conn_params
        parameters.max_header_size = (
            limits.max_header_bytes + HEADER_SIZE_MARGIN
        )
        parameters.header_timeout = limits.idle_timeout + IDLE_TIMEOUT_MARGIN

    def listen(self, address):
        """Start to accept connections.

        Parameters
        ----------
        address : str
            ``host:port`` to listen on.
        """
        host, port = address.rsplit(':', 1)
        self._server.listen(int(port), host)

    def disable_keep_alive(self):
        """Close each connection after the response that begins next on it."""
        self.shutdown.announced = True
        self._server.conn_params.no_keep_alive = True

    def stop(self):
        """Stop accepting connections; open ones stay open."""
        self._server.stop()

    def close_idle(self):
        """Close the connections on which no request has arrived.

        From now on, that holds for connections whose response ends later.
        """
        self.shutdown.is_closing = True
        for receiver in list(self._idle_receivers):
            receiver.close_idle()

    async def close(self):
        """Close all connections."""
        await self._server.close_all_connections()

    def start_request(self, server_conn, request_conn):
        receiver = _RequestReceiver(self, request_conn)
        self._connections.add(server_conn)
        self._idle_receivers[receiver] = None
        if len(self._connections) > self.max_connections:
            self._make_room(receiver)
        if request_conn.stream in self.shutdown.streams:
            receiver.close()
        elif self.shutdown.is_closing:
            receiver.close_idle()
        return receiver

    def _make_room(self, newcomer):
        """Close a connection, as there are too many.

        Who has waited longest without a whole head may come again; then the
        slowest sender of a body loses to the newcomer.
        """
        longest = next(iter(self._idle_receivers))
        if longest is newcomer and self.held_bytes.evict_slowest(
            self.clock.monotonic()
        ):
            return
        longest.close()

    def watch_body(self, receiver):
        """Watch whether the body of a request comes on."""
        self._body_receivers.add(receiver)
        if self._sweep_timer is None:
            self._start_sweep_timer()

    def _start_sweep_timer(self):
        self._sweep_timer = asyncio.get_running_loop().call_later(
            SWEEP_INTERVAL, self._sweep
        )

    def unwatch_body(self, receiver):
        """Stop to watch the body of a request."""
        self._body_receivers.discard(receiver)

    def _sweep(self):
        self._sweep_timer = None
        now = self.clock.monotonic()
        for receiver in list(self._body_receivers):
            receiver.end_if_idle(now)
        if self._body_receivers:
            self._start_sweep_timer()

    def discard_idle_receiver(self, receiver):
        """Remove a receiver from those that wait for a request.

        Parameters
        ----------
        receiver : _RequestReceiver
            Receiver whose request has begun or whose connection has closed.
        """
        self._idle_receivers.pop(receiver, None)

    def on_close(self, server_conn):
        self._connections.discard(server_conn)
