"""Registration of this node, and discovery of the other nodes."""

import asyncio

from balsamwind import exceptions
from balsamwind.node import _ranking

LIST_INTERVAL = 30.0
"""Time between two reads of the list of nodes (seconds)."""

REGISTRATION_DELAY = 0.5
"""Wait after registering before the first read, in which other nodes that
start at the same time register as well (seconds)."""

CALL_TIMEOUT = 0.8
"""Timeout of one call to the store (seconds)."""

RETRY_INTERVAL = 0.25
"""Wait after a call that failed (seconds)."""


class NodeDiscovery:
    """Registers this node, and keeps the list of nodes up to date.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    records : NodeRecords
        Registrations in the store.
    log : structlog logger
        Logger of the node.
    on_nodes : callable
        Called with a dict of each data centre's `RegisteredNode` objects.
    """

    def __init__(self, settings, records, log, on_nodes):
        self._settings = settings
        self._records = records
        self._log = log
        self._on_nodes = on_nodes

    async def run(self):
        """Register, then read the list of nodes regularly; never returns."""
        registered = False
        listed = False
        while True:
            try:
                if not registered:
                    await self._register()
                    registered = True
                # An old list does no harm later: it only sets ranks.
                nodes = await self._records.list(
                    CALL_TIMEOUT, may_be_stale=listed
                )
            except exceptions.StoreError as error:
                self._log.debug('nodes_not_listed', reason=str(error))
                await asyncio.sleep(RETRY_INTERVAL)
            else:
                listed = True
                self._on_nodes(nodes)
                await asyncio.sleep(LIST_INTERVAL)

    async def _register(self):
        node = _ranking.RegisteredNode(
            self._settings.name, self._settings.news, self._settings.capacity
        )
        await self._records.register(
            node, self._settings.data_centre, CALL_TIMEOUT
        )
        if self._settings.first_start:
            await asyncio.sleep(REGISTRATION_DELAY)
