"""Backend servers that asked this node for a pause.

Load pattern: a backend server that is overloaded, or recovers, rejects
requests and says when this node may send the next one. Requests that arrive
before would all be rejected, and prolong what it recovers from.
"""

import dataclasses

MAX_PAUSE = 60.0
"""Longest pause that a backend server is granted (seconds)."""

MAX_LISTED = 32
"""Servers that are named in one request for a placement (count)."""


@dataclasses.dataclass(slots=True, frozen=True)
class QuietServer:
    """A backend server that gets no requests of a node for a while.

    Parameters
    ----------
    server_id : str
        Id of the server.
    born : int
        Start of the server that asked for the pause; a later one did not.
    time_left : float
        Time until the end of the pause (seconds).
    """

    server_id: str
    born: int
    time_left: float


class QuietServers:
    """Pauses that backend servers have asked for."""

    __slots__ = ('_ends',)

    def __init__(self):
        self._ends = {}

    def __bool__(self):
        return bool(self._ends)

    def is_active(self, now):
        """Tell whether any server may not be sent a request now."""
        return bool(self._ends)

    def record(self, record, pause, now):
        """Record that a server wants no requests for a while.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        pause : float
            Time that it asked for (seconds); at most `MAX_PAUSE` is granted.
        now : float
            Current time (seconds, boot clock).
        """
        self._drop_ended(now)
        key = (record.server_id, record.born)
        end = now + min(pause, MAX_PAUSE)
        self._ends[key] = max(end, self._ends.get(key, end))

    def find_end(self, record, now):
        """Return when the pause of a server ends.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        float or None
            Time (seconds, boot clock); None if there is no pause.
        """
        end = self._ends.get((record.server_id, record.born))
        return end if end is not None and end > now else None

    def make_finder(self, now):
        """Return `find_end`, see `Restrictions.make_finder`."""
        return self.find_end

    def plan_return(self, records, now, time_left):
        """Plan when a request that all servers turn away may come back.

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
            End of the first pause, but at most the deadline (seconds, boot
            clock); None if there is none.
        """
        ends = [self.find_end(record, now) for record in records]
        known = [end for end in ends if end is not None]
        return min(known + [now + time_left]) if known else None

    def list(self, now):
        """List the pauses for another node, the longest first.

        Parameters
        ----------
        now : float
            Current time (seconds, boot clock).

        Returns
        -------
        tuple of QuietServer
            At most `MAX_LISTED`.
        """
        self._drop_ended(now)
        ends = sorted(self._ends.items(), key=lambda item: -item[1])
        return tuple(
            QuietServer(server_id, born, end - now)
            for (server_id, born), end in ends[:MAX_LISTED]
        )

    def _drop_ended(self, now):
        if self._ends:
            self._ends = {
                key: end for key, end in self._ends.items() if end > now
            }


def make_quiet_servers(listed, now):
    """Make the pauses that another node has listed.

    Parameters
    ----------
    listed : iterable of QuietServer
        Pauses of the other node.
    now : float
        Current time (seconds, boot clock).

    Returns
    -------
    QuietServers
    """
    servers = QuietServers()
    for item in listed:
        servers.record(item, item.time_left, now)
    return servers


NOTHING_QUIET = QuietServers()
"""Pauses of a node of which no server wants one."""
