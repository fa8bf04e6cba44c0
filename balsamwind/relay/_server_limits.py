"""Limits on the rate of requests that backend servers state.

Load pattern: a backend server in need states in its answers how many requests
a second it takes from all nodes together. It looks idle meanwhile, so that
each node that chooses by load alone prefers it.

No node asks another one before it sends a request. Each may spend a share of
the limit, from a token bucket that is empty at first; the shares of all nodes
never add up to more than the limit, see `balsamwind.node.LimitShares`.
"""

import dataclasses

BURST_TIME = 1.0
"""Time whose requests may be sent at once (seconds)."""

MIN_RATE = 1.0 / 30.0
"""Rate at which a node with a share sends at least, to learn of the end of a
limit (requests per second)."""

RETENTION_TIME = 120.0
"""Time without a statement after which a server is forgotten (seconds)."""

REPORT_INTERVAL = 10.0
"""Time after which other nodes are told of an unchanged limit (seconds)."""

MAX_SERVERS = 1024
"""Servers whose limits are remembered (count)."""


@dataclasses.dataclass(slots=True, frozen=True)
class StatedLimit:
    """What a backend server states of its limit.

    Parameters
    ----------
    server_id : str
        Id of the server.
    born : int
        Start of the server that states it; a later one has no limit.
    data_centre : str
        Data centre of the server.
    rate_limit : float or None
        Requests that it takes from all nodes (per second); None if it states
        no limit any more.
    age : float
        Time since the statement (seconds); of an end, since the request was
        sent whose answer stated no limit.
    """

    server_id: str
    born: int
    data_centre: str
    rate_limit: float | None
    age: float = 0.0


class _Bucket:
    """Tokens of this node for one server."""

    __slots__ = (
        '_promised_until',
        '_refilled_at',
        '_share',
        '_tokens',
        'data_centre',
        'rate_limit',
        'reported_at',
        'stated_at',
    )

    def __init__(self, data_centre):
        self.data_centre = data_centre
        self.rate_limit = None
        self.stated_at = float('-inf')
        self.reported_at = float('-inf')
        self._tokens = 0.0
        self._share = 0.0
        self._promised_until = float('-inf')
        self._refilled_at = float('-inf')

    def set_limit(self, rate_limit, share, now):
        """Replace the limit; tokens collected under the last one remain.

        Returns that were promised under it do not: they would come too late,
        or too early, for the tokens of the new one.
        """
        self._promised_until = float('-inf')
        if self.rate_limit is None:
            self._tokens = 0.0
        else:
            self.refill(share, now)
        self.rate_limit = rate_limit
        self._share = share
        self._refilled_at = now

    def refill(self, share, now):
        """Add the tokens of the time since the last refill.

        The smaller of the shares before and after counts, as it is not known
        when the share changed.
        """
        rate = self._find_rate(min(share, self._share))
        self._tokens += (now - self._refilled_at) * rate
        if share > 0.0:
            depth = max(1.0, self._find_rate(share) * BURST_TIME)
            self._tokens = min(self._tokens, depth)
        else:
            self._tokens = 0.0
        self._share = share
        self._refilled_at = now

    def find_wait(self):
        """Return the time until a request may be sent (seconds)."""
        missing = 1.0 - self._tokens
        rate = self._find_rate(self._share)
        if missing <= 0.0:
            return 0.0
        return missing / rate if rate > 0.0 else float('inf')

    def find_return(self, now):
        """Return when one more rejected request may come back (seconds)."""
        return max(now + self.find_wait(), self._promised_until)

    def promise_return(self, now):
        """Count a rejected request that is told to come back."""
        rate = self._find_rate(self._share)
        self._promised_until = self.find_return(now) + 1.0 / rate

    def take(self):
        """Count a request that is sent."""
        self._tokens = max(0.0, self._tokens - 1.0)

    def _find_rate(self, share):
        if share <= 0.0:
            return 0.0
        return max(self.rate_limit * share, MIN_RATE)


def _hold_all(data_centre):
    """Return the share of a node that knows no others."""
    return 1.0


class ServerLimits:
    """Limits of backend servers, and what this node may send under them.

    Attributes
    ----------
    find_share : callable
        Takes the data centre of a server and returns the share of its limit
        that this node may spend (0 to 1).
    """

    __slots__ = ('_buckets', 'find_share')

    def __init__(self):
        self._buckets = {}
        self.find_share = _hold_all

    def __bool__(self):
        return bool(self._buckets)

    @property
    def limited_count(self):
        """Backend servers that state a limit (count)."""
        return sum(
            bucket.rate_limit is not None for bucket in self._buckets.values()
        )

    def is_limited(self, record):
        """Tell whether a server states a limit.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.

        Returns
        -------
        bool
        """
        return self._find_bucket(record) is not None

    def record(self, record, rate_limit, sent_at, now):
        """Record what an answer to a request states.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        rate_limit : float or None
            Requests that it takes from all nodes (per second); None if the
            answer states no limit.
        sent_at : float
            When the request was sent (seconds, boot clock).
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        StatedLimit or None
            What the other nodes must know; None if it is nothing new.
        """
        stated_at = sent_at if rate_limit is None else now
        item = StatedLimit(
            record.server_id,
            record.born,
            record.data_centre,
            rate_limit,
            now - stated_at,
        )
        changed = self._apply(item, now)
        bucket = self._buckets.get((record.server_id, record.born))
        if bucket is None:
            return None
        is_due = (
            rate_limit is not None
            and now - bucket.reported_at >= REPORT_INTERVAL
        )
        if not changed and not is_due:
            return None
        bucket.reported_at = now
        return item

    def merge(self, items, now):
        """Add what other nodes were told by servers.

        Parameters
        ----------
        items : iterable of StatedLimit
            Statements, in any order; they may be known already.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        list of StatedLimit
            Those that change what is known here.
        """
        return [item for item in items if self._apply(item, now)]

    def list(self, now):
        """List what another node must know.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        tuple of StatedLimit
        """
        self._drop_expired(now)
        return tuple(
            StatedLimit(
                server_id,
                born,
                bucket.data_centre,
                bucket.rate_limit,
                now - bucket.stated_at,
            )
            for (server_id, born), bucket in self._buckets.items()
        )

    def find_end(self, record, now):
        """Return when this node may send a limited server a request.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        float or None
            Time (seconds, boot clock), infinite if another node spends the
            limit; None if a request may be sent now.
        """
        bucket = self._find_bucket(record)
        if bucket is None:
            return None
        bucket.refill(self.find_share(bucket.data_centre), now)
        wait = bucket.find_wait()
        return now + wait if wait > 0.0 else None

    def find_return(self, record, now):
        """Return when one more rejected request may come back.

        Requests that were told to come back before take the first tokens, so
        that they do not all come back for the same one.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        float or None
            Time (seconds, boot clock), infinite if another node spends the
            limit; None if a request may be sent now.
        """
        if self.find_end(record, now) is None:
            return None
        return self._find_bucket(record).find_return(now)

    def promise_return(self, record, now):
        """Count a rejected request that comes back for a server's token.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        now : float
            Current time (seconds, boot clock).
        """
        bucket = self._find_bucket(record)
        if bucket is not None:
            bucket.promise_return(now)

    def take(self, record):
        """Count a request that is sent to a server, if that is limited.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        """
        bucket = self._find_bucket(record)
        if bucket is not None:
            bucket.take()

    def _find_bucket(self, record):
        bucket = self._buckets.get((record.server_id, record.born))
        if bucket is None or bucket.rate_limit is None:
            return None
        return bucket

    def _apply(self, item, now):
        """Take a statement over if it is the latest; whether it changes it."""
        key = (item.server_id, item.born)
        bucket = self._buckets.get(key)
        if bucket is None:
            if item.rate_limit is None or item.age > RETENTION_TIME:
                return False
            self._drop_expired(now)
            if len(self._buckets) >= MAX_SERVERS:
                return False
            bucket = self._buckets[key] = _Bucket(item.data_centre)
        stated_at = now - item.age
        if stated_at < bucket.stated_at:
            return False
        bucket.stated_at = stated_at
        if item.rate_limit == bucket.rate_limit:
            return False
        share = self.find_share(bucket.data_centre)
        bucket.set_limit(item.rate_limit, share, now)
        return True

    def _drop_expired(self, now):
        for key, bucket in list(self._buckets.items()):
            if now - bucket.stated_at > RETENTION_TIME:
                del self._buckets[key]


NO_LIMITS = ServerLimits()
"""Limits of a node of which no server states one."""
