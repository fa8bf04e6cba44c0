"""Connection of a node to the publisher that it subscribes to."""

from balsamwind import adapters
from balsamwind.node import _updates


class PublisherLink:
    """Sends messages to the publisher while there is a connection to one."""

    __slots__ = ('_connection', '_features')

    def __init__(self):
        self._connection = None
        self._features = frozenset()

    @property
    def is_open(self):
        """Whether there is a connection."""
        return self._connection is not None

    @property
    def features(self):
        """Features that the publisher has announced (frozenset of str)."""
        return self._features

    def attach(self, connection):
        """Use a new connection.

        Parameters
        ----------
        connection : websockets.asyncio.client.ClientConnection
            The connection.
        """
        self._connection = connection
        self._features = frozenset()

    def set_features(self, features):
        """Note what the publisher of the current connection understands.

        Parameters
        ----------
        features : iterable of str
            Features that it has announced.
        """
        self._features = frozenset(features)

    def detach(self, connection):
        """Stop using a connection; another one stays in use.

        Parameters
        ----------
        connection : websockets.asyncio.client.ClientConnection
            The connection.
        """
        if self._connection is connection:
            self._connection = None
            self._features = frozenset()

    def send(self, message):
        """Send a message without waiting; it is dropped without a connection.

        Parameters
        ----------
        message : object
            Message of :mod:`balsamwind.node._updates`.
        """
        if self._connection is not None:
            adapters.send_frame(
                self._connection, _updates.encode_frame(message)
            )
