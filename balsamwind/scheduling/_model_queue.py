"""Waiting tickets of one model, by rank."""

import dataclasses
import math

from balsamwind.scheduling import _rank_queue
from balsamwind.scheduling import _recent_work

MIN_RANK_SHARE = 0.3
"""Least part of its proportional capacity that a lower rank keeps."""


@dataclasses.dataclass(slots=True)
class _Capacity:
    """Capacity of one rank.

    Parameters
    ----------
    rest : float
        What the demand of the more urgent ranks and the minimum shares of
        the others leave; may be negative (seconds of slot time per second).
    minimum : float
        Its minimum share (seconds of slot time per second).
    more_urgent_work : float
        Waiting work of more urgent ranks (seconds of slot time).
    """

    rest: float
    minimum: float
    more_urgent_work: float

    @property
    def rate(self):
        """Work that the rank finishes (seconds of slot time per second)."""
        return max(self.rest, self.minimum)

    def find_time(self, work):
        """Return the time in which the rank starts work.

        Parameters
        ----------
        work : float
            Work (seconds of slot time).

        Returns
        -------
        float
            Time (seconds), infinite if there is no capacity.
        """
        wait = math.inf
        if self.rest > 0.0:
            wait = (work + self.more_urgent_work) / self.rest
        if self.minimum > 0.0:
            wait = min(wait, work / self.minimum)
        return wait


class ModelQueue:
    """Tickets that wait for slots of the same groups.

    Attributes
    ----------
    demand : RecentWork
        Work recently asked for, by rank.
    room_rate : float
        Latest known work that the groups finish in a second (seconds of slot
        time per second).
    ranks : dict of int to RankQueue
        Tickets by rank, the most urgent first.
    """

    __slots__ = ('demand', 'ranks', 'room_rate')

    def __init__(self):
        self.demand = _recent_work.RecentWork()
        self.ranks = {}
        self.room_rate = 0.0

    def __bool__(self):
        return any(self.ranks.values())

    def record_demand(self, ticket, now):
        """Count the work of a request that is asked for the first time.

        Parameters
        ----------
        ticket : Ticket
            Request.
        now : float
            Current time (seconds, boot clock).
        """
        self.demand.add(ticket.rank, ticket.work, now)
        rank_queue = self.find_rank(ticket.rank)
        rank_queue.demand.add(ticket.account, ticket.work, now)
        rank_queue.service_shares.record_asked(ticket, now)

    def record_return(self, ticket, now):
        """Count a request that comes back at a time that it was promised.

        Parameters
        ----------
        ticket : Ticket
            Request.
        now : float
            Current time (seconds, boot clock).
        """
        returns = self.find_rank(ticket.rank).returns
        returns.add(ticket.rank, ticket.work, now)

    def add(self, entry, now):
        """Add an entry.

        Parameters
        ----------
        entry : Entry
            Entry of this model.
        now : float
            Current time (seconds, boot clock).
        """
        self.find_rank(entry.ticket.rank).add(entry, now)

    def peek(self, now):
        """Return the entry that is next.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        Entry or None
            None if nothing waits.
        """
        first = None
        for rank_queue in self.ranks.values():
            if rank_queue:
                if first is None:
                    first = rank_queue
                elif rank_queue.minimum.is_due:
                    return rank_queue.peek(now)
        return None if first is None else first.peek(now)

    def take(self, entry, now):
        """Remove the entry that is next, and charge its work.

        Parameters
        ----------
        entry : Entry
            Result of `peek`.
        now : float
            Current time (seconds, boot clock).
        """
        ticket = entry.ticket
        self._share_out(ticket)
        self.ranks[ticket.rank].take(entry, now)

    def charge(self, ticket, now):
        """Record a request that started without waiting.

        Parameters
        ----------
        ticket : Ticket
            Request of this model.
        now : float
            Current time (seconds, boot clock).
        """
        self._share_out(ticket)
        self.find_rank(ticket.rank).charge(ticket, now)

    def find_rank(self, rank):
        """Return the tickets of a rank, none of which need wait.

        Parameters
        ----------
        rank : int
            Rank.

        Returns
        -------
        RankQueue
        """
        rank_queue = self.ranks.get(rank)
        if rank_queue is None:
            self.ranks[rank] = _rank_queue.RankQueue()
            self.ranks = dict(sorted(self.ranks.items()))
            rank_queue = self.ranks[rank]
        return rank_queue

    def find_rank_rate(self, rank, now):
        """Return the capacity that a rank has.

        Parameters
        ----------
        rank : int
            Rank.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        float
            Work (seconds of slot time per second).
        """
        return self._find_capacity(rank, now).rate

    def starts_by(self, entry, now):
        """Predict whether an entry starts in time for its deadline.

        Parameters
        ----------
        entry : Entry
            Entry that waits here, or is only asked about.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
        """
        left = entry.ticket.last_start - now
        rank_queue = self.find_rank(entry.ticket.rank)
        capacity = self._find_capacity(entry.ticket.rank, now)
        # Mostly, there is time for all that waits. This takes a fraction of
        # the time that a prediction takes.
        share = self._find_late_share(rank_queue, entry, capacity, now)
        if capacity.find_time(rank_queue.work) <= left * share:
            return True
        return self._find_wait(rank_queue, entry, capacity, now) <= left

    def find_wait(self, entry, now):
        """Predict when an entry starts.

        Parameters
        ----------
        entry : Entry
            Entry that waits here, or is only asked about.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        float
            Wait (seconds), infinite if its turn is not seen.
        """
        rank_queue = self.find_rank(entry.ticket.rank)
        capacity = self._find_capacity(entry.ticket.rank, now)
        return self._find_wait(rank_queue, entry, capacity, now)

    def _find_wait(self, rank_queue, entry, capacity, now):
        rank_queue.move_late(now)
        if entry.is_late(now):
            return self._find_late_wait(rank_queue, entry, capacity, 0.0, now)
        work = rank_queue.in_time.find_work_ahead(entry)
        available = 1.0
        if rank_queue.late:
            available -= _rank_queue.LATE_SHARE
        wait = capacity.find_time(work / available)
        left = entry.start_by - now
        if wait <= left:
            return wait
        # Those ahead of it that don't start in time either are late before
        # it is.
        moved = work * (1.0 - left / wait)
        return max(
            left,
            self._find_late_wait(rank_queue, entry, capacity, moved, now),
        )

    def has_preceding(self, rank):
        """Return whether tickets of a rank or a more urgent one wait.

        Parameters
        ----------
        rank : int
            Rank.

        Returns
        -------
        bool
        """
        return any(
            rank_queue
            for other, rank_queue in self.ranks.items()
            if other <= rank
        )

    def find_last(self, rank, account):
        """Return the entry that is given up first, see `RankQueue`.

        Parameters
        ----------
        rank : int
            Rank.
        account : str
            Client account.

        Returns
        -------
        Entry or None
        """
        rank_queue = self.ranks.get(rank)
        return None if rank_queue is None else rank_queue.find_last(account)

    def list_last(self):
        """Return the last entry of each account, class and rank.

        Returns
        -------
        list of Entry
            The less urgent ranks and late ones first.
        """
        return [
            fair_queue.find_last(account)
            for rank_queue in reversed(self.ranks.values())
            for fair_queue in (rank_queue.late, rank_queue.in_time)
            for account in fair_queue.waiting
        ]

    def _find_late_wait(self, rank_queue, entry, capacity, moved, now):
        """Predict when an entry starts in the class of the late ones."""
        work = rank_queue.late.find_work_ahead(entry) + moved
        wait = math.inf
        share = self._find_late_share(rank_queue, entry, capacity, now)
        if share > 0.0:
            wait = capacity.find_time(work / share)
        rest = capacity.rest
        rest -= self.demand.find_rate(entry.ticket.rank, now)
        if rest > 0.0:
            work += capacity.more_urgent_work + rank_queue.in_time.work
            wait = min(wait, work / rest)
        return wait

    def _find_late_share(self, rank_queue, entry, capacity, now):
        """Return the share of a rank that its late tickets have at least.

        What returned tickets take of it is not there for the others.
        """
        returns = rank_queue.returns.find_rate(entry.ticket.rank, now)
        if entry.returned or not returns:
            return _rank_queue.LATE_SHARE
        rate = max(returns, capacity.rate)
        return _rank_queue.LATE_SHARE - returns / rate

    def _find_capacity(self, rank, now):
        """Return what other ranks leave to one."""
        more_urgent_work = 0.0
        rest = self.room_rate
        for other, rank_queue in self.ranks.items():
            if other < rank:
                more_urgent_work += rank_queue.work
                rest -= self.demand.find_rate(other, now)
            elif other > rank and rank_queue:
                rest -= self._find_minimum(other)
        minimum = self._find_minimum(rank)
        return _Capacity(rest, minimum, more_urgent_work)

    def _find_minimum(self, rank):
        share = self.demand.find_share(rank)
        return MIN_RANK_SHARE * share * self.room_rate

    def _share_out(self, ticket):
        """Credit the waiting lower ranks with their share of started work."""
        first = None
        for rank, rank_queue in self.ranks.items():
            if rank_queue:
                if first is None:
                    first = rank
                else:
                    share = MIN_RANK_SHARE * self.demand.find_share(rank)
                    rank_queue.minimum.earn(share * ticket.work)
            if rank == ticket.rank:
                rank_queue.minimum.spend(ticket.work)
