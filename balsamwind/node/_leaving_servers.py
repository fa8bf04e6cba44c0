"""Backend servers that say in their answers that they are leaving."""

from balsamwind.node import _updates


class LeavingServers:
    """Stops new requests to such servers, here and in the data centre.

    A server says so before its entry does, and also while the store is away.

    Parameters
    ----------
    registry : balsamwind.pool.ServerRegistry
        Entries of the backend servers.
    publisher : UpdatePublisher
        Passes the changed entries on to the subscribers of this node.
    link : PublisherLink
        Connection to the publisher of this node.
    log : structlog logger
        Logger of the node.
    """

    __slots__ = ('_link', '_log', '_publisher', '_registry')

    def __init__(self, registry, publisher, link, log):
        self._registry = registry
        self._publisher = publisher
        self._link = link
        self._log = log

    def start(self):
        """Tell the publisher of a new connection of all such servers."""
        for record in self._registry.list_leaving():
            self._link.send(
                _updates.ServerLeaving(record.server_id, record.born)
            )

    def report(self, server_id, born):
        """Report that a server is leaving; known ones are ignored.

        Parameters
        ----------
        server_id : str
            Id of the server.
        born : int
            Start of the server that said so.
        """
        if not self._registry.mark_leaving(server_id, born):
            return
        self._log.info('server_leaving', server=server_id, born=born)
        record = self._registry.get(server_id)
        if record is not None and record.born == born:
            self._publisher.publish_leaving(record)
        self._link.send(_updates.ServerLeaving(server_id, born))
