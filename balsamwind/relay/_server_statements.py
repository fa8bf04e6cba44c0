"""What backend servers say of themselves in their answers.

A server may ask for a pause, state a limit on the rate of requests, or say
that it is leaving. All of that belongs to one start of the server.
"""

import collections.abc
import dataclasses

from balsamwind import exceptions
from balsamwind.relay import _quiet_servers
from balsamwind.relay import _server_limits

ANOTHER_SERVER = 421
"""Status of the answer of another server than the expected one."""

REJECTED = 503
"""Status of an answer that may ask for a pause."""


@dataclasses.dataclass(slots=True, frozen=True)
class Restrictions:
    """Which backend servers may be sent a request now.

    Parameters
    ----------
    pauses : QuietServers
        Servers that get no requests of the sending node for a while.
    limits : ServerLimits
        Limits of servers, with the share of the choosing node.
    rules : sequence
        Further facts that forbid requests. Each is false while it forbids
        none, and has the method `find_end` of this class.
    """

    pauses: _quiet_servers.QuietServers
    limits: _server_limits.ServerLimits
    rules: collections.abc.Sequence = ()

    def __bool__(self):
        return bool(self.pauses) or bool(self.limits) or any(self.rules)

    def is_active(self, now):
        """Tell whether any server may not be sent a request now.

        A choice compares hundreds of servers, and asks for each only if so.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        bool
            False only if `find_end` returns None for each server.
        """
        return (
            bool(self.pauses) or any(self.rules) or self.limits.is_active(now)
        )

    def find_end(self, record, now):
        """Return when a server may be sent a request.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        float or None
            Time (seconds, boot clock); None if it may be sent one now.
        """
        return _find_latest(
            self.pauses.find_end(record, now),
            self.limits.find_end(record, now),
            *(rule.find_end(record, now) for rule in self.rules),
        )

    def make_finder(self, now):
        """Make a function like `find_end` for one choice among servers.

        A choice asks for hundreds of servers. Most of the time, one part at
        most forbids anything, and only that one is asked.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        callable
            Takes an entry and the current time, see `find_end`.
        """
        parts = [part for part in (self.pauses, *self.rules) if part]
        if self.limits.is_active(now):
            parts.append(self.limits)
        return parts[0].find_end if len(parts) == 1 else self.find_end

    def plan_return(self, records, now, time_left):
        """Plan when a request that all servers turn away may come back.

        A caller whose deadline passes before has given up by then: no token
        is kept for it, and it is told no later time than that.

        Parameters
        ----------
        records : iterable of balsamwind.pool.ServerRecord
            Entries of the servers.
        now : float
            Current time (seconds, boot clock).
        time_left : float
            Time until the deadline of the request (seconds).

        Returns
        -------
        float or None
            Time (seconds, boot clock), at which no other rejected request
            comes back for the same token; None if it is not known.
        """
        first, first_end = None, float('inf')
        for record in records:
            end = _find_latest(
                self.pauses.find_end(record, now),
                self.limits.find_return(record, now),
                *(rule.find_end(record, now) for rule in self.rules),
            )
            if end is not None and end < first_end:
                first, first_end = record, end
        if first is None:
            return None
        deadline = now + time_left
        if first_end > deadline:
            return deadline
        self.limits.promise_return(first, now)
        return first_end


def _find_latest(*ends):
    return max((end for end in ends if end is not None), default=None)


class ServerStatements:
    """Keeps what the answers to this node's requests say of their servers.

    Parameters
    ----------
    request_log : balsamwind.node.RequestLog
        Log and metrics of requests and attempts.

    Attributes
    ----------
    pauses : QuietServers
        Servers that get no requests of this node for a while.
    limits : ServerLimits
        Limits of servers.
    rules : list
        Further facts that forbid requests, see `Restrictions`.
    restrictions : Restrictions
        All of them.
    on_leaving : callable
        Called with the id and the start of a server that is leaving.
    on_limit : callable
        Called with each `StatedLimit` that other nodes must know.
    """

    __slots__ = (
        '_request_log',
        'limits',
        'on_leaving',
        'on_limit',
        'pauses',
        'restrictions',
        'rules',
    )

    def __init__(self, request_log):
        self._request_log = request_log
        self.pauses = _quiet_servers.QuietServers()
        self.limits = _server_limits.ServerLimits()
        self.rules = []
        self.restrictions = Restrictions(self.pauses, self.limits, self.rules)
        self.on_leaving = lambda server_id, born: None
        self.on_limit = lambda item: None

    def handle_answer(self, backend, status, metadata, sent_at, now):
        """Take over what the head of an answer says.

        Parameters
        ----------
        backend : Backend
            Backend that the request was sent to.
        status : int
            HTTP status of the answer.
        metadata : ResponseMetadata
            Decoded headers of the answer.
        sent_at : float
            When the request was sent (seconds, boot clock).
        now : float
            Current time (seconds, boot clock).
        """
        if status == ANOTHER_SERVER:
            return
        record = backend.record
        if metadata.unreadable:
            self._request_log.record_unreadable_headers(
                backend, metadata.unreadable
            )
        if status == REJECTED and metadata.retry_after is not None:
            self.pauses.record(record, metadata.retry_after, now)
            self._request_log.record_requested_pause(
                backend, metadata.retry_after
            )
        if metadata.leaving:
            self.on_leaving(record.server_id, record.born)
        if metadata.rate_limit is None and metadata.unreadable:
            return
        item = self.limits.record(record, metadata.rate_limit, sent_at, now)
        if item is not None:
            self.on_limit(item)

    def check_rules(self, record, now):
        """Check right before a request is sent that no rule forbids it.

        The server may have been chosen before the rules changed.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        now : float
            Current time (seconds, boot clock).

        Raises
        ------
        balsamwind.exceptions.SendForbidden
            A rule forbids it; nothing was sent.
        """
        for rule in self.rules:
            if rule.find_end(record, now) is not None:
                raise exceptions.SendForbidden(
                    f'server {record.server_id} in {record.data_centre} gets'
                    ' no requests now'
                )

    def forbids(self, record, now):
        """Tell whether this node may send a server no request now.

        Limits are left out: the node that chooses the server spends them.

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
        return self.pauses.find_end(record, now) is not None or any(
            rule.find_end(record, now) is not None for rule in self.rules
        )
