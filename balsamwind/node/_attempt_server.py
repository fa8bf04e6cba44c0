"""Connections over which this node acts for others."""

import asyncio

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind.node import _attempt_frames
from balsamwind.node import _frame_codec
from balsamwind import relay

REFUSAL_TIMEOUT = 1.0
"""Longest wait for the message of a host that is no known node (seconds)."""


class AttemptServer:
    """Carries attempts of other nodes, and answers their questions.

    Parameters
    ----------
    carrier : balsamwind.relay.AttemptCarrier
        Sends the attempts to backend servers.
    witness : ReachWitness
        Tells whether this node reaches a server.
    unknown_messages : UnknownMessages
        Counts the messages that this build does not know.
    log : structlog logger
        Logger of the node.
    """

    __slots__ = ('_carrier', '_hosts', '_log', '_unknown_messages', '_witness')

    def __init__(self, carrier, witness, unknown_messages, log):
        self._carrier = carrier
        self._witness = witness
        self._unknown_messages = unknown_messages
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
        try:
            if host in self._hosts:
                await self._handle_frames(connection)
            else:
                await self._refuse_frame(connection)
        except exceptions.TransportError:
            # The other node has left; that needs no answer.
            if adapters.is_open(connection):
                raise

    async def _handle_frames(self, connection):
        unknown_messages = self._unknown_messages.open_connection(
            'attempt server', connection.remote_address[0]
        )
        async for frame in connection:
            match _attempt_frames.CODEC.decode(frame):
                case relay.OutgoingAttempt() as attempt:
                    if not await self._carry(attempt, connection):
                        return
                case relay.ReachQuery() as query:
                    reply = relay.ReachReply(await self._witness.find(query))
                    await adapters.send_to(
                        connection, _attempt_frames.CODEC.encode(reply)
                    )
                case _frame_codec.UnknownMessage() as message:
                    unknown_messages.add(message)
                case other:
                    raise exceptions.TransportError(
                        f'unexpected {type(other).__name__}'
                    )

    async def _refuse_frame(self, connection):
        """Answer one message of a host that is no known node.

        A node that has just started knows none yet. The others then turn to
        the next node, also those of builds that take the close alone for a
        fault of the server.
        """
        try:
            async with asyncio.timeout(REFUSAL_TIMEOUT):
                frame = await adapters.receive_from(connection)
        except TimeoutError:
            return
        match _attempt_frames.CODEC.decode(frame):
            case relay.OutgoingAttempt():
                reply = relay.AttemptFailed(
                    relay.CarryFailure.NO_PATH,
                    'this node does not know the sender',
                )
            case relay.ReachQuery():
                reply = relay.ReachReply(relay.Reach.UNKNOWN)
            case _:
                return
        await adapters.send_to(connection, _attempt_frames.CODEC.encode(reply))

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
