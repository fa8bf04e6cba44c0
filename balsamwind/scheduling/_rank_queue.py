"""Waiting tickets of one model and rank."""

from balsamwind.scheduling import _due_times
from balsamwind.scheduling import _fair_share
from balsamwind.scheduling import _minimum_share
from balsamwind.scheduling import _recent_work
from balsamwind.scheduling import _service_shares

LATE_SHARE = 0.2
"""Least share of the rank's capacity that late and returned tickets get."""


class RankQueue:
    """Tickets that can meet their objective, and the others.

    The first class precedes the second, which keeps a minimum share.

    Attributes
    ----------
    demand : RecentWork
        Work recently asked for, by account.
    in_time : FairQueue
        Tickets that can still meet their objective.
    late : FairQueue
        Tickets that can't, and those that returned as promised.
    minimum : MinimumShare
        Minimum share of this rank.
    returns : RecentWork
        Work of requests that recently came back as promised, by rank.
    service_shares : ServiceShares
        Requests asked for and started, by route and size.
    """

    __slots__ = (
        '_late_minimum',
        '_objectives',
        'demand',
        'in_time',
        'late',
        'minimum',
        'returns',
        'service_shares',
    )

    def __init__(self):
        self.demand = _recent_work.RecentWork()
        self.in_time = _fair_share.FairQueue(self.demand)
        self.late = _fair_share.FairQueue(self.demand)
        self.minimum = _minimum_share.MinimumShare()
        self.returns = _recent_work.RecentWork()
        self.service_shares = _service_shares.ServiceShares()
        self._late_minimum = _minimum_share.MinimumShare()
        self._objectives = _due_times.DueTimes(self._is_in_time)

    def __bool__(self):
        return bool(self.in_time.waiting or self.late.waiting)

    @property
    def work(self):
        """Work of all waiting tickets (seconds of slot time)."""
        return self.in_time.work + self.late.work

    def add(self, entry, now):
        """Add an entry.

        Parameters
        ----------
        entry : Entry
            Entry of this rank.
        now : float
            Current time (seconds, boot clock).
        """
        if entry.is_late(now):
            self.late.add(entry)
        else:
            self.in_time.add(entry)
            self._objectives.add(entry.start_by, entry.number, entry)

    def peek(self, now):
        """Return the entry that is next.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        Entry
            There must be one.
        """
        self.move_late(now)
        if self.late and (self._late_minimum.is_due or not self.in_time):
            return self.late.peek()
        return self.in_time.peek()

    def take(self, entry, now):
        """Remove the entry that is next, and charge its work.

        Parameters
        ----------
        entry : Entry
            Result of `peek`.
        now : float
            Current time (seconds, boot clock).
        """
        self.service_shares.record_started(entry.service_class, now)
        fair_queue = entry.flow.fair_queue
        self._share_out(entry.ticket.work, fair_queue is self.late)
        fair_queue.take(entry)

    def charge(self, ticket, now):
        """Record a request that started without waiting.

        Parameters
        ----------
        ticket : Ticket
            Request of this rank.
        now : float
            Current time (seconds, boot clock).
        """
        service_class = self.service_shares.classify(ticket)
        self.service_shares.record_started(service_class, now)
        self._share_out(ticket.work, ticket.returned)
        fair_queue = self.late if ticket.returned else self.in_time
        fair_queue.charge(ticket.account, ticket.work)

    def move_late(self, now):
        """Move the tickets that can't meet their objective any more.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).
        """
        for entry in self._objectives.pop_due(now):
            self.in_time.remove(entry)
            self.late.add(entry)

    def find_last(self, account):
        """Return the entry of an account that is given up first.

        Parameters
        ----------
        account : str
            Client account.

        Returns
        -------
        Entry or None
            The last late one, else the last one.
        """
        return self.late.find_last(account) or self.in_time.find_last(account)

    def _is_in_time(self, entry):
        flow = entry.flow
        return flow is not None and flow.fair_queue is self.in_time

    def _share_out(self, work, is_late):
        if self.late:
            self._late_minimum.earn(LATE_SHARE * work)
        if is_late:
            self._late_minimum.spend(work)
