"""Limits on the rate of requests that backend servers state.

Load pattern: a backend server in need states in its answers how many requests
a second it takes from all nodes together. It looks idle meanwhile, so that
each node that chooses by load alone prefers it.

No node asks another one before it sends a request. Each may spend a share of
the limit, from a token bucket that is empty at first; the shares of all nodes
never add up to more than the limit, see `balsamwind.node.LimitShares`.

A cold server has a limit of its own, from the same kind of bucket, whose size
is found by `balsamwind.servers.find_allowance`. A server that states a limit
as well needs a token of both, so that the smaller one holds.
"""

import dataclasses

from balsamwind import servers

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
        '_depth',
        '_promised_until',
        '_rate',
        '_refilled_at',
        '_tokens',
    )

    def __init__(self, now):
        self._tokens = 0.0
        self._rate = 0.0
        self._depth = 0.0
        self._refilled_at = now
        self._promised_until = float('-inf')

    def refill(self, rate, depth, now):
        """Add the tokens of the time since the last refill.

        The smaller of the rates before and after counts, as it is not known
        when the rate changed.
        """
        self._tokens += (now - self._refilled_at) * min(rate, self._rate)
        self._tokens = min(self._tokens, depth)
        self._rate = rate
        self._depth = depth
        self._refilled_at = now

    def forget_promises(self):
        """Forget returns that were promised under another limit.

        They would come too late, or too early, for the tokens of this one.
        """
        self._promised_until = float('-inf')

    def find_wait(self):
        """Return the time until a request may be sent (seconds)."""
        missing = 1.0 - self._tokens
        if missing <= 0.0:
            return 0.0
        return missing / self._rate if self._rate > 0.0 else float('inf')

    def find_return(self, now):
        """Return when one more rejected request may come back (seconds)."""
        return max(now + self.find_wait(), self._promised_until)

    def promise_return(self, now):
        """Count a rejected request that is told to come back."""
        self._promised_until = self.find_return(now)
        if self._rate > 0.0:
            self._promised_until += 1.0 / self._rate

    def take(self):
        """Count a request that is sent."""
        self._tokens = max(0.0, self._tokens - 1.0)


class _StatedBucket:
    """Tokens for a server that states a limit."""

    __slots__ = (
        'data_centre',
        'rate_limit',
        'reported_at',
        'stated_at',
        'tokens',
    )

    def __init__(self, data_centre):
        self.data_centre = data_centre
        self.rate_limit = None
        self.stated_at = float('-inf')
        self.reported_at = float('-inf')
        self.tokens = None

    def set_limit(self, rate_limit, share, now):
        """Replace the limit; tokens collected under the last one remain."""
        if self.rate_limit is None:
            self.tokens = _Bucket(now)
        else:
            self.refill(share, now)
            self.tokens.forget_promises()
        self.rate_limit = rate_limit
        if rate_limit is not None:
            self.refill(share, now)

    def refill(self, share, now):
        """Add the tokens of the time since the last refill."""
        if share <= 0.0:
            self.tokens.refill(0.0, 0.0, now)
            return
        rate = max(self.rate_limit * share, MIN_RATE)
        self.tokens.refill(rate, max(1.0, rate * BURST_TIME), now)


def _hold_all(data_centre):
    """Return the share of a node that knows no others."""
    return 1.0


def _lead_alone(data_centre):
    """Return the role of a node that knows no others, and their count."""
    return servers.Role.LEAD, 1


class ColdLimits:
    """Buckets of this node for servers that count as cold.

    Attributes
    ----------
    servers : balsamwind.servers.ColdServers
        Which servers are known to be cold.
    find_role : callable
        Takes the data centre of a server and returns the
        `balsamwind.servers.Role` of this node, and the number of data centres
        with nodes.
    spends_all : callable
        Returns whether this node has a role for each data centre.
    find_update_time : callable
        Returns when entries were last updated (seconds, boot clock).
    """

    __slots__ = (
        '_allowances',
        '_buckets',
        'find_role',
        'find_update_time',
        'servers',
        'spends_all',
    )

    def __init__(self):
        self.spends_all = lambda: True
        self.servers = servers.ColdServers()
        self.find_role = _lead_alone
        self.find_update_time = lambda: float('inf')
        self._buckets = {}
        self._allowances = {}

    def set_bounds(self, bounds):
        """Apply the bounds of the deployment.

        Parameters
        ----------
        bounds : balsamwind.node.Bounds
            New bounds.
        """
        self.servers.set_bounds(
            bounds.cold_excess, bounds.cold_slack, bounds.heartbeat
        )
        self._allowances.clear()

    def set_services(self, services, records, now):
        """Apply the services of a changed configuration.

        The parameters are those of
        `balsamwind.servers.ColdServers.set_services`.
        """
        self.servers.set_services(services, records, now)
        self._allowances.clear()

    def is_active(self, now):
        """Tell whether any server counts as cold.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
            False only if `find_bucket` returns None for each server.
        """
        if not self.servers:
            return False
        if self.servers.has_cold(now) or self._is_stale(now):
            return True
        self._buckets.clear()
        return self.servers.has_plain_services and not self.spends_all()

    def _is_stale(self, now):
        return self.servers.is_stale(self.find_update_time(), now)

    def is_cold(self, record, now):
        """Tell whether a server is cold as far as is known here.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
        """
        return self.servers.find_end(record, now) is not None

    def count(self, records, now):
        """Count the servers that are cold as far as is known here.

        Parameters
        ----------
        records : iterable of balsamwind.pool.ServerRecord
            Entries of servers.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        int
            Listed servers (count).
        """
        if not self.servers:
            return 0
        return sum(
            record.listed and self.is_cold(record, now) for record in records
        )

    def find_bucket(self, record, now):
        """Find the bucket of a server, with the tokens of this moment.

        Nodes that spend nothing of the bound send nothing to plain servers,
        also to those that look warm here: they would all find out late that
        one is not. To replica groups that are not known to be cold they do
        send: an engine that has started again runs no request until its
        leader, which knows, has opened a group, and in an outage of the store
        most nodes have no publisher and would reject all requests.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        _Bucket or None
            None if the server does not count as cold.
        """
        bound = self.servers.find_bound(record.service)
        if bound is None:
            return None
        key = (record.server_id, record.born)
        role, data_centre_count = self.find_role(record.data_centre)
        if role is servers.Role.NONE:
            may_be_cold = not self.servers.has_groups(record.service)
        else:
            may_be_cold = self._is_stale(now)
        if not may_be_cold and not self.is_cold(record, now):
            self._buckets.pop(key, None)
            return None
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _Bucket(now)
        allowance = self._find_allowance(bound, role, data_centre_count)
        bucket.refill(allowance.rate, allowance.depth, now)
        return bucket

    def _find_allowance(self, bound, role, data_centre_count):
        key = (bound.rate, role, data_centre_count)
        allowance = self._allowances.get(key)
        if allowance is None:
            allowance = self._allowances[key] = servers.find_allowance(
                bound, role, data_centre_count
            )
        return allowance

    def get_bucket(self, record):
        """Return the bucket of the last `find_bucket`, or None."""
        return self._buckets.get((record.server_id, record.born))


class ServerLimits:
    """Limits of backend servers, and what this node may send under them.

    Attributes
    ----------
    find_share : callable
        Takes the data centre of a server and returns the share of its limit
        that this node may spend (0 to 1).
    cold : ColdLimits
        Limits of cold servers, which they do not state.
    """

    __slots__ = ('_buckets', 'cold', 'find_share')

    def __init__(self):
        self._buckets = {}
        self.cold = ColdLimits()
        self.find_share = _hold_all

    def __bool__(self):
        return bool(self._buckets) or bool(self.cold.servers)

    @property
    def limited_count(self):
        """Backend servers that state a limit (count)."""
        return sum(
            bucket.rate_limit is not None for bucket in self._buckets.values()
        )

    def is_active(self, now):
        """Tell whether any server may be limited.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
        """
        return bool(self._buckets) or self.cold.is_active(now)

    def is_limited(self, record, now=None):
        """Tell whether a server has a limit.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        now : float or None
            Current time (seconds, boot clock); None for the limit that the
            server states alone.

        Returns
        -------
        bool
        """
        if self._find_stated(record) is not None:
            return True
        return now is not None and (
            self.cold.find_bucket(record, now) is not None
        )

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
        wait = max(
            (bucket.find_wait() for bucket in self._refill(record, now)),
            default=0.0,
        )
        return now + wait if wait > 0.0 else None

    def _refill(self, record, now):
        """List the buckets of a server, with the tokens of this moment."""
        buckets = []
        stated = self._find_stated(record)
        if stated is not None:
            stated.refill(self.find_share(stated.data_centre), now)
            buckets.append(stated.tokens)
        cold = self.cold.find_bucket(record, now)
        if cold is not None:
            buckets.append(cold)
        return buckets

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
        return max(
            bucket.find_return(now) for bucket in self._refill(record, now)
        )

    def promise_return(self, record, now):
        """Count a rejected request that comes back for a server's token.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        now : float
            Current time (seconds, boot clock).
        """
        for bucket in self._get_buckets(record):
            bucket.promise_return(now)

    def take(self, record):
        """Count a request that is sent to a server, if that is limited.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server, which `find_end` has found free just now.
        """
        for bucket in self._get_buckets(record):
            bucket.take()

    def _get_buckets(self, record):
        stated = self._find_stated(record)
        cold = self.cold.get_bucket(record)
        buckets = [] if stated is None else [stated.tokens]
        return buckets if cold is None else [*buckets, cold]

    def _find_stated(self, record):
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
            bucket = self._buckets[key] = _StatedBucket(item.data_centre)
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
