"""Queue of requests that wait for a slot of an engine."""

import collections

from balsamwind.scheduling import _due_times
from balsamwind.scheduling import _entries
from balsamwind.scheduling import _model_queue
from balsamwind.scheduling import _promises
from balsamwind.scheduling import _recent_work
from balsamwind.scheduling import _tickets

MAX_ACCOUNT_SHARE = 0.5
"""Largest part of a full queue that one account may hold."""

RECHECK_INTERVAL = 0.25
"""Time between predictions for tickets that wait already (seconds)."""

RECHECK_FACTOR = 0.9
"""Factor on a predicted wait when it is repeated for a waiting ticket.

Predictions vary with the load. Without the margin, a ticket that was just
accepted would be rejected by the next small change.
"""


def _make_counts():
    return collections.defaultdict(int)


class WaitingQueue:
    """Decides which request starts next, which wait and which are rejected.

    Parameters
    ----------
    max_tickets : int
        Largest number of tickets that wait (count).
    max_account_share : float
        Largest part of `max_tickets` that one account may hold.

    Attributes
    ----------
    max_tickets : int
        As above; may be set when the number of slots changes.

    Notes
    -----
    All methods take the time, and nothing depends on randomness: the same
    calls lead to the same decisions.
    """

    __slots__ = (
        '_account_counts',
        '_deadlines',
        '_demand',
        '_entries',
        '_key_counts',
        '_max_account_share',
        '_model_counts',
        '_models',
        '_number',
        '_overdue',
        '_promises',
        '_rank_counts',
        '_rank_totals',
        '_rechecked_at',
        'max_tickets',
    )

    def __init__(self, max_tickets, max_account_share=MAX_ACCOUNT_SHARE):
        self.max_tickets = max_tickets
        self._max_account_share = max_account_share
        self._models = {}
        self._entries = {}
        self._number = 0
        self._account_counts = collections.defaultdict(int)
        self._model_counts = collections.defaultdict(int)
        self._key_counts = collections.defaultdict(int)
        # Rank -> account -> number of tickets.
        self._rank_counts = collections.defaultdict(_make_counts)
        self._rank_totals = collections.defaultdict(int)
        # Work recently asked for by rank, in all models.
        self._demand = _recent_work.RecentWork()
        self._deadlines = _due_times.DueTimes(self._is_waiting)
        # Entries whose latest start has passed, until they are rejected.
        self._overdue = {}
        self._promises = _promises.ReturnPromises()
        self._rechecked_at = None

    def __len__(self):
        return len(self._entries)

    @property
    def models(self):
        """Models with waiting tickets (list of str)."""
        return [model for model, count in self._model_counts.items() if count]

    def count(self, model):
        """Return how many tickets of a model wait.

        Parameters
        ----------
        model : str
            Name of the model.

        Returns
        -------
        int
        """
        return self._model_counts.get(model, 0)

    def count_by_rank(self):
        """Return how many tickets of each rank wait.

        Returns
        -------
        dict of int to int
        """
        return dict(self._rank_totals)

    def add(self, ticket, room_rate, now):
        """Let a request wait, or reject it or one that it displaces.

        Parameters
        ----------
        ticket : Ticket
            Request that does not wait yet.
        room_rate : float
            Work that the groups of its model finish in a second (seconds of
            slot time per second).
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        list of Rejection
            Of it, or of one that it displaces; empty if it waits.
        """
        if ticket in self._entries:
            raise ValueError('The ticket waits already.')
        model_queue = self._find_model(ticket.model)
        model_queue.room_rate = room_rate
        entry = self._make_entry(model_queue, ticket, now)
        reason = self._find_reason_against(model_queue, entry, now)
        is_early = entry.promise is not None and entry.promise.is_early(now)
        if reason is not None and is_early:
            retry_after = entry.promise.at - now
            return [_tickets.Rejection(ticket, reason, retry_after)]
        if entry.promise is not None:
            self._promises.take_up(ticket, entry.promise)
        if reason is not None:
            return [self._reject(entry, reason, now)]
        self._insert(model_queue, entry, now)
        victim, reason = self._find_victim(ticket.account)
        if victim is None:
            return []
        self._drop(victim)
        return [self._reject(victim, reason, now)]

    def peek(self, model, now):
        """Return the next request to start, without taking it.

        Parameters
        ----------
        model : str
            Name of the model with a free slot.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        Ticket or None
        """
        entry = self._find_next(model, now)
        return None if entry is None else entry.ticket

    def take(self, model, now):
        """Remove the next request to start, and charge its work.

        Requests whose latest start has passed are left to `expire`.

        Parameters
        ----------
        model : str
            Name of the model with a free slot.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        Ticket or None
            None if none waits.
        """
        entry = self._find_next(model, now)
        if entry is None:
            return None
        self._models[model].take(entry, now)
        self._discount(entry.ticket)
        return entry.ticket

    def charge(self, ticket, now):
        """Record a request that started without waiting.

        Parameters
        ----------
        ticket : Ticket
            Request.
        now : float
            Current time (seconds, boot clock).
        """
        model_queue = self._find_model(ticket.model)
        promise = self._promises.find(ticket, now)
        if promise is None:
            self._record_demand(model_queue, ticket, now)
        else:
            self._promises.take_up(ticket, promise)
        model_queue.charge(ticket, now)

    def remove(self, ticket):
        """Remove a request whose caller left.

        Parameters
        ----------
        ticket : Ticket
            Request.

        Returns
        -------
        bool
            Whether it was waiting.
        """
        entry = self._entries.get(ticket)
        if entry is None:
            return False
        self._drop(entry)
        return True

    def expire(self, now, find_room_rate):
        """Reject requests that can't start before their deadline any more.

        Those whose latest start has passed are rejected first. Now and then,
        the waits of the last ones are predicted again, as the capacity may
        have fallen.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).
        find_room_rate : callable
            Called with the name of a model; returns its `room_rate`, see
            `add`.

        Returns
        -------
        list of Rejection
        """
        for model in self.models:
            self._models[model].room_rate = find_room_rate(model)
        self._collect_overdue(now)
        overdue = list(self._overdue.values())
        rejections = [self._reject_overdue(entry, now) for entry in overdue]
        if (
            self._rechecked_at is None
            or now - self._rechecked_at >= RECHECK_INTERVAL
        ):
            self._rechecked_at = now
            self._promises.expire(now)
            rejections.extend(self._recheck(now))
        return rejections

    def find_wait(self, ticket, room_rate, now):
        """Predict the wait of a request.

        Parameters
        ----------
        ticket : Ticket
            Request that waits, or may be added.
        room_rate : float
            See `add`.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        float
            Wait (seconds), infinite if its turn is not seen.
        """
        entry = self._entries.get(ticket)
        if entry is None:
            entry = _entries.Entry(ticket, returned=ticket.returned)
        model_queue = self._find_model(ticket.model)
        model_queue.room_rate = room_rate
        return model_queue.find_wait(entry, now)

    def _make_entry(self, model_queue, ticket, now):
        self._number += 1
        if (ticket.account, ticket.key) in self._key_counts:
            self._promises.mark_shared(ticket, now)
        promise = self._promises.find(ticket, now)
        if promise is None:
            self._record_demand(model_queue, ticket, now)
        start_by = ticket.start_by
        returned = ticket.returned
        if promise is not None:
            start_by = min(start_by, promise.first_start_by)
            returned = promise.is_reserved and not promise.is_early(now)
        if returned:
            model_queue.record_return(ticket, now)
        shares = model_queue.find_rank(ticket.rank).service_shares
        service_class = shares.classify(ticket)
        return _entries.Entry(
            ticket,
            self._number,
            start_by,
            returned,
            promise,
            service_class,
            shares.is_underserved(service_class, now),
        )

    def _record_demand(self, model_queue, ticket, now):
        self._demand.add(ticket.rank, ticket.work, now)
        model_queue.record_demand(ticket, now)

    def _find_reason_against(self, model_queue, entry, now):
        """Return why an entry is rejected before it waits, or None."""
        ticket = entry.ticket
        is_early = entry.promise is not None and entry.promise.is_early(now)
        if is_early and model_queue.has_preceding(ticket.rank):
            return _tickets.RejectionReason.EARLY_RETURN
        if not model_queue.starts_by(entry, now):
            return _tickets.RejectionReason.TOO_LATE
        return None

    def _insert(self, model_queue, entry, now):
        ticket = entry.ticket
        model_queue.add(entry, now)
        self._entries[ticket] = entry
        self._deadlines.add(ticket.last_start, entry.number, entry)
        self._account_counts[ticket.account] += 1
        self._model_counts[ticket.model] += 1
        self._rank_totals[ticket.rank] += 1
        self._rank_counts[ticket.rank][ticket.account] += 1
        if ticket.key:
            self._key_counts[ticket.account, ticket.key] += 1

    def _discount(self, ticket):
        """Remove a ticket from the counts."""
        del self._entries[ticket]
        self._account_counts[ticket.account] -= 1
        self._model_counts[ticket.model] -= 1
        self._rank_totals[ticket.rank] -= 1
        self._rank_counts[ticket.rank][ticket.account] -= 1
        if ticket.key:
            key = (ticket.account, ticket.key)
            self._key_counts[key] -= 1
            if not self._key_counts[key]:
                del self._key_counts[key]

    def _drop(self, entry):
        """Remove an entry without charging its work."""
        if self._overdue.pop(entry.ticket, None) is None:
            entry.flow.fair_queue.remove(entry)
        self._discount(entry.ticket)

    def _find_next(self, model, now):
        self._collect_overdue(now)
        model_queue = self._models.get(model)
        return None if model_queue is None else model_queue.peek(now)

    def _collect_overdue(self, now):
        for entry in self._deadlines.pop_due(now):
            entry.flow.fair_queue.remove(entry)
            self._overdue[entry.ticket] = entry

    def _is_waiting(self, entry):
        return entry.flow is not None

    def _find_victim(self, account):
        """Return the entry beyond a bound and the reason, or (None, None).

        Parameters
        ----------
        account : str
            Account of the ticket that was added.
        """
        is_full = len(self._entries) > self.max_tickets
        reason = _tickets.RejectionReason.QUEUE_FULL
        bound = self._max_account_share * self.max_tickets
        if self._account_counts[account] > bound:
            # Also in a full queue: the victim of another account would leave
            # this one beyond its bound.
            if not is_full:
                reason = _tickets.RejectionReason.ACCOUNT_FULL
            counts = {
                rank: counts.get(account, 0)
                for rank, counts in self._rank_counts.items()
            }
            rank = self._find_victim_rank(counts)
            return self._find_last(rank, account), reason
        if is_full:
            rank = self._find_victim_rank(self._rank_totals)
            counts = self._rank_counts[rank]
            account = max(counts, key=counts.get)
            return self._find_last(rank, account), reason
        return None, None

    def _find_victim_rank(self, counts):
        """Return the lowest rank that holds more than its minimum.

        Without the minimum, more urgent tickets would displace all others,
        which then could not get their share of the capacity.

        Parameters
        ----------
        counts : dict of int to int
            Number of tickets by rank.
        """
        size = sum(counts.values())
        for rank in sorted(counts, reverse=True):
            share = _model_queue.MIN_RANK_SHARE * self._demand.find_share(rank)
            if counts[rank] > share * size:
                return rank
        return max(rank for rank, count in counts.items() if count)

    def _find_last(self, rank, account):
        """Return the newest late entry of an account, else its newest one."""
        for entry in self._overdue.values():
            if entry.ticket.rank == rank and entry.ticket.account == account:
                return entry
        last = (
            model_queue.find_last(rank, account)
            for model_queue in self._models.values()
        )
        return max(
            (entry for entry in last if entry is not None),
            key=lambda entry: entry.ticket.arrived_at,
        )

    def _recheck(self, now):
        """Reject the last ones of each account that miss their deadline."""
        rejections = []
        for model in self.models:
            model_queue = self._models[model]
            for entry in model_queue.list_last():
                # A prediction may move it to the late ones, where it was met
                # and rejected before.
                while (
                    entry is not None
                    and self._is_waiting(entry)
                    and self._misses_deadline(model_queue, entry, now)
                ):
                    fair_queue = entry.flow.fair_queue
                    self._drop(entry)
                    reason = _tickets.RejectionReason.TOO_LATE
                    rejections.append(self._reject(entry, reason, now))
                    entry = fair_queue.find_last(entry.ticket.account)
        return rejections

    def _misses_deadline(self, model_queue, entry, now):
        wait = model_queue.find_wait(entry, now)
        return now + RECHECK_FACTOR * wait > entry.ticket.last_start

    def _reject_overdue(self, entry, now):
        self._drop(entry)
        return self._reject(entry, _tickets.RejectionReason.EXPIRED, now)

    def _reject(self, entry, reason, now):
        ticket = entry.ticket
        promise = entry.promise
        if promise is not None and promise.is_early(now):
            self._promises.restore(ticket, promise, now)
        else:
            rate = self._models[ticket.model].find_rank_rate(ticket.rank, now)
            promise = self._promises.make(ticket, entry.start_by, rate, now)
        return _tickets.Rejection(ticket, reason, promise.at - now)

    def _find_model(self, model):
        model_queue = self._models.get(model)
        if model_queue is None:
            model_queue = self._models[model] = _model_queue.ModelQueue()
        return model_queue
