"""HTTP server that hands requests on as bytes."""

import asyncio
import json
import socket

from tornado import httpserver
from tornado import httputil
from tornado import iostream

from balsamwind import exceptions
from balsamwind import relay

HEADER_SLACK = 4096
"""How far header blocks are read beyond the limit, so that the caller gets an
answer (bytes)."""

IDLE_SLACK = 1.0
"""How much longer than the limit an idle connection is kept (seconds)."""

MAX_BODY = 1 << 40
"""Largest body that the library reads; the limit is checked here (bytes)."""


class Responder:
    """Takes one answer to a caller."""

    __slots__ = ('_closed', '_connection', 'done', 'started', 'status')

    def __init__(self, connection):
        self._connection = connection
        self._closed = False
        self.started = False
        self.done = False
        self.status = 0

    def start(self, status, headers):
        """Write the status line and headers."""
        self.started = True
        self.status = status
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        reason = httputil.responses.get(status, 'Unknown')
        line = httputil.ResponseStartLine('HTTP/1.1', status, reason)
        self._ignore_result(self._connection.write_headers(line, fields))

    async def write(self, chunk):
        """Write a part of the body; returns when it has left.

        Raises
        ------
        asyncio.CancelledError
            The caller is gone.
        """
        try:
            await self._connection.write(chunk)
        except (iostream.StreamClosedError, AssertionError):
            raise asyncio.CancelledError from None

    def finish(self):
        """End the body."""
        self.done = True
        self._connection.finish()

    def fail(self, error):
        """Answer with an error; break the answer off if it has begun."""
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
        self._ignore_result(self._connection.write(body))
        self.finish()

    def close(self):
        """Close the connection, so that the answer looks cut."""
        self._closed = True
        self.done = True
        self._connection.close()

    def _ignore_result(self, future):
        future.add_done_callback(lambda item: item.exception())


def _has_unread(stream):
    """Whether bytes of a caller wait to be read."""
    if stream.closed():
        return False
    try:
        return bool(
            stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        )
    except OSError:
        return False


class _Message(httputil.HTTPMessageDelegate):
    """Collects one request and runs it."""

    def __init__(self, server, connection):
        self._server = server
        self._connection = connection
        self._responder = Responder(connection)
        self._task = None
        self._parts = []
        self._size = 0
        self._start = None
        self._headers = None
        self._received_at = 0.0

    def close_idle(self):
        """Close the connection, unless a request is on its way in.

        Bytes that have come are read to a whole request and answered; what
        comes after the close is not run.
        """
        stream = self._connection.stream
        if stream is None or _has_unread(stream):
            return
        self._server.note_begun(self)
        self._responder.done = True
        self._connection.close()

    def headers_received(self, start_line, headers):
        if self._responder.done:
            return
        self._server.note_begun(self)
        self._connection.stream.set_nodelay(True)
        self._start = start_line
        self._headers = headers
        self._received_at = self._server.clock.monotonic()
        limits = self._server.limits
        size = sum(
            len(name) + len(value) + 4 for name, value in headers.items()
        )
        if size > limits.header_bytes:
            self._reject(exceptions.HeadersTooLarge(f'{size} bytes'))
        elif 'Host' not in headers:
            self._reject(exceptions.BadRequest('Host is missing'))
        elif not headers.get('Content-Length', '0').isdigit():
            self._reject(exceptions.BadRequest('Content-Length conflicts'))
        elif int(headers.get('Content-Length', '0')) > limits.body_bytes:
            self._reject(exceptions.BodyTooLarge('Content-Length'))

    def _reject(self, error):
        self._responder.fail(error)
        self._connection.close()

    def data_received(self, chunk):
        if self._responder.done:
            return
        self._parts.append(chunk)
        self._size += len(chunk)
        if self._size > self._server.limits.body_bytes:
            self._parts.clear()
            self._reject(exceptions.BodyTooLarge(f'over {self._size} bytes'))

    def finish(self):
        if self._responder.done:
            return
        request = relay.IncomingRequest(
            method=self._start.method,
            target=self._start.path,
            host=self._headers['Host'],
            headers=self._headers,
            body=b''.join(self._parts),
            received_at=self._received_at,
        )
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.ensure_future(
            self._server.relay.run(request, self._responder)
        )
        self._task.add_done_callback(self._end)

    def on_connection_close(self):
        self._server.note_begun(self)
        self._parts.clear()
        if self._task is not None:
            self._task.cancel()

    def _end(self, task):
        if not task.cancelled() and task.exception() is not None:
            self._server.log.error(
                'relay_failed', error=repr(task.exception())
            )
        if not self._responder.done:
            self._responder.close()


class RelayServer(httputil.HTTPServerConnectionDelegate):
    """Listens for callers.

    Parameters
    ----------
    relay_path : balsamwind.relay.Relay
        Runs the requests.
    clock : balsamwind.ports.Clock
        Boot time.
    limits : balsamwind.traffic.Limits
        Bounds on callers.
    log : structlog logger
        Log.
    """

    def __init__(self, relay_path, clock, limits, log):
        self.relay = relay_path
        self.clock = clock
        self.limits = limits
        self.log = log
        self._waiting = set()
        self._server = httpserver.HTTPServer(self, max_body_size=MAX_BODY)
        self.set_limits(limits)

    def set_limits(self, limits):
        """Take other bounds; open connections follow."""
        self.limits = limits
        parameters = self._server.conn_params
        parameters.max_header_size = limits.header_bytes + HEADER_SLACK
        parameters.header_timeout = limits.idle_timeout + IDLE_SLACK

    def listen(self, address):
        """Listen on ``host:port``."""
        host, port = address.rsplit(':', 1)
        self._server.listen(int(port), host)

    def close_after_answers(self):
        """Close each connection after its next answer."""
        self._server.conn_params.no_keep_alive = True

    def stop(self):
        """Listen no more."""
        self._server.stop()

    def close_idle(self):
        """Close the connections on which no request has begun."""
        for message in list(self._waiting):
            message.close_idle()

    async def close(self):
        """Close all connections."""
        await self._server.close_all_connections()

    def start_request(self, server_conn, request_conn):
        message = _Message(self, request_conn)
        self._waiting.add(message)
        return message

    def note_begun(self, message):
        """Note that a request has begun on its connection, or has ended."""
        self._waiting.discard(message)
