"""Choice of the node through which an attempt is sent.

Load pattern: half of the nodes, or all nodes of a data centre, lose their
paths at the same moment and turn to the others. Each chooses among many, and
none knows which of them have a path. A node that says that it carries nothing
is left out for a while; one that has carried attempts is preferred, but others
are tried as well, so that not all nodes turn to the same one.
"""

import collections
import dataclasses

BASE_EXCLUSION_TIME = 1.0
"""Time for which a node that did not carry an attempt is left out; it doubles
with each further refusal in a row (seconds)."""

MAX_EXCLUSION_TIME = 8.0
"""Longest such time (seconds)."""

FULL_EXCLUSION_TIME = 0.2
"""The same for a node that carries as many attempts as it can (seconds)."""

TRUST_TIME = 5.0
"""Time for which a node that has carried an attempt is preferred
(seconds)."""

SPREAD = 8
"""Preferred nodes below which others are tried as well (count)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Peer:
    """Another node that may carry attempts.

    Parameters
    ----------
    address : str
        Address at which it takes attempts, ``host:port``.
    data_centre : str
        Its data centre.
    """

    address: str
    data_centre: str


@dataclasses.dataclass(slots=True)
class _Experience:
    """How a node has dealt with the attempts at one service."""

    excluded_until: float = float('-inf')
    exclusion_time: float = BASE_EXCLUSION_TIME
    trusted_until: float = float('-inf')


class PeerSelector:
    """Chooses nodes, and remembers how they dealt with attempts.

    All times are of the boot clock (seconds).

    Parameters
    ----------
    data_centre : str
        Data centre of this node, whose nodes are preferred.
    rng : random.Random
        Source of the choice.
    """

    __slots__ = ('_data_centre', '_experience', '_in_flight', '_peers', '_rng')

    def __init__(self, data_centre, rng):
        self._data_centre = data_centre
        self._rng = rng
        self._peers = ()
        self._experience = collections.defaultdict(_Experience)
        self._in_flight = collections.Counter()

    @property
    def has_peers(self):
        """Whether any other node is known."""
        return bool(self._peers)

    @property
    def peer_count(self):
        """Other nodes that are known (count)."""
        return len(self._peers)

    def set_peers(self, peers):
        """Replace the nodes to choose from.

        Parameters
        ----------
        peers : iterable of Peer
            All other nodes.
        """
        self._peers = tuple(peers)
        known = {peer.address for peer in self._peers}
        for key in [key for key in self._experience if key[1] not in known]:
            del self._experience[key]

    def choose(self, service, tried, now, data_centres=None):
        """Choose the node of one attempt.

        Parameters
        ----------
        service : str
            Name of the service that the attempt is sent to.
        tried : container of str
            Addresses of the nodes that did not carry this attempt.
        now : float
            Current time.
        data_centres : container of str or None
            Data centres whose nodes may get the attempt; None for all.

        Returns
        -------
        Peer or None
            None if no node is left.
        """
        usable = self._find_usable(service, tried, now)
        if data_centres is not None:
            usable = [
                peer for peer in usable if peer.data_centre in data_centres
            ]
        trusted = [
            peer
            for peer in usable
            if self._experience[service, peer.address].trusted_until > now
        ]
        explores = len(trusted) < SPREAD and self._rng.random() < 0.5
        candidates = trusted if trusted and not explores else usable
        if not candidates:
            return None
        near = [
            peer
            for peer in candidates
            if peer.data_centre == self._data_centre
        ]
        # A data centre often loses its paths as a whole: after one refusal
        # the next node is sought in all of them.
        pool = near if near and not tried else candidates
        pair = self._rng.sample(pool, min(2, len(pool)))
        return min(pair, key=lambda peer: self._in_flight[peer.address])

    def choose_witnesses(self, service, count, now, asked=None):
        """Choose nodes that are asked whether they reach a server.

        They are chosen at random over all data centres, as nodes of one often
        lose their paths together.

        Parameters
        ----------
        service : str
            Name of the service.
        count : int
            Nodes at most (count).
        now : float
            Current time.
        asked : container of str or None
            Addresses of nodes that were asked before. Others come first, also
            those that are passed over for the service, which must have their
            say; None to choose among the nodes that are not passed over.

        Returns
        -------
        list of Peer
        """
        usable = self._find_usable(service, (), now)
        if asked is None:
            return self._rng.sample(usable, min(count, len(usable)))
        in_use = {peer.address for peer in usable}
        chosen = self._rng.sample(self._peers, len(self._peers))
        chosen.sort(
            key=lambda peer: (
                peer.address in asked,
                peer.address not in in_use,
            )
        )
        return chosen[:count]

    def choose_any(self, count):
        """Choose nodes, also those that lately did not reach a service.

        Parameters
        ----------
        count : int
            Nodes at most (count).

        Returns
        -------
        list of Peer
        """
        return self._rng.sample(self._peers, min(count, len(self._peers)))

    def _find_usable(self, service, tried, now):
        return [
            peer
            for peer in self._peers
            if peer.address not in tried
            and self._experience[service, peer.address].excluded_until <= now
        ]

    def record_start(self, address):
        """Count an attempt that a node carries from now on."""
        self._in_flight[address] += 1

    def record_end(self, address):
        """Count the end of an attempt that a node carried."""
        self._in_flight[address] -= 1
        if not self._in_flight[address]:
            del self._in_flight[address]

    def record_carried(self, service, address, now):
        """Record that a node reached the server of an attempt."""
        experience = self._experience[service, address]
        experience.trusted_until = now + TRUST_TIME
        experience.exclusion_time = BASE_EXCLUSION_TIME
        experience.excluded_until = float('-inf')

    def record_not_carried(self, service, address, is_full, now):
        """Record that a node did not carry an attempt.

        Parameters
        ----------
        service : str
            Name of the service.
        address : str
            Address of the node.
        is_full : bool
            Whether the node only carries too many attempts at the moment.
        now : float
            Current time.
        """
        experience = self._experience[service, address]
        if is_full:
            experience.excluded_until = now + FULL_EXCLUSION_TIME
            return
        experience.trusted_until = float('-inf')
        experience.excluded_until = now + experience.exclusion_time
        experience.exclusion_time = min(
            2.0 * experience.exclusion_time, MAX_EXCLUSION_TIME
        )
