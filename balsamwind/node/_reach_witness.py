"""Whether this node reaches a server that another one does not reach."""

from balsamwind import exceptions
from balsamwind import pool
from balsamwind import relay

TIMEOUT = 0.2
"""Longest wait for a server (seconds)."""


class ReachWitness:
    """Answers the questions of other nodes.

    That a node which reaches no server at all gets no answer shows nothing,
    unless it is asked for refusals on any path. An answer always does.

    Parameters
    ----------
    registry : balsamwind.pool.ServerRegistry
        Entries of the backend servers.
    request_relay : balsamwind.relay.Relay
        Request path, which knows whether the path to a service is open.
    fetch_report : callable
        Coroutine function that takes the entry of an engine and a timeout
        (seconds), and returns its report.

    Attributes
    ----------
    on_silent : callable
        Called with the entry of an engine that does not answer this node
        either, while others do.
    """

    __slots__ = ('_fetch_report', '_registry', '_relay', 'on_silent')

    def __init__(self, registry, request_relay, fetch_report):
        self._registry = registry
        self._relay = request_relay
        self._fetch_report = fetch_report
        self.on_silent = lambda record: None

    async def find(self, query):
        """Find whether this node reaches a server.

        Parameters
        ----------
        query : balsamwind.relay.ReachQuery
            The question.

        Returns
        -------
        balsamwind.relay.Reach
        """
        record = self._find_record(query)
        if record is None or record.born != query.born:
            return relay.Reach.UNKNOWN
        if query.on_any_path:
            return await self._try_connecting(record)
        paths = self._relay.paths
        was_open = paths.is_open(query.service)
        reach = await self._try(record, query.wants_report)
        if reach is relay.Reach.ANSWERS:
            return reach
        if not was_open or not self._knows_others(query):
            return relay.Reach.UNKNOWN
        now = self._relay.clock.monotonic()
        paths.record_unreachable(query.service, query.server_id, now)
        if await self._relay.settle_path(query.service):
            if query.wants_report:
                self.on_silent(record)
            return reach
        return relay.Reach.UNKNOWN

    def _find_record(self, query):
        """Find the entry of a server, or make one from the question.

        A node that has just started does not know a server that is cut off
        from the store, but it may reach it.
        """
        known = self._registry.get(query.server_id)
        if not query.address or (
            known is not None and known.born >= query.born
        ):
            return known
        return pool.ServerRecord(
            query.server_id,
            query.service,
            query.address,
            '',
            born=query.born,
            listed=False,
        )

    def _knows_others(self, query):
        """Tell whether other servers can show that the path is open."""
        return any(
            record.usable and record.server_id != query.server_id
            for record in self._registry.get_by_service(query.service)
        )

    async def _try(self, record, wants_report):
        if wants_report:
            return await self._try_report(record)
        return await self._try_connecting(record)

    async def _try_connecting(self, record):
        error = await self._relay.client.try_connecting(
            record.address, TIMEOUT
        )
        match error:
            case None:
                return relay.Reach.ANSWERS
            case exceptions.ConnectionRefused():
                return relay.Reach.REFUSES
        return relay.Reach.SILENT

    async def _try_report(self, record):
        try:
            await self._fetch_report(record, TIMEOUT)
        except exceptions.TransportError:
            return relay.Reach.SILENT
        return relay.Reach.ANSWERS
