"""Idle connections of an HTTP client, kept for reuse."""

import socket
import time

from tornado import iostream

MAX_IDLE = 64
"""Idle connections kept to one address (count)."""

KEEP_ALIVE_MARGIN = 0.5
"""How long before a server's stated idle time-out a connection is no longer
used (seconds)."""


class ClientStream(iostream.IOStream):
    """Stream that tells whether anything unread lies on it."""

    @property
    def quiet(self):
        """Whether it is open, and nothing has come since the last answer.

        Bytes that follow a complete answer belong to no request.
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


def is_quiet(stream):
    """Whether a stream may carry another request."""
    if isinstance(stream, ClientStream):
        return stream.quiet
    return not stream.closed()


class IdleConnections:
    """Idle connections, one list for each address; the newest goes first."""

    __slots__ = ('_streams',)

    def __init__(self):
        self._streams = {}

    def put(self, place, stream, keep_alive):
        """Keep a connection whose answer was read to its end.

        Parameters
        ----------
        place : str
            Address.
        stream : tornado.iostream.IOStream
            The connection.
        keep_alive : float or None
            Idle time-out that the server states (seconds).
        """
        idle = self._streams.setdefault(place, [])
        if len(idle) >= MAX_IDLE or not is_quiet(stream):
            stream.close()
            return
        until = float('inf')
        if keep_alive is not None:
            until = time.monotonic() + keep_alive - KEEP_ALIVE_MARGIN
        idle.append((stream, until))

    def take(self, place):
        """A connection that may be used, or None."""
        idle = self._streams.get(place)
        while idle:
            stream, until = idle.pop()
            if time.monotonic() < until and is_quiet(stream):
                return stream
            stream.close()
        return None

    def drop(self, place):
        """Close those of one address, as others may be silent too."""
        for stream, _ in self._streams.pop(place, ()):
            stream.close()

    def close(self):
        """Close all."""
        for place in list(self._streams):
            self.drop(place)
