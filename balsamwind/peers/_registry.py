"""What a node knows of its peers."""

import dataclasses


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
    """

    name: str
    data_centre: str
    heard_at: float
    revision: int = 0
    draining: bool = False
    in_flight: dict = dataclasses.field(default_factory=dict)


class PeerRegistry:
    """Peers by name, and which of them are alive.

    Parameters
    ----------
    name, data_centre : str
        This node.
    stale_after : float
        Age of the last heartbeat at which a peer counts as gone (seconds).
    """

    __slots__ = ('_data_centre', '_name', '_peers', '_stale_after')

    def __init__(self, name, data_centre, stale_after):
        self._name = name
        self._data_centre = data_centre
        self._stale_after = stale_after
        self._peers = {}

    @property
    def peers(self):
        """States of all peers ever heard, sorted by name."""
        return sorted(self._peers.values(), key=lambda peer: peer.name)

    def hear(self, name, data_centre, now):
        """Note a sign of life; the peer's state."""
        state = self._peers.get(name)
        if state is None:
            state = PeerState(name, data_centre, now)
            self._peers[name] = state
        state.heard_at = now
        return state

    def forget(self, name):
        """Note that the connection to a peer has ended."""
        state = self._peers.get(name)
        if state is not None:
            state.heard_at = float('-inf')

    def alive(self, now):
        """Peers heard lately, sorted by name."""
        return [
            peer
            for peer in self.peers
            if now - peer.heard_at <= self._stale_after
        ]

    def observers(self, data_centre, now):
        """Names of the nodes that may observe VMs of `data_centre`.

        Its own nodes; if none is alive, every node.
        """
        nodes = {self._name: self._data_centre}
        for peer in self.alive(now):
            if not peer.draining:
                nodes[peer.name] = peer.data_centre
        local = [name for name, place in nodes.items() if place == data_centre]
        return sorted(local or nodes)
