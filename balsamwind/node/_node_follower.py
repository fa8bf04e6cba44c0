"""Loop that registers a node and keeps which others exist."""

import asyncio

from balsamwind import exceptions

NODES_INTERVAL = 30.0
"""Time between two looks at which nodes exist (seconds)."""

FIRST_LOOK = 0.5
"""Time in which other nodes register at a common start (seconds)."""

CALL_TIMEOUT = 0.8
"""Longest wait for the store's answer (seconds)."""

RETRY_INTERVAL = 0.25
"""Wait after a call that failed (seconds)."""


class NodeFollower:
    """Registers this node and keeps which others exist.

    Parameters
    ----------
    settings, outside, log
        Settings of the node, the platform, log.
    on_nodes : callable
        Called with pairs of name and address, by data centre.
    """

    def __init__(self, settings, outside, log, on_nodes):
        self._settings = settings
        self._outside = outside
        self._log = log
        self._on_nodes = on_nodes

    async def run(self):
        """Look for ever."""
        registered = False
        while True:
            try:
                if not registered:
                    await self._outside.register_node(
                        self._settings.name,
                        self._settings.data_centre,
                        self._settings.news,
                        CALL_TIMEOUT,
                    )
                    registered = True
                    await asyncio.sleep(FIRST_LOOK)
                self._on_nodes(await self._outside.list_nodes(CALL_TIMEOUT))
            except exceptions.StoreError as error:
                self._log.debug('nodes_not_listed', reason=str(error))
                await asyncio.sleep(RETRY_INTERVAL)
            else:
                await asyncio.sleep(NODES_INTERVAL)
