"""State that a node keeps of its peers, and the assignment of duties."""

import dataclasses

from balsamwind import membership

CATCH_UP_FALLBACK_AFTER = 3
"""Heartbeats behind after which every node sends a peer changes (count).

Until then, only one chosen node sends them.
"""

VM_LIST_MAX_AGE = 10.0
"""Age of the VM list at which any node reads it itself (seconds).

While the list is younger, the platform reader of the data centre reads it and
sends the changes to the other nodes, which read it only from time to time.
"""

VM_LIST_MIN_AGE_GAIN = 5.0
"""Smallest lead in age of a VM list that is sent or adopted (seconds)."""

NODES_CACHE_TTL = 0.2
"""Time for which the lists of live nodes are cached (seconds).

A peer that goes stale or starts to drain is noticed within this time; a new,
returning or disconnected peer is noticed at once.
"""


@dataclasses.dataclass(slots=True)
class PeerState:
    """State of one peer, taken from its link and its last heartbeat.

    Parameters
    ----------
    name : str
        Name of the peer.
    data_centre : str
        Data centre of the peer.
    last_contact_at : float
        Monotonic time of the last heartbeat, or of the connection if it is
        later (seconds).
    revision : int
        Store revision up to which the peer knows all changes.
    draining : bool
        Whether the peer drains its requests before it shuts down.
    in_flight : dict of str to int
        Requests open at the peer, by customer (count).
    reads_store : bool
        Whether the peer currently reads the store itself, without errors.
    epoch : int
        Number of the store epoch that the peer follows.
    vm_list_age : float
        Age of the VM list that the peer uses (seconds).
    store_diverged : bool
        Whether the peer detected that the store was restored to an earlier
        state.
    group_in_flight : dict of str to int
        Requests open at the peer, by group, of groups that take no new
        requests (count).
    heartbeats_behind : int
        Consecutive heartbeats of the peer with an older epoch than this
        node's, or a revision below the one that this node had at its own
        last heartbeat; reset when changes are sent to the peer (count).
    connected : bool
        Whether there is a link to the peer.
    connected_at : float
        Monotonic time at which the link was established (seconds).
    """

    name: str
    data_centre: str
    last_contact_at: float
    revision: int = 0
    draining: bool = False
    in_flight: dict = dataclasses.field(default_factory=dict)
    reads_store: bool = False
    epoch: int = 0
    vm_list_age: float = 0.0
    store_diverged: bool = False
    group_in_flight: dict = dataclasses.field(default_factory=dict)
    heartbeats_behind: int = 0
    connected: bool = True
    connected_at: float = 0.0


class PeerRegistry:
    """Registry of peers that assigns duties among the live nodes.

    Nodes choose by rendezvous hashing over the live nodes that they know, so
    that no agreement is needed. While their registries differ, a duty may be
    taken on by two nodes or by none.

    Parameters
    ----------
    name : str
        Name of this node.
    data_centre : str
        Data centre of this node.
    stale_after : float
        Age of the last heartbeat above which a peer no longer counts as
        alive (seconds).
    """

    __slots__ = (
        '_data_centre',
        '_name',
        '_nodes_cache',
        '_peers',
        '_stale_after',
    )

    def __init__(self, name, data_centre, stale_after):
        self._name = name
        self._data_centre = data_centre
        self._stale_after = stale_after
        self._peers = {}
        self._nodes_cache = (float('-inf'), {}, {})

    @property
    def peers(self):
        """States of all peers heard from and not removed, sorted by name."""
        return sorted(self._peers.values(), key=lambda peer: peer.name)

    def get(self, name):
        """Get the state of a peer.

        Parameters
        ----------
        name : str
            Name of the peer.

        Returns
        -------
        PeerState or None
            None if the peer is unknown.
        """
        return self._peers.get(name)

    def record_contact(self, name, data_centre, now):
        """Record that a peer connected or sent a heartbeat.

        Parameters
        ----------
        name : str
            Name of the peer.
        data_centre : str
            Data centre of the peer.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        PeerState
            State of the peer, created if it was unknown.
        """
        state = self._peers.get(name)
        if state is None:
            state = PeerState(name, data_centre, now)
            self._peers[name] = state
            self._invalidate_nodes_cache()
        elif not self.is_alive(state, now):
            self._invalidate_nodes_cache()
        state.last_contact_at = now
        state.data_centre = data_centre
        state.connected = True
        return state

    def disconnect(self, name):
        """Record that the link to a peer was closed.

        Parameters
        ----------
        name : str
            Name of the peer.
        """
        state = self._peers.get(name)
        if state is not None:
            state.connected = False
            self._invalidate_nodes_cache()

    def remove(self, name):
        """Remove a peer that is not expected to return.

        Parameters
        ----------
        name : str
            Name of the peer.
        """
        self._peers.pop(name, None)
        self._invalidate_nodes_cache()

    def is_alive(self, peer, now):
        """Check that a peer is connected and its heartbeat is not stale.

        Parameters
        ----------
        peer : PeerState
            State of the peer.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        bool
        """
        return (
            peer.connected and now - peer.last_contact_at <= self._stale_after
        )

    def list_alive(self, now):
        """List the peers that are alive.

        Parameters
        ----------
        now : float
            Monotonic time (seconds).

        Returns
        -------
        list of PeerState
            Sorted by name.
        """
        return [peer for peer in self.peers if self.is_alive(peer, now)]

    def list_eligible_observers(self, data_centre, now):
        """List the nodes that may observe the VMs of a data centre.

        Parameters
        ----------
        data_centre : str
            Name of the data centre.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        list of str
            Names of the data centre's live nodes; if there are none, of the
            live nodes of all data centres. Nodes that drain are left out,
            except this node.
        """
        _, nodes_by_data_centre, _ = self._get_live_nodes(now)
        return (
            nodes_by_data_centre.get(data_centre) or nodes_by_data_centre['']
        )

    def _get_live_nodes(self, now):
        """Get the live nodes, from the cache if it is recent.

        Returns
        -------
        tuple of (float, dict, dict)
            Monotonic time of the look-up (seconds); sorted names of the live
            nodes by data centre, and of all of them under the empty name;
            platform readers by data centre, which the caller fills in.
        """
        if now - self._nodes_cache[0] <= NODES_CACHE_TTL:
            return self._nodes_cache
        nodes_by_data_centre = {
            '': [self._name],
            self._data_centre: [self._name],
        }
        for peer in self.list_alive(now):
            if not peer.draining:
                nodes_by_data_centre[''].append(peer.name)
                nodes_by_data_centre.setdefault(peer.data_centre, []).append(
                    peer.name
                )
        for names in nodes_by_data_centre.values():
            names.sort()
        self._nodes_cache = (now, nodes_by_data_centre, {})
        return self._nodes_cache

    def _invalidate_nodes_cache(self):
        self._nodes_cache = (float('-inf'), {}, {})

    def choose_platform_reader(self, data_centre, now):
        """Choose the node that reads from the platform for a data centre.

        Parameters
        ----------
        data_centre : str
            Name of the data centre.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        str
            Name of the node.
        """
        _, _, readers = self._get_live_nodes(now)
        if data_centre not in readers:
            nodes = self.list_eligible_observers(data_centre, now)
            readers[data_centre] = membership.choose_node('platform', nodes)
        return readers[data_centre]

    def should_read_store(self, now):
        """Check whether this node has to read the store itself.

        The platform reader of the data centre reads the store and sends the
        changes to the other nodes of the data centre. These read the store
        too while the reader is unknown or fails to read it.

        Parameters
        ----------
        now : float
            Monotonic time (seconds).

        Returns
        -------
        bool
        """
        chosen = self.choose_platform_reader(self._data_centre, now)
        if chosen == self._name:
            return True
        reader = self._peers.get(chosen)
        return reader is None or not reader.reads_store

    def should_send_changes(self, peer, revision, now):
        """Check whether this node has to send `peer` the changes it lacks.

        One node is chosen among those that have the changes. If the peer is
        still behind after `CATCH_UP_FALLBACK_AFTER` heartbeats, every node
        that finds it behind sends them.

        Parameters
        ----------
        peer : PeerState
            Peer that is behind.
        revision : int
            Store revision up to which this node knows all changes.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        bool
        """
        if peer.heartbeats_behind > CATCH_UP_FALLBACK_AFTER:
            return True
        up_to_date = [
            other.name
            for other in self.list_alive(now)
            if other.revision >= revision and other is not peer
        ]
        return self._is_chosen_sender(peer, up_to_date)

    def should_send_vm_list(self, peer, now):
        """Check whether this node has to send `peer` the VM list.

        One node is chosen among those whose list is newer than the peer's by
        at least `VM_LIST_MIN_AGE_GAIN`.

        Parameters
        ----------
        peer : PeerState
            Peer whose list is old.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        bool
        """
        with_newer_list = [
            other.name
            for other in self.list_alive(now)
            if other.vm_list_age + VM_LIST_MIN_AGE_GAIN <= peer.vm_list_age
        ]
        return self._is_chosen_sender(peer, with_newer_list)

    def _is_chosen_sender(self, peer, other_candidates):
        """Check whether this node is chosen among it and the candidates."""
        chosen = membership.choose_node(
            f'help/{peer.name}', [self._name, *other_candidates]
        )
        return chosen == self._name

    def lowest_revision(self, revision, now):
        """Find the lowest store revision among this node and live peers.

        Parameters
        ----------
        revision : int
            Store revision up to which this node knows all changes.
        now : float
            Monotonic time (seconds).

        Returns
        -------
        int
            Revision up to which all of them know all changes.
        """
        return min(
            [revision, *(peer.revision for peer in self.list_alive(now))]
        )
