"""Registration of this node, and discovery of the other nodes."""

import asyncio
import contextlib

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

    Attributes
    ----------
    on_join : callable
        Called without arguments when the registration of this node changes
        the list, while other nodes use theirs already.
    """

    def __init__(self, settings, records, log, on_nodes):
        self._settings = settings
        self._records = records
        self._log = log
        self._on_nodes = on_nodes
        self.on_join = lambda: None
        self._registered = False
        self._wake = asyncio.Event()

    async def run(self):
        """Register, then read the list of nodes regularly; never returns."""
        listed = False
        while True:
            try:
                if not self._registered:
                    await self._register()
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
                await self._sleep(LIST_INTERVAL)

    async def _sleep(self, seconds):
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._wake.wait(), seconds)
        self._wake.clear()

    def write_again(self):
        """Register again, as the store may have lost the registration."""
        self._registered = False
        self._wake.set()

    async def _register(self):
        node = _ranking.RegisteredNode(
            self._settings.name, self._settings.news, self._settings.capacity
        )
        has_changed = await self._records.register(
            node, self._settings.data_centre, CALL_TIMEOUT
        )
        self._registered = True
        if has_changed and not self._settings.first_start:
            self.on_join()
        if self._settings.first_start:
            await asyncio.sleep(REGISTRATION_DELAY)
