"""Whether this node itself reaches the backend servers of a service.

Failure pattern: a node loses its path to all servers of a service, or to some
of them, while callers, the store and other nodes still reach it. At this node
that looks the same as the end of the servers. A failed attempt therefore only
raises a doubt; connections to other servers settle it. While the path is in
doubt or lost, attempts go through another node, and what fails here is not
taken for a fault of a server.
"""

import collections
import enum

SILENCE_TIMEOUT = 0.2
"""Pause of all servers of a service, while a request waits for one of them,
after which the path is in doubt (seconds)."""

FIRST_EVENT_MARGIN = 0.15
"""The same for a request whose answer has not begun, beyond the time predicted
for its first event (seconds)."""

EXEMPTION_TIME = 1.0
"""Time for which a server whose silence turned out to be its own raises no
further doubt (seconds)."""

UNREACHABLE_TIME = 1.0
"""Time for which attempts at a server that only other nodes reach go through
them without trying the own path first (seconds)."""

SETTLED_TIME = 0.05
"""Time for which a path that was just found open is not in doubt again
(seconds)."""

PROBED_SERVERS = 2
"""Servers that are probed at a time (count)."""


class PathState(enum.Enum):
    """What this node knows of its path to the servers of a service.

    Attributes
    ----------
    OPEN
        Servers answer, or nothing speaks against it.
    DOUBTED
        An attempt has failed; probes are under way.
    LOST
        No server accepts a connection of this node.
    """

    OPEN = 'open'
    DOUBTED = 'doubted'
    LOST = 'lost'


class _ServicePath:
    """State of the path to the servers of one service."""

    __slots__ = (
        'doubted_servers',
        'exempt_until',
        'heard_at',
        'opened_at',
        'state',
        'unreachable_until',
    )

    def __init__(self):
        self.state = PathState.OPEN
        self.heard_at = float('-inf')
        self.opened_at = float('-inf')
        self.doubted_servers = set()
        self.exempt_until = {}
        self.unreachable_until = {}


class PathTable:
    """State of the paths to the servers of all services.

    All times are of the boot clock (seconds).

    Attributes
    ----------
    on_doubt : callable or None
        Called with the name of a service whose path has come into doubt; it
        must see to it that the path is probed. While it is None, paths count
        as open.
    """

    __slots__ = ('_paths', 'on_doubt')

    def __init__(self):
        self._paths = collections.defaultdict(_ServicePath)
        self.on_doubt = None

    @property
    def lost_services(self):
        """Names of the services whose paths are lost."""
        return [
            service
            for service, path in self._paths.items()
            if path.state is PathState.LOST
        ]

    def find_state(self, service):
        """Return the `PathState` of a service."""
        return self._paths[service].state

    def is_open(self, service):
        """Tell whether a failed attempt may be blamed on its server."""
        return self._paths[service].state is PathState.OPEN

    def needs_peer(self, service, server_id, now):
        """Tell whether an attempt at a server goes through another node.

        Parameters
        ----------
        service : str
            Name of the service.
        server_id : str
            Id of the server.
        now : float
            Current time.

        Returns
        -------
        bool
        """
        path = self._paths[service]
        if path.state is not PathState.OPEN:
            return True
        until = path.unreachable_until.get(server_id)
        if until is None:
            return False
        if now < until:
            return True
        del path.unreachable_until[server_id]
        return False

    def record_heard(self, service, now):
        """Record that bytes of a server came over the own path.

        They settle no doubt: connections in use may live on while new ones
        fail.
        """
        self._paths[service].heard_at = now

    def record_silence(self, service, server_id, silent_since, timeout, now):
        """Record that an attempt has got no byte for a while.

        Parameters
        ----------
        service : str
            Name of the service.
        server_id : str
            Server that the attempt waits for.
        silent_since : float
            Since when the attempt waits for the next byte.
        timeout : float
            Pause after which the path is in doubt (seconds).
        now : float
            Current time.
        """
        path = self._paths[service]
        if now - max(silent_since, path.heard_at) <= timeout:
            return
        if path.exempt_until.get(server_id, float('-inf')) <= now:
            self._raise_doubt(service, server_id)

    def record_unreachable(self, service, server_id, now):
        """Record that a connection to a server could not be opened."""
        path = self._paths[service]
        if path.exempt_until.get(server_id, float('-inf')) <= now:
            self._raise_doubt(service, server_id)

    def record_broken(self, service, server_id, now):
        """Record that a connection to a server was closed or reset."""
        if now - self._paths[service].opened_at >= SETTLED_TIME:
            self._raise_doubt(service, server_id)

    def record_only_peer_reaches(self, service, server_id, now):
        """Record that another node reached a server that this one did not."""
        path = self._paths[service]
        path.unreachable_until[server_id] = now + UNREACHABLE_TIME

    def _raise_doubt(self, service, server_id):
        if self.on_doubt is None:
            return
        path = self._paths[service]
        path.doubted_servers.add(server_id)
        if path.state is PathState.OPEN:
            path.state = PathState.DOUBTED
            self.on_doubt(service)

    def plan_probes(self, service, server_ids, rng):
        """Choose servers whose connections settle the doubt.

        Servers other than the doubted ones tell most. Few are probed, as each
        probe costs its server a connection.

        Parameters
        ----------
        service : str
            Name of the service.
        server_ids : list of str
            Servers of the service.
        rng : random.Random
            Source of the choice.

        Returns
        -------
        list of str
        """
        doubted = self._paths[service].doubted_servers
        others = [item for item in server_ids if item not in doubted]
        chosen = rng.sample(others, min(PROBED_SERVERS, len(others)))
        rest = [item for item in server_ids if item in doubted]
        missing = min(PROBED_SERVERS - len(chosen), len(rest))
        return [*chosen, *rng.sample(rest, missing)]

    def record_probes(self, service, is_any_connected, now):
        """Take over the result of a round of probes.

        Parameters
        ----------
        service : str
            Name of the service.
        is_any_connected : bool
            Whether a server accepted a connection, or none is known.
        now : float
            Current time.

        Returns
        -------
        bool
            Whether the state has changed.
        """
        path = self._paths[service]
        before = path.state
        if not is_any_connected:
            path.state = PathState.LOST
            return before is not PathState.LOST
        if before is PathState.DOUBTED:
            until = now + EXEMPTION_TIME
            path.exempt_until = dict.fromkeys(path.doubted_servers, until)
        path.doubted_servers.clear()
        path.opened_at = now
        path.state = PathState.OPEN
        return before is not PathState.OPEN
