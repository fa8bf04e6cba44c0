"""Messages of newer builds, which this build ignores."""

import prometheus_client


class UnknownMessages:
    """Counts the messages that this build does not know, and logs them.

    Parameters
    ----------
    log : structlog logger
        Logger of the node.
    metrics_registry : prometheus_client.CollectorRegistry
        Metrics of the node.
    """

    __slots__ = ('_counter', '_log')

    def __init__(self, log, metrics_registry):
        self._log = log
        self._counter = prometheus_client.Counter(
            'balsamwind_unknown_messages',
            'Messages of other nodes that this build does not know.',
            ('receiver',),
            registry=metrics_registry,
        )

    def open_connection(self, receiver, peer=''):
        """Start the record of a new connection.

        Parameters
        ----------
        receiver : str
            Part of this node that reads the connection.
        peer : str
            Address of the other node; empty if it is not known.

        Returns
        -------
        ConnectionRecord
        """
        return ConnectionRecord(
            self._counter.labels(receiver),
            self._log.bind(receiver=receiver, peer=peer),
        )


class ConnectionRecord:
    """Counts the unknown messages of one connection.

    Parameters
    ----------
    counter : prometheus_client.Counter
        Counter of all connections to the receiver.
    log : structlog logger
        Logger of the connection.
    """

    __slots__ = ('_counter', '_log', '_tags')

    def __init__(self, counter, log):
        self._counter = counter
        self._log = log
        self._tags = set()

    def add(self, message):
        """Count a message; log it if it is the first with its type tag.

        Parameters
        ----------
        message : UnknownMessage
            The message.
        """
        self._counter.inc()
        if message.tag not in self._tags:
            self._tags.add(message.tag)
            self._log.warning('message_unknown', tag=message.tag)
