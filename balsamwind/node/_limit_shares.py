"""Shares of the nodes in the limits that backend servers state.

The nodes of a server's data centre spend its limit, but for a part with which
the other data centres learn of its end. A node whose requests another one
places spends nothing itself: its share is that of the placing node. So the
shares never add up to more than one, also where nodes have lost each other;
what a lost node may still spend is left to it.

The bound on requests to cold servers is stricter: it is divided by rank alone,
see `balsamwind.servers`.
"""

from balsamwind.node import _ranking
from balsamwind import servers

MAX_SPENDERS = 3
"""Nodes of a data centre, first by rank, that may spend a limit without each
other (count). Each may save up one request."""

FOREIGN_SHARE = 0.1
"""Share of a limit that the other data centres have together."""

JOINING_TIME = 35.0
"""Time after a node has joined until all others have read the list of nodes
again, and know their new ranks (seconds)."""

_LOCAL_ROLES = (
    servers.Role.LEAD,
    servers.Role.SUCCESSOR,
    servers.Role.RESERVE,
)

_FOREIGN_ROLES = (servers.Role.FOREIGN_LEAD, servers.Role.FOREIGN_SUCCESSOR)


class LimitShares:
    """Finds the share of this node.

    Parameters
    ----------
    name : str
        Name of this node.
    data_centre : str
        Data centre of this node.
    is_placed : callable
        Returns whether another node places requests for this one.
    count_subscribers : callable
        Returns for how many nodes this one places requests (count).
    clock : balsamwind.ports.Clock
        Monotonic clock.
    """

    __slots__ = (
        '_clock',
        '_count_subscribers',
        '_data_centre',
        '_is_placed',
        '_joining_until',
        '_name',
        '_node_counts',
        '_rank',
    )

    def __init__(self, name, data_centre, is_placed, count_subscribers, clock):
        self._name = name
        self._data_centre = data_centre
        self._is_placed = is_placed
        self._count_subscribers = count_subscribers
        self._rank = None
        self._node_counts = {}
        self._clock = clock
        self._joining_until = float('-inf')

    def set_nodes(self, nodes):
        """Apply a changed list of nodes.

        Parameters
        ----------
        nodes : dict of str to list of RegisteredNode
            Nodes of each data centre.
        """
        self._node_counts = {
            data_centre: len(items) for data_centre, items in nodes.items()
        }
        ranked = _ranking.rank_nodes(nodes.get(self._data_centre, ()))
        self._rank = _ranking.find_rank(ranked, self._name)

    def record_join(self):
        """Record that this node has changed the list of nodes."""
        self._joining_until = self._clock.monotonic() + JOINING_TIME

    def find_share(self, data_centre):
        """Find the share of this node in the limits of a data centre.

        Parameters
        ----------
        data_centre : str
            Data centre of the limited backend server.

        Returns
        -------
        float
            Share (0 to 1); 0 while the other nodes are not known.
        """
        if self._rank is None or self._is_placed():
            return 0.0
        return self._find_data_centre_share(
            data_centre
        ) * self._find_share_within(self._data_centre)

    def find_cold_role(self, data_centre):
        """Find what this node may spend on cold servers of a data centre.

        Parameters
        ----------
        data_centre : str
            Data centre of the servers.

        Returns
        -------
        (balsamwind.servers.Role, int)
            Role of this node, and the number of data centres with nodes.
        """
        count = len(self._node_counts.keys() | {data_centre})
        return self._find_role(data_centre == self._data_centre), count

    def _find_role(self, is_local):
        roles = _LOCAL_ROLES if is_local else _FOREIGN_ROLES
        if self._rank is None or self._is_placed() or self._rank >= len(roles):
            return servers.Role.NONE
        if self._clock.monotonic() < self._joining_until:
            return servers.Role.JOINING if is_local else servers.Role.NONE
        return roles[self._rank]

    def spends_all(self):
        """Tell whether this node has a role for each data centre."""
        return self._find_role(is_local=False) is not servers.Role.NONE

    def _find_data_centre_share(self, data_centre):
        """Find the share of this node's data centre."""
        others = self._node_counts.keys() - {data_centre}
        if data_centre not in self._node_counts:
            return 1.0 / len(others)
        if not others:
            return 1.0
        if data_centre == self._data_centre:
            return 1.0 - FOREIGN_SHARE
        return FOREIGN_SHARE / len(others)

    def _find_share_within(self, data_centre):
        """Find the share of this node in that of its data centre.

        Nodes that are not connected may be alive and spend their own shares.
        """
        count = self._node_counts[data_centre]
        spenders = min(count, MAX_SPENDERS)
        if self._rank >= spenders:
            return 0.0
        not_connected = max(0, count - 1 - self._count_subscribers())
        return max(1, spenders - not_connected) / spenders
