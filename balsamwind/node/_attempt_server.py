"""Connections over which this node carries attempts of others."""

import asyncio

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind.node import _attempt_frames
from balsamwind import relay


class AttemptServer:
    """Carries the attempts that arrive on connections of other nodes.

    Parameters
    ----------
    carrier : balsamwind.relay.AttemptCarrier
        Sends the attempts to backend servers.
    log : structlog logger
        Logger of the node.
    """

    __slots__ = ('_carrier', '_hosts', '_log')

    def __init__(self, carrier, log):
        self._carrier = carrier
        self._log = log
        self._hosts = frozenset()

    def set_nodes(self, nodes):
        """Replace the nodes whose attempts are carried.

        Parameters
        ----------
        nodes : iterable of RegisteredNode
            All registered nodes.
        """
        self._hosts = frozenset(
            node.address.rpartition(':')[0] for node in nodes
        )

    async def handle(self, connection):
        """Carry one attempt after the other until the connection ends.

        Only nodes may send attempts: their callers are known and admitted
        there, so that nothing is checked again here.

        Parameters
        ----------
        connection : websockets.asyncio.server.ServerConnection
            Connection of another node.
        """
        host = connection.remote_address[0]
        if host not in self._hosts:
            self._log.warning('attempts_refused', host=host)
            return
        async for frame in connection:
            attempt = _attempt_frames.CODEC.decode(frame)
            if not isinstance(attempt, relay.OutgoingAttempt):
                raise exceptions.TransportError(
                    f'unexpected {type(attempt).__name__}'
                )
            if not await self._carry(attempt, connection):
                return

    async def _carry(self, attempt, connection):
        """Carry an attempt while the other node is there.

        Returns
        -------
        bool
            Whether the connection is still open.
        """

        async def send(message):
            await adapters.send_to(
                connection, _attempt_frames.CODEC.encode(message)
            )

        def check_before_send():
            if not adapters.is_open(connection):
                raise asyncio.CancelledError
            adapters.send_frame(
                connection,
                _attempt_frames.CODEC.encode(relay.AttemptAccepted()),
            )

        carrying = asyncio.ensure_future(
            self._carrier.carry(attempt, send, check_before_send)
        )
        closing = asyncio.ensure_future(connection.wait_closed())
        try:
            await asyncio.wait(
                {carrying, closing}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            carrying.cancel()
            closing.cancel()
        if not carrying.done():
            await asyncio.wait({carrying})
        if not carrying.cancelled():
            carrying.result()
        return adapters.is_open(connection)
