"""Attempts that other nodes carry for this node, and what they reach."""

import asyncio

from balsamwind import exceptions
from balsamwind.relay import _carried_attempts

MAX_PEERS_TRIED = 4
"""Nodes that one attempt turns to at most (count)."""

MAX_CARRIED_BODY = 2 * 1024 * 1024
"""Largest body of an attempt that another node carries, well below the limit
of a frame between nodes (bytes)."""

WITNESS_COUNT = 3
"""Nodes that are asked at once whether they reach a server (count). Some of
them may lack a path to it, too."""


class PeerService:
    """Sends attempts through other nodes.

    Parameters
    ----------
    selector : PeerSelector
        Chooses the nodes.
    client : balsamwind.node.AttemptClient
        Client with the connections to other nodes.
    clock : balsamwind.ports.Clock
        Monotonic clock.

    Attributes
    ----------
    carried_attempts : int
        Attempts that other nodes carried so far (count).
    """

    __slots__ = ('_client', '_clock', '_selector', 'carried_attempts')

    def __init__(self, selector, client, clock):
        self._selector = selector
        self._client = client
        self._clock = clock
        self.carried_attempts = 0

    @property
    def has_peers(self):
        """Whether any other node is known."""
        return self._selector.has_peers

    async def open(self, attempt, before_send):
        """Send an attempt through another node.

        Nodes that carry nothing are passed over.

        Parameters
        ----------
        attempt : OutgoingAttempt
            The attempt.
        before_send : callable
            Called without arguments each time immediately before the attempt
            is sent. If it raises, nothing is sent.

        Returns
        -------
        PeerResponse or None
            None if no node carries the attempt; it was not sent.

        Raises
        ------
        balsamwind.exceptions.PeerUnavailable
            The node was lost after it had got the attempt.
        balsamwind.exceptions.TransportError
            The attempt failed at the server.
        """
        if len(attempt.body) > MAX_CARRIED_BODY:
            return None
        service = attempt.backend.service
        tried = set()
        for _ in range(MAX_PEERS_TRIED):
            now = self._clock.monotonic()
            peer = self._selector.choose(
                service, tried, now, attempt.data_centres
            )
            if peer is None:
                return None
            try:
                return await self._open_through(
                    peer.address, attempt, before_send
                )
            except exceptions.PeerUnavailable as error:
                self._record_not_carried(service, peer.address, error)
                if error.sent:
                    raise
            tried.add(peer.address)
        return None

    async def ask(self, record, wants_report):
        """Ask other nodes whether they reach a server.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        wants_report : bool
            Whether the server must report on itself, see `ReachQuery`.

        Returns
        -------
        Reach
            UNKNOWN if no node knows.
        """
        opinions = await self.find_opinions(record, wants_report)
        return _carried_attempts.combine_opinions(opinions.values())

    async def find_opinions(self, record, wants_report, asked=None):
        """Ask some other nodes whether they reach a server.

        Parameters
        ----------
        record, wants_report
            As for `ask`.
        asked : container of str or None
            Addresses of nodes that were asked before, see `choose_witnesses`.

        Returns
        -------
        dict of str to Reach or None
            Opinions by the address of the node, None of one that gives no
            reply; not of all that were asked if one of them gets an answer.
        """
        query = _carried_attempts.ReachQuery(
            record.service,
            record.server_id,
            record.born,
            wants_report,
            address=record.address,
        )
        witnesses = self._selector.choose_witnesses(
            record.service, WITNESS_COUNT, self._clock.monotonic(), asked
        )
        tasks = [
            asyncio.ensure_future(self._ask_one(peer.address, query))
            for peer in witnesses
        ]
        # The replies that are left come soon, and leave connections to reuse.
        opinions = {}
        for opinion in asyncio.as_completed(tasks):
            address, reach = await opinion
            opinions[address] = reach
            if reach is _carried_attempts.Reach.ANSWERS:
                break
        return opinions

    async def find_refusals(self, record, count):
        """Ask other nodes whether a server refuses their connections, too.

        Nodes that reach no server of the service are asked as well, as the
        servers may all have ended.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        count : int
            Nodes at most (count).

        Returns
        -------
        list of Reach
            One for each node that was asked, UNKNOWN if it gave no reply.
            After a round in which one reaches the server no more are asked.
        """
        query = _carried_attempts.ReachQuery(
            record.service, record.server_id, record.born, on_any_path=True
        )
        witnesses = self._selector.choose_any(count)
        opinions = []
        for first in range(0, len(witnesses), WITNESS_COUNT):
            opinions += await asyncio.gather(
                *(
                    self._find_refusal(peer.address, query)
                    for peer in witnesses[first : first + WITNESS_COUNT]
                )
            )
            if _carried_attempts.Reach.ANSWERS in opinions:
                break
        return opinions

    async def _find_refusal(self, address, query):
        try:
            return await self._client.ask(address, query)
        except exceptions.PeerUnavailable:
            return _carried_attempts.Reach.UNKNOWN

    def count_witnesses(self):
        """Count the nodes that may be asked about servers."""
        return self._selector.peer_count

    async def _ask_one(self, address, query):
        try:
            return address, await self._client.ask(address, query)
        except exceptions.PeerUnavailable as error:
            self._record_not_carried(query.service, address, error)
            return address, None

    async def _open_through(self, address, attempt, before_send):
        self._selector.record_start(address)
        try:
            response = await self._client.open(address, attempt, before_send)
        except BaseException:
            self._selector.record_end(address)
            raise
        response.on_close = lambda: self._selector.record_end(address)
        self._selector.record_carried(
            attempt.backend.service, address, self._clock.monotonic()
        )
        self.carried_attempts += 1
        return response

    def _record_not_carried(self, service, address, error):
        if error.cause is _carried_attempts.CarryFailure.NOT_USABLE:
            return
        self._selector.record_not_carried(
            service,
            address,
            error.cause is _carried_attempts.CarryFailure.FULL,
            self._clock.monotonic(),
        )
