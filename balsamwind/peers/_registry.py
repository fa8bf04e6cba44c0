"""What a node knows of its peers, and which part is whose."""

import dataclasses

from balsamwind import membership

HELP_PATIENCE = 3
"""Heartbeats after which any node helps a peer that is behind (count)."""

VM_LIST_STALE = 10.0
"""Age at which a node takes the VM list from a peer (seconds)."""

VM_LIST_GAIN = 5.0
"""How much younger a peer's VM list must be to be sent (seconds)."""


PLACES_AGE = 0.2
"""Time for which the living nodes are not looked up again (seconds)."""


@dataclasses.dataclass(slots=True)
class PeerState:
    """One peer.

    Parameters
    ----------
    name, data_centre : str
        Who it is.
    heard_at : float
        Monotonic time of its last heartbeat (seconds).
    revision : int
        Store revision in force there.
    draining : bool
        Whether it is shutting down.
    in_flight : dict of str to int
        Customer -> requests open there (count).
    reads_store : bool
        Whether it follows the store itself.
    epoch : int
        Number of the store's history that it follows.
    vm_list_age : float
        Age of the VM list that it goes by (seconds).
    store_diverged : bool
        Whether it saw that the store was restored.
    group_in_flight : dict of str to int
        Group that takes no new work -> requests open on it there (count).
    behind : int
        Heartbeats in a row in which it was behind this node (count).
    connected : bool
        Whether there is a link to it.
    connected_at : float
        Monotonic time at which the link came up (seconds).
    """

    name: str
    data_centre: str
    heard_at: float
    revision: int = 0
    draining: bool = False
    in_flight: dict = dataclasses.field(default_factory=dict)
    reads_store: bool = False
    epoch: int = 0
    vm_list_age: float = 0.0
    store_diverged: bool = False
    group_in_flight: dict = dataclasses.field(default_factory=dict)
    behind: int = 0
    connected: bool = True
    connected_at: float = 0.0


class PeerRegistry:
    """Peers by name, and which of them are alive.

    Parameters
    ----------
    name, data_centre : str
        This node.
    stale_after : float
        Age of the last heartbeat at which a peer counts as gone (seconds).
    """

    __slots__ = ('_data_centre', '_name', '_peers', '_places', '_stale_after')

    def __init__(self, name, data_centre, stale_after):
        self._name = name
        self._data_centre = data_centre
        self._stale_after = stale_after
        self._peers = {}
        self._places = (float('-inf'), {}, {})

    @property
    def peers(self):
        """States of all peers ever heard, sorted by name."""
        return sorted(self._peers.values(), key=lambda peer: peer.name)

    def get(self, name):
        """State of a peer, or None."""
        return self._peers.get(name)

    def hear(self, name, data_centre, now):
        """Note a sign of life; the peer's state."""
        state = self._peers.get(name)
        if state is None:
            state = PeerState(name, data_centre, now)
            self._peers[name] = state
            self._forget_places()
        elif not self.is_alive(state, now):
            self._forget_places()
        state.heard_at = now
        state.data_centre = data_centre
        state.connected = True
        return state

    def disconnect(self, name):
        """Note that the link to a peer has ended."""
        state = self._peers.get(name)
        if state is not None:
            state.connected = False
            self._forget_places()

    def forget(self, name):
        """Drop a peer that is gone for good."""
        self._peers.pop(name, None)
        self._forget_places()

    def is_alive(self, peer, now):
        """Whether a peer was heard lately, over a link that stands."""
        return peer.connected and now - peer.heard_at <= self._stale_after

    def alive(self, now):
        """Peers heard lately, sorted by name."""
        return [peer for peer in self.peers if self.is_alive(peer, now)]

    def observers(self, data_centre, now):
        """Names of the nodes that may observe VMs of `data_centre`.

        Its own nodes; if none is alive, every node.
        """
        _, places, _ = self._find_places(now)
        return places.get(data_centre) or places['']

    def _find_places(self, now):
        """Living nodes by data centre; under no name, all."""
        if now - self._places[0] <= PLACES_AGE:
            return self._places
        places = {'': [self._name], self._data_centre: [self._name]}
        for peer in self.alive(now):
            if not peer.draining:
                places[''].append(peer.name)
                places.setdefault(peer.data_centre, []).append(peer.name)
        for names in places.values():
            names.sort()
        self._places = (now, places, {})
        return self._places

    def _forget_places(self):
        self._places = (float('-inf'), {}, {})

    def platform_reader(self, data_centre, now):
        """Name of the node that follows the platform for a data centre."""
        _, _, readers = self._find_places(now)
        if data_centre not in readers:
            nodes = self.observers(data_centre, now)
            readers[data_centre] = membership.choose_observer(
                'platform', nodes
            )
        return readers[data_centre]

    def is_store_reader(self, now):
        """Whether this node should follow the platform itself.

        One node of each data centre does, and tells the others. The others
        do so too while that node does not manage to.
        """
        chosen = self.platform_reader(self._data_centre, now)
        if chosen == self._name:
            return True
        state = self._peers.get(chosen)
        return state is None or not state.reads_store

    def is_helper(self, peer, revision, now):
        """Whether it is this node's part to bring `peer` up to date.

        Parameters
        ----------
        peer : PeerState
            Node that is behind.
        revision : int
            Store revision in force here.
        now : float
            Monotonic time (seconds).
        """
        if peer.behind > HELP_PATIENCE:
            return True
        ahead = [
            other.name
            for other in self.alive(now)
            if other.revision >= revision and other is not peer
        ]
        return self._is_chosen(peer, ahead)

    def is_vm_list_helper(self, peer, now):
        """Whether it is this node's part to send `peer` the VM list."""
        younger = [
            other.name
            for other in self.alive(now)
            if other.vm_list_age + VM_LIST_GAIN <= peer.vm_list_age
        ]
        return self._is_chosen(peer, younger)

    def _is_chosen(self, peer, others):
        chosen = membership.choose_observer(
            f'help/{peer.name}', [self._name, *others]
        )
        return chosen == self._name

    def lowest_revision(self, revision, now):
        """Store revision that this node and all living peers have."""
        return min([revision, *(peer.revision for peer in self.alive(now))])
