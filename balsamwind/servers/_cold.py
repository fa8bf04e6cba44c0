"""Servers that have just started, and what each node may send them.

Load pattern: a server that has just started takes few requests a second. All
nodes together must stay below a bound in any window of one second, also if
they have lost each other, and without asking each other before they send.

Each node that may send at all has a token bucket. A token is taken when the
backend is chosen, and the attempt is sent at most `MAX_SEND_DELAY` later, so
that the attempts of one second have taken their tokens within
1 + `MAX_SEND_DELAY` seconds. With the depth d and the rate r of each bucket,
they are at most

    sum of d + (1 + MAX_SEND_DELAY) x sum of r.

Depths and rates depend on the rank of the node in its own list of nodes, not
on which nodes are alive or connected: connections that are lost on one side
only, or a node that was paused, would give one share to two nodes. The sum
counts all ranks as spending at the same time, also those that another node
places requests for, and one node that has joined and moved the ranks before
the others know of it. A node that learns late that a server is cold, or that
is told by a lower rank, spends no more than its own bucket. `find_allowance`
scales the rates so that the sum is at most the bound.
"""

import dataclasses
import enum

MAX_SEND_DELAY = 0.2
"""Longest time from the choice of a cold server until the attempt is sent
(seconds); later, another choice is made."""

STALE_HEARTBEATS = 2
"""Heartbeats without an update of entries after which each server counts as
cold (count)."""

LEAD_DEPTH = 2.0
"""Depth of the bucket of the placing node (count). With one token, it would
lose the time until the next request is placed."""

MIN_RATE_SHARE = 0.8
"""Least sum of the rates, as a share of `ColdBound.rate`, for which successors
in other data centres have buckets."""


class Role(enum.Enum):
    """What a node spends of the bound of a server.

    Attributes
    ----------
    LEAD
        First node of the server's data centre.
    JOINING
        First node of the server's data centre, if others may not know of it.
    SUCCESSOR
        Second node of the server's data centre.
    RESERVE
        Third node of the server's data centre.
    FOREIGN_LEAD
        First node of another data centre.
    FOREIGN_SUCCESSOR
        Second node of another data centre.
    NONE
        Any other node, and one that another node places requests for.
    """

    LEAD = 'lead'
    JOINING = 'joining'
    SUCCESSOR = 'successor'
    RESERVE = 'reserve'
    FOREIGN_LEAD = 'foreign lead'
    FOREIGN_SUCCESSOR = 'foreign successor'
    NONE = 'none'


_LOCAL_SHARES = {
    Role.LEAD: 0.82,
    Role.JOINING: 0.02,
    Role.SUCCESSOR: 0.06,
    Role.RESERVE: 0.01,
}
"""Shares of the rate in the data centre of the server."""

_FOREIGN_SHARES = {Role.FOREIGN_LEAD: 0.10, Role.FOREIGN_SUCCESSOR: 0.02}
"""Shares of the rate that all other data centres have together."""


@dataclasses.dataclass(slots=True, frozen=True)
class ColdBound:
    """Bound on the requests to a cold server in any window of one second.

    Parameters
    ----------
    rate : float
        Requests that the service allows (per second).
    excess : float
        Factor applied to the rate.
    slack : float
        Requests in addition (count).
    """

    rate: float
    excess: float
    slack: float

    @property
    def count(self):
        """Requests of all nodes in a window of one second (count)."""
        return self.rate * self.excess + self.slack


@dataclasses.dataclass(slots=True, frozen=True)
class Allowance:
    """Token bucket of one node for one cold server.

    Parameters
    ----------
    rate : float
        Tokens that are added (per second).
    depth : float
        Most tokens that are saved up (count).
    """

    rate: float
    depth: float


NO_ALLOWANCE = Allowance(0.0, 0.0)
"""Bucket of a node that sends a cold server nothing."""


def find_allowance(bound, role, data_centre_count):
    """Find the bucket of a node, so that all of them keep the bound.

    Parameters
    ----------
    bound : ColdBound
        Bound for all nodes together.
    role : Role
        What the node spends.
    data_centre_count : int
        Data centres with nodes, including that of the server (count).

    Returns
    -------
    Allowance
        `NO_ALLOWANCE` if the bound leaves nothing for the role.
    """
    others = max(0, data_centre_count - 1)
    shares = dict(_LOCAL_SHARES)
    if others:
        shares.update(_FOREIGN_SHARES)
    counts = {item: others if item in _FOREIGN_SHARES else 1 for item in Role}
    rate = _find_rate(bound, shares, counts)
    if others and rate < bound.rate * MIN_RATE_SHARE:
        del shares[Role.FOREIGN_SUCCESSOR]
        rate = _find_rate(bound, shares, counts)
    if rate <= 0.0:
        return _find_smallest_allowance(bound, role)
    if role not in shares:
        return NO_ALLOWANCE
    share = shares[role] / counts[role] / sum(shares.values())
    return Allowance(rate * share, _find_depth(role))


def _find_depth(role):
    return LEAD_DEPTH if role is Role.LEAD else 1.0


def _find_rate(bound, shares, counts):
    """Find the sum of all rates that the depths leave (per second)."""
    depths = sum(_find_depth(role) * counts[role] for role in shares)
    rate = (bound.count - depths) / (1.0 + MAX_SEND_DELAY)
    # Only the first node of each data centre spends while all are connected.
    steady = shares[Role.LEAD] + shares.get(Role.FOREIGN_LEAD, 0.0)
    return min(rate, bound.rate * sum(shares.values()) / steady)


def _find_smallest_allowance(bound, role):
    """Find the bucket where the bound has no token for each role.

    Only the first node of the data centre sends then, and a node that has
    joined waits until the others know of it.
    """
    rate = (bound.count - 1.0) / (1.0 + MAX_SEND_DELAY)
    if role is not Role.LEAD or rate <= 0.0:
        return NO_ALLOWANCE
    return Allowance(min(rate, bound.rate), 1.0)


class _Start:
    """What is known of the current start of a server."""

    __slots__ = ('born', 'service', 'started_until', 'stated_until')

    def __init__(self, born, service, started_until):
        self.born = born
        self.service = service
        self.started_until = started_until
        self.stated_until = float('-inf')


class ColdServers:
    """Decides when a server counts as cold.

    Only services with a `cold_rate` have cold servers. A server counts as
    cold for its `cold_time` after its start was first seen, for the time that
    its entry states, for its `cold_time` after the evacuation of its data
    centre was lifted, and while no entries have been updated.

    Attributes
    ----------
    on_cold : callable
        Called with the entry, the reason and the time (seconds) when a server
        is found to be cold.
    """

    __slots__ = (
        '_excess',
        '_information_age',
        '_last_end',
        '_returned_at',
        '_services',
        '_slack',
        '_stale_time',
        '_starts',
        'on_cold',
    )

    def __init__(self):
        self._services = {}
        self._starts = {}
        self._returned_at = {}
        self._last_end = float('-inf')
        self._excess = 1.0
        self._slack = 0.0
        self._information_age = 0.0
        self._stale_time = float('inf')
        self.on_cold = lambda record, reason, seconds: None

    def __bool__(self):
        return bool(self._services)

    def set_bounds(self, excess, slack, heartbeat):
        """Apply the bounds of the deployment.

        Parameters
        ----------
        excess : float
            Factor applied to the rates of services.
        slack : float
            Requests in addition, in any second (count).
        heartbeat : float
            Time between two heartbeats of a server (seconds).
        """
        self._excess = excess
        self._slack = slack
        # An entry tells of a start up to a heartbeat late.
        self._information_age = heartbeat
        self._stale_time = STALE_HEARTBEATS * heartbeat

    def set_services(self, services, records, now):
        """Apply the services of a changed configuration.

        Parameters
        ----------
        services : iterable of balsamwind.traffic.Service
            All services.
        records : iterable of balsamwind.pool.ServerRecord
            All known entries. Those of a service that had no cold servers
            before count as seen now.
        now : float
            Current time (seconds, boot clock).
        """
        self._services = {
            service.name: service
            for service in services
            if service.cold_rate > 0.0
        }
        self._starts = {
            server_id: start
            for server_id, start in self._starts.items()
            if start.service in self._services
        }
        for record in records:
            if record.server_id not in self._starts:
                self.handle_change(None, record, now)

    def find_bound(self, service):
        """Find the bound of a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        ColdBound or None
            None if its servers never count as cold.
        """
        known = self._services.get(service)
        if known is None:
            return None
        return ColdBound(known.cold_rate, self._excess, self._slack)

    @property
    def has_plain_services(self):
        """Whether a service without replica groups has cold servers."""
        return not all(map(self.has_groups, self._services))

    def has_groups(self, service):
        """Tell whether a service has replica groups of engines.

        Parameters
        ----------
        service : str
            Name of a service with cold servers.

        Returns
        -------
        bool
        """
        return self._services[service].engine is not None

    def handle_change(self, previous, record, now):
        """Take over a changed entry.

        Parameters
        ----------
        previous : balsamwind.pool.ServerRecord or None
            Entry before; None if there was none.
        record : balsamwind.pool.ServerRecord or None
            New entry; None if it was removed.
        now : float
            Current time (seconds, boot clock).
        """
        if record is None:
            self._starts.pop(previous.server_id, None)
            return
        service = self._services.get(record.service)
        if service is None:
            return
        start = self._starts.get(record.server_id)
        is_new = start is None or start.born != record.born
        if is_new:
            # Logged for restarts only, as a new node first sees all servers.
            if start is not None:
                self.on_cold(record, 'start', service.cold_time)
            seconds = service.cold_time + self._information_age
            start = self._starts[record.server_id] = _Start(
                record.born, record.service, now + seconds
            )
            self._last_end = max(self._last_end, now + seconds)
        elif previous is not None and previous.revision == record.revision:
            # The same entry without its field, from a node that ignores it,
            # or changed by this node itself.
            return
        self._take_statement(start, record, is_new, now)

    def _take_statement(self, start, record, is_new, now):
        """Take over for how long a server says that it stays cold."""
        was_cold = is_new or start.stated_until > now
        start.stated_until = now + record.cold_left
        self._last_end = max(self._last_end, start.stated_until)
        if record.cold_left > 0.0 and not was_cold:
            self.on_cold(record, 'entry', record.cold_left)

    def record_return(self, data_centre, now):
        """Record that the evacuation of a data centre was lifted.

        Parameters
        ----------
        data_centre : str
            The data centre, all of whose servers may have become cold.
        now : float
            Current time (seconds, boot clock).
        """
        self._returned_at[data_centre] = now
        longest = max(
            (service.cold_time for service in self._services.values()),
            default=0.0,
        )
        self._last_end = max(self._last_end, now + longest)

    def is_stale(self, updated_at, now):
        """Tell whether too little is known of all servers.

        Parameters
        ----------
        updated_at : float
            When entries were last updated from the store or by another node
            (seconds, boot clock).
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
        """
        return now - updated_at > self._stale_time

    def has_cold(self, now):
        """Tell whether any server may be known to be cold.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
            False only if `find_end` returns None for each server.
        """
        return now < self._last_end

    def find_end(self, record, now):
        """Find until when a server is known to be cold.

        A server that is not known here is cold.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        float or None
            Time (seconds, boot clock), infinite if it is not known; None if
            the server is not cold.
        """
        service = self._services.get(record.service)
        if service is None:
            return None
        start = self._starts.get(record.server_id)
        if start is None or start.born != record.born:
            return float('inf')
        returned_at = self._returned_at.get(record.data_centre, float('-inf'))
        end = max(
            start.started_until,
            start.stated_until,
            returned_at + service.cold_time,
        )
        return end if end > now else None
