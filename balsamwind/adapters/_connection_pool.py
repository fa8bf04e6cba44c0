"""Pool of idle connections of an HTTP client."""

import collections
import select
import socket
import struct
import sys
import time

from tornado import httputil
from tornado import iostream

MAX_IDLE_CONNECTIONS = 64
"""Largest number of idle connections to one endpoint (count)."""

KEEP_ALIVE_MARGIN = 0.5
"""A connection is no longer used this long before the end of the idle timeout
that the server announced (seconds)."""


MAX_TAGS = 16
"""Requests that a connection is known to have carried (count)."""

MAX_REFUSAL_LENGTH = 200
"""Longest reason of the parser that is kept (characters)."""


class ClientStream(iostream.IOStream):
    """Stream that can tell whether unread bytes have arrived on it.

    Attributes
    ----------
    tags : collections.deque of str
        Tags of the last requests that it has carried.
    refusal : str
        Why the parser has refused what came; empty if it has not.
    """

    def __init__(self, *arguments, **values):
        super().__init__(*arguments, **values)
        self.tags = collections.deque(maxlen=MAX_TAGS)
        self.refusal = ''

    def close(self, exc_info=False):
        """Close the stream, and keep the error of the parser, if any.

        tornado handles that error itself, by this call, and tells nobody.
        """
        error = sys.exception()
        if isinstance(error, httputil.HTTPInputError):
            self.refusal = str(error)[:MAX_REFUSAL_LENGTH]
        super().close(exc_info)

    @property
    def reusable(self):
        """Whether the stream is open and holds no unread bytes.

        Bytes that follow a complete response belong to no request, so the
        connection can not be reused.
        """
        if self.closed() or self._read_buffer_size:
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


def abandon(stream):
    """Reset a connection whose answer is no longer wanted.

    Where a path is cut, the request may still be on its way; a reset keeps it
    from being delivered when the path is back.

    Parameters
    ----------
    stream : tornado.iostream.IOStream
        Stream of the connection.
    """
    reset_on_close(stream)
    stream.close()


def reset_on_close(stream):
    """Make the close of a stream a reset."""
    if not stream.closed():
        linger = struct.pack('ii', 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def add_tag(stream, tag):
    """Note that a connection carries a request; not known with TLS."""
    if isinstance(stream, ClientStream):
        stream.tags.append(tag)


def find_refusal(stream):
    """Return why the parser has refused what came; not known with TLS."""
    return getattr(stream, 'refusal', '')


def _has_carried(stream, tag):
    return bool(tag) and tag in getattr(stream, 'tags', ())


def is_reusable(stream):
    """Return whether a stream may carry another request."""
    if isinstance(stream, ClientStream):
        return stream.reusable
    return not stream.closed() and not _has_unread_tls_bytes(stream)


def _has_unread_tls_bytes(stream):
    """Tell whether bytes follow the last response on a TLS stream.

    A record that is no data, such as a session ticket, counts as well.
    """
    if stream._read_buffer_size or stream.socket.pending():
        return True
    poll = select.poll()
    poll.register(stream.socket, select.POLLIN)
    return bool(poll.poll(0))


class IdleConnectionPool:
    """Idle connections by endpoint, reused in last-in, first-out order."""

    __slots__ = ('_streams',)

    def __init__(self):
        self._streams = {}

    def put(self, endpoint, stream, keep_alive):
        """Add a connection whose response has been read completely.

        The connection is closed if it can not be reused or if the pool holds
        `MAX_IDLE_CONNECTIONS` connections to the endpoint.

        Parameters
        ----------
        endpoint : str
            ``host:port`` of the server.
        stream : tornado.iostream.IOStream
            Stream of the connection.
        keep_alive : float or None
            Idle timeout that the server announced (seconds); None if it
            announced none.
        """
        connections = self._streams.setdefault(endpoint, [])
        if len(connections) >= MAX_IDLE_CONNECTIONS or not is_reusable(stream):
            stream.close()
            return
        expires_at = float('inf')
        if keep_alive is not None:
            expires_at = time.monotonic() + keep_alive - KEEP_ALIVE_MARGIN
        connections.append((stream, expires_at))

    def take(self, endpoint, tag=''):
        """Remove and return a connection that can be reused.

        Parameters
        ----------
        endpoint : str
            ``host:port`` of the server.
        tag : str
            Tag of the request; no connection that has carried it is returned.

        Returns
        -------
        tornado.iostream.IOStream or None
        """
        connections = self._streams.get(endpoint, [])
        for index in range(len(connections) - 1, -1, -1):
            stream, expires_at = connections[index]
            if _has_carried(stream, tag):
                continue
            del connections[index]
            if time.monotonic() < expires_at and is_reusable(stream):
                return stream
            stream.close()
        return None

    def has_open(self, endpoint):
        """Tell whether an idle connection to an endpoint is open.

        Parameters
        ----------
        endpoint : str
            ``host:port`` of the server.

        Returns
        -------
        bool
        """
        return any(
            is_reusable(stream)
            for stream, _ in self._streams.get(endpoint, ())
        )

    def close_endpoint(self, endpoint):
        """Close all idle connections to one endpoint.

        Parameters
        ----------
        endpoint : str
            ``host:port`` of the server.
        """
        for stream, _ in self._streams.pop(endpoint, ()):
            stream.close()

    def close(self):
        """Close all idle connections."""
        for endpoint in list(self._streams):
            self.close_endpoint(endpoint)
