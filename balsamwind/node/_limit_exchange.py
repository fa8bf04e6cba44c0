"""Exchange of the limits of backend servers within a data centre."""

from balsamwind.node import _updates


class LimitExchange:
    """Tells the nodes of the data centre of limits that servers state.

    Parameters
    ----------
    limits : balsamwind.relay.ServerLimits
        Limits that this node knows.
    publisher : UpdatePublisher
        Sends to the subscribers of this node.
    link : PublisherLink
        Connection to the publisher of this node.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.
    """

    __slots__ = ('_clock', '_limits', '_link', '_log', '_publisher')

    def __init__(self, limits, publisher, link, clock, log):
        self._limits = limits
        self._publisher = publisher
        self._link = link
        self._clock = clock
        self._log = log

    def start(self):
        """Exchange all limits with the publisher of a new connection."""
        self._link.send(_updates.ServerLimits(self._list(), wants_answer=True))

    def share(self, item):
        """Tell the other nodes what an answer to this node has stated.

        Parameters
        ----------
        item : balsamwind.relay.StatedLimit
            The statement.
        """
        self._log_items([item], 'answer')
        self._pass_on([item])

    def receive(self, message):
        """Take what another node knows, and pass on what is new.

        Parameters
        ----------
        message : ServerLimits
            What it knows.

        Returns
        -------
        ServerLimits or None
            Answer with all that this node knows, if one is wanted.
        """
        news = self._limits.merge(message.items, self._clock.monotonic())
        if news:
            self._log_items(news, 'node')
            self._pass_on(news)
        if message.wants_answer:
            return _updates.ServerLimits(self._list())
        return None

    def _list(self):
        return self._limits.list(self._clock.monotonic())

    def _pass_on(self, items):
        message = _updates.ServerLimits(tuple(items))
        self._publisher.broadcast(message)
        self._link.send(message)

    def _log_items(self, items, source):
        for item in items:
            self._log.info(
                'limit_stated',
                server=item.server_id,
                limit=item.rate_limit,
                source=source,
                age=round(item.age, 3),
                share=round(self._limits.find_share(item.data_centre), 3),
            )
