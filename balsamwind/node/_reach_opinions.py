"""What other nodes say of engines that do not answer the leader.

Failure pattern: an engine that heads an open group is cut off from the store
and has lost its paths to the leader and to some other nodes, but serves the
requests of the rest. Neither its missing entry nor the opinion of a few nodes
shows that its group is broken. Those that reach it may be the ones that give
no reply for a while, as they are paused or start again, and those that start
again know nothing.
"""

from balsamwind import relay

WITNESSES_NEEDED = 8
"""Nodes that must have been asked before an engine is taken for dead (count);
all of them where there are fewer."""

OPINION_MEMORY = 6.0
"""Time for which opinions count (seconds)."""

NO_REPLY_TIME = 6.0
"""Time without any reply of a node after which it is not waited for (seconds).
A node that is gone for good stays on the list of nodes."""

NO_REPLY_MEMORY = 30.0
"""Time after which a node that has given no reply is waited for anew
(seconds)."""


class ReachOpinions:
    """Asks one node after the other about engines, and remembers whom.

    Parameters
    ----------
    request_relay : balsamwind.relay.Relay
        Request path, whose peers are asked.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    """

    __slots__ = ('_asked', '_clock', '_no_replies', '_relay')

    def __init__(self, request_relay, clock):
        self._relay = request_relay
        self._clock = clock
        self._asked = {}
        self._no_replies = {}

    async def ask(self, record):
        """Ask some nodes, those first that were not asked a moment ago.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the engine.

        Returns
        -------
        balsamwind.relay.Reach
        """
        opinions = await self._relay.peers.find_opinions(
            record, True, self._find_asked(record.server_id)
        )
        reach = relay.combine_opinions(opinions.values())
        if reach is relay.Reach.ANSWERS:
            self._asked.pop(record.server_id, None)
            return reach
        now = self._clock.monotonic()
        asked = self._asked.setdefault(record.server_id, {})
        for address, opinion in opinions.items():
            if self._may_count(address, opinion, now):
                asked[address] = now
        return reach

    def _may_count(self, address, opinion, now):
        """Tell whether a node has had its say, or is not waited for.

        One that does not know has not had its say.
        """
        if opinion is not None:
            self._no_replies.pop(address, None)
            return opinion is not relay.Reach.UNKNOWN
        first_at, _ = self._no_replies.get(address, (now, now))
        self._no_replies[address] = first_at, now
        return now - first_at >= NO_REPLY_TIME

    def _find_asked(self, server_id):
        """Return the nodes that were asked, and got no answer, lately."""
        since = self._clock.monotonic() - OPINION_MEMORY
        asked = self._asked.get(server_id, {})
        return {address for address, at in asked.items() if at >= since}

    def are_enough(self, record):
        """Tell whether enough nodes were asked that got no answer.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the engine.

        Returns
        -------
        bool
        """
        known = self._relay.peers.count_witnesses()
        needed = min(WITNESSES_NEEDED, known)
        return self.count_asked(record) >= needed

    def count_asked(self, record):
        """Count the nodes that have had their say lately.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the engine.

        Returns
        -------
        int
        """
        return len(self._find_asked(record.server_id))

    def keep_only(self, server_ids):
        """Forget the engines that are not among `server_ids`.

        Nodes that gave no reply are forgotten after a while.
        """
        for server_id in [
            item for item in self._asked if item not in server_ids
        ]:
            del self._asked[server_id]
        since = self._clock.monotonic() - NO_REPLY_MEMORY
        for address, (_, last_at) in list(self._no_replies.items()):
            if last_at < since:
                del self._no_replies[address]

    def reset(self):
        """Forget all opinions."""
        self._asked.clear()
