"""Records and reports of the backend servers in a pool."""

import dataclasses
import enum

MAX_COLD_LEFT = 3600.0
"""Longest time for which the entry of a server may say that it stays cold; it
also stands for a value that can't be read (seconds)."""


class ServerState(enum.Enum):
    """Whether a backend server accepts new work.

    Attributes
    ----------
    READY
        The server accepts new work.
    DRAINING
        The server finishes the work that it has and accepts no more.
    """

    READY = 'ready'
    DRAINING = 'draining'


class MemberState(enum.Enum):
    """State of an engine in its replica group.

    Attributes
    ----------
    JOINING
        The engine is loading the model of the group.
    READY
        The engine has joined the group. A head in this state accepts no
        requests.
    OPEN
        The engine is the head and accepts requests.
    CLOSING
        The engine is the head, finishes running requests and accepts no more.
    BROKEN
        The engine was the head of an open group that lost a member for longer
        than the stall limit; the group no longer serves.
    """

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'


@dataclasses.dataclass(slots=True, frozen=True)
class Membership:
    """Membership of an engine in a replica group, as the engine reports it.

    Parameters
    ----------
    group : str
        Name of the group.
    epoch : int
        Epoch of the group; each new group of a shard has a higher one.
    rank : int
        Rank of the engine in the group; the member with rank 0 is the head.
    state : MemberState
        State of the engine in the group.
    """

    group: str
    epoch: int
    rank: int
    state: MemberState

    @property
    def key(self):
        """Key of the group: a tuple of its name and its epoch."""
        return (self.group, self.epoch)


@dataclasses.dataclass(slots=True, frozen=True)
class ServerRecord:
    """Entry of a backend server in the platform's store.

    Parameters
    ----------
    server_id : str
        Id of the server. It identifies the server, not its address: another
        server may later use the same address.
    service : str
        Name of the service that the server belongs to.
    address : str
        Address in the form ``host:port``.
    data_centre : str
        Name of the data centre in which the server runs.
    state : ServerState
        Whether the server accepts new work.
    slots : int
        Number of requests that the server runs concurrently (count).
    born : int
        Id of the server's current start. It changes when the server restarts
        under the same `server_id`.
    domain : str
        Fabric domain of the server; empty for a server of a plain service.
    model : str
        Model loaded in memory; empty if none is loaded.
    staged : tuple of str
        Models whose weights are on the server's host.
    membership : Membership or None
        Membership in a replica group; None if the server is in no group.
    listed : bool
        Whether the platform still lists the server.
    revision : int
        Store revision of the entry.
    cold_left : float
        Time for which the server stays cold after this entry was written
        (seconds).
    """

    server_id: str
    service: str
    address: str
    data_centre: str
    state: ServerState = ServerState.READY
    slots: int = 1
    born: int = 0
    domain: str = ''
    model: str = ''
    staged: tuple[str, ...] = ()
    membership: Membership | None = None
    listed: bool = True
    revision: int = 0
    cold_left: float = 0.0

    @property
    def usable(self):
        """Whether the server is listed and accepts new work."""
        return self.listed and self.state is ServerState.READY


@dataclasses.dataclass(slots=True, frozen=True)
class RemovedServer:
    """Removal of a backend server's entry from the platform's store.

    An entry that can no longer be decoded counts as removed, too.

    Parameters
    ----------
    server_id : str
        Id of the server whose entry was removed.
    revision : int
        Store revision of the entry that was removed, or of its removal.
    """

    server_id: str
    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class ServerReport:
    """Report that an engine returns about itself on request.

    Parameters
    ----------
    born : int
        Id of the engine's current start.
    sequence : int
        Number of orders that the engine has accepted since that start (count).
    model : str
        Model loaded in memory; empty if none is loaded.
    staged : tuple of str
        Models whose weights are on the engine's host.
    membership : Membership or None
        Membership in a replica group; None if the engine is in no group.
    pace : float
        Factor by which the engine's processing times differ from the nominal
        ones; above 1 the engine is slower.
    requests : int
        Number of requests that run or wait at the engine (count).
    """

    born: int
    sequence: int
    model: str = ''
    staged: tuple[str, ...] = ()
    membership: Membership | None = None
    pace: float = 1.0
    requests: int = 0
