"""Times at which rejected requests were told to come back."""

import collections
import dataclasses
import math

RETURN_SHARE = 0.2
"""Share of the capacity that promises take up."""

MAX_PROMISES = 20_000
"""Promises that are remembered (count)."""

HORIZON_FRACTION = 0.5
"""Part of the time left until its deadline in which a request returns.

A caller that is told to come back later has mostly given up by then, and the
promised capacity would be unused.
"""

SPREAD_TIME = 10.0
"""Time over which requests return for which no capacity is left (seconds)."""

MIN_RETRY_AFTER = 0.1
"""Shortest time after which a request comes back (seconds)."""

MAX_EARLY = 0.05
"""Time before the promised one at which a request is not early (seconds)."""

RETENTION_TIME = 10.0
"""Time for which a promise is kept after the promised time (seconds)."""

SPREAD_STEP = (math.sqrt(5.0) - 1.0) / 2.0
"""Golden section: its multiples modulo 1 are spread evenly at any count."""


@dataclasses.dataclass(slots=True, frozen=True, eq=False)
class Promise:
    """Time at which a rejected request may come back.

    Parameters
    ----------
    at : float
        Promised time (seconds, boot clock).
    first_start_by : float
        Latest start with which its first try met its objective (seconds,
        boot clock).
    is_reserved : bool
        Whether capacity is reserved for it. If not, the time only spreads
        the returns.
    """

    at: float
    first_start_by: float
    is_reserved: bool

    def is_early(self, now):
        """Return whether a request that comes back now is early.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
        """
        return now < self.at - MAX_EARLY


class ReturnPromises:
    """Promises by account and key, and the capacity that they take up.

    Notes
    -----
    Several requests may have the same key, for example those with the same
    prompt. Each promise is therefore taken up by one request only. A key
    with which several requests waited or were rejected at once does not tell
    who comes back early, so its requests count as new before the time.
    """

    __slots__ = ('_by_key', '_in_order', '_next_at', '_shared', '_spread')

    def __init__(self):
        self._by_key = {}
        # All promises that were made, in the order in which they were.
        self._in_order = collections.deque()
        self._next_at = {}
        # Keys of several requests -> when this is forgotten.
        self._shared = {}
        self._spread = 0.0

    def __len__(self):
        return sum(len(promises) for promises in self._by_key.values())

    def make(self, ticket, first_start_by, rate, now):
        """Promise a time to a rejected request.

        Parameters
        ----------
        ticket : Ticket
            Rejected request.
        first_start_by : float
            Latest start with which its first try met its objective (seconds,
            boot clock).
        rate : float
            Work that its rank finishes in a second (seconds of slot time per
            second).
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        Promise
        """
        line = (ticket.model, ticket.rank)
        earliest = now + MIN_RETRY_AFTER
        at = max(earliest, self._next_at.get(line, earliest))
        # Counted to the end, so that large requests can be promised as late
        # a return as small ones.
        left = ticket.last_start + ticket.work - now
        latest = min(now + HORIZON_FRACTION * left, ticket.last_start)
        is_reserved = rate > 0.0 and at <= latest
        if is_reserved:
            self._next_at[line] = at + ticket.work / (RETURN_SHARE * rate)
        else:
            self._spread = (self._spread + SPREAD_STEP) % 1.0
            at += SPREAD_TIME * self._spread
        promise = Promise(at, first_start_by, is_reserved)
        self._store(ticket, promise, now)
        return promise

    def restore(self, ticket, promise, now):
        """Keep a promise whose request was rejected before its time.

        Parameters
        ----------
        ticket : Ticket
            Request.
        promise : Promise
            Result of `find`.
        now : float
            Current time (seconds, boot clock).
        """
        self._store(ticket, promise, now)

    def mark_shared(self, ticket, now):
        """Record that several requests have the same key.

        Parameters
        ----------
        ticket : Ticket
            One of them.
        now : float
            Current time (seconds, boot clock).
        """
        if len(self._shared) < MAX_PROMISES:
            key = (ticket.account, ticket.key)
            self._shared[key] = now + RETENTION_TIME

    def find(self, ticket, now):
        """Return the earliest promise made to a request.

        Parameters
        ----------
        ticket : Ticket
            Request that arrives.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        Promise or None
            None if there is none, it has expired, or it is early and the key
            does not tell whose it is.
        """
        key = (ticket.account, ticket.key)
        promises = self._by_key.get(key)
        if promises is None:
            return None
        while promises and promises[0].at + RETENTION_TIME < now:
            promises.popleft()
        if not promises:
            del self._by_key[key]
            return None
        if promises[0].is_early(now) and key in self._shared:
            return None
        return promises[0]

    def take_up(self, ticket, promise):
        """Remove a promise whose request waits or has started.

        Parameters
        ----------
        ticket : Ticket
            Request.
        promise : Promise
            Result of `find`.
        """
        self._forget((ticket.account, ticket.key), promise)

    def expire(self, now):
        """Forget promises whose time has passed.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).
        """
        in_order = self._in_order
        while in_order and in_order[0][1].at + RETENTION_TIME < now:
            self._forget(*in_order.popleft())
        if self._shared:
            self._shared = {
                key: end for key, end in self._shared.items() if end >= now
            }

    def _store(self, ticket, promise, now):
        if not ticket.key:
            return
        key = (ticket.account, ticket.key)
        promises = self._by_key.get(key)
        if promises is None:
            promises = self._by_key[key] = collections.deque()
        elif promises:
            self.mark_shared(ticket, now)
        promises.append(promise)
        self._in_order.append((key, promise))
        if len(self._in_order) > MAX_PROMISES:
            self._forget(*self._in_order.popleft())

    def _forget(self, key, promise):
        promises = self._by_key.get(key)
        if promises is None or promise not in promises:
            return
        promises.remove(promise)
        if not promises:
            del self._by_key[key]
