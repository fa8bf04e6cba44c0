"""What a node has seen of the heads of a shard that are out of sight.

A head that nobody reaches has lost its members as well: it stalls, and breaks
its group after the stall bound. The bound counts from the first of an unbroken
row of tries of this node that failed. That an entry is missing shows nothing:
it is removed when its engine leaves, too, while that engine serves on.
"""

from balsamwind import pool

QUESTION_MEMORY = 4.0
"""Time for which a node watches a head after another node has asked about it
(seconds)."""


class HeadEvidence:
    """Collects the evidence on the heads of one shard.

    Parameters
    ----------
    data_centre : str
        Data centre of the shard.
    registry : balsamwind.pool.ServerRegistry
        Entries of the backend servers.
    prober : Prober
        Health checks of the shard's engines.
    opinions : ReachOpinions
        What other nodes say of the engines.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the shard.

    Attributes
    ----------
    heard_of_entries_for : callable
        Returns for how long this node has heard of the entries without a gap
        (seconds).
    """

    def __init__(self, data_centre, registry, prober, opinions, clock, log):
        self.heard_of_entries_for = lambda: float('inf')
        self._registry = registry
        self._prober = prober
        self._opinions = opinions
        self._clock = clock
        self._log = log
        self._history = pool.HeadHistory(data_centre, registry, clock)
        self._asked_at = {}
        self._held_reasons = {}

    def record_question(self, server_id):
        """Record that another node does not reach an engine, nor does this.

        Parameters
        ----------
        server_id : str
            Id of the engine.
        """
        self._asked_at[server_id] = self._clock.monotonic()

    def find_suspects(self, records):
        """Find the heads that a node should watch that may soon lead.

        Parameters
        ----------
        records : iterable of balsamwind.pool.ServerRecord
            Engines of the shard.

        Returns
        -------
        list of balsamwind.pool.ServerRecord
            Heads that are not listed, or that nodes have asked about, whose
            group has other members left.
        """
        now = self._clock.monotonic()
        self._asked_at = {
            server_id: asked_at
            for server_id, asked_at in self._asked_at.items()
            if now - asked_at < QUESTION_MEMORY
        }
        heads = [
            record
            for record in records
            if record.membership is not None
            and record.membership.rank == 0
            and (not record.listed or record.server_id in self._asked_at)
        ]
        if not heads:
            return []
        keys = {
            record.membership.key
            for record in records
            if record.listed
            and record.membership is not None
            and record.membership.rank > 0
        }
        return [head for head in heads if head.membership.key in keys]

    def find_silent_heads(self, records, break_time):
        """Find the engines that can't head an open group any more.

        Until enough other nodes were asked, such an engine may serve the
        requests of some.

        Parameters
        ----------
        records : iterable of balsamwind.pool.ServerRecord
            Engines of the shard.
        break_time : float
            Time after which a head that has lost a member has broken its
            group (seconds).

        Returns
        -------
        (dict of str to balsamwind.pool.HeadSilent, frozenset of str)
            By the id of the engine; and ids of those of which not enough other
            nodes could say whether they reach them.
        """
        down = self._prober.down
        found = {}
        doubtful = set()
        for record in records:
            if record.server_id not in down or record.listed:
                continue
            silent_for = self._prober.silent_for(
                record.server_id, self._clock.monotonic()
            )
            if silent_for <= break_time:
                continue
            if not self._opinions.are_enough(record):
                doubtful.add(record.server_id)
                continue
            found[record.server_id] = pool.HeadSilent(
                record.server_id,
                silent_for,
                self._opinions.count_asked(record),
            )
        return found, frozenset(doubtful)

    def find_former_heads(self, records):
        """Find what has become of heads that no engine reports to be.

        Parameters
        ----------
        records : iterable of balsamwind.pool.ServerRecord
            Engines of the shard.

        Returns
        -------
        dict of (str, int) to object
            See `balsamwind.pool.HeadHistory.find_former_heads`.
        """
        return self._history.find_former_heads(
            records, self.heard_of_entries_for()
        )

    def log_held(self, service, held):
        """Log the groups whose members are held, at changes of the reason.

        Parameters
        ----------
        service : str
            Name of the service.
        held : list of balsamwind.pool.HoldMembers
            All of them, as last planned.
        """
        before = self._held_reasons.get(service, {})
        self._held_reasons[service] = {
            action.group.key: action.reason for action in held
        }
        for action in held:
            group = action.group
            if before.get(group.key) == action.reason:
                continue
            head = group.head
            self._log.info(
                'members_held',
                group=group.name,
                head=head and head.server_id,
                members=[member.server_id for member in group.members],
                reason=action.reason,
            )
