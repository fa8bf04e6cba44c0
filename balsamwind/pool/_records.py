"""What is known of the backend servers of a pool."""

import dataclasses
import enum


class ServerState(enum.Enum):
    """Whether a backend server takes work."""

    READY = 'ready'
    DRAINING = 'draining'


class MemberState(enum.Enum):
    """State of an engine in its replica group."""

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'


@dataclasses.dataclass(slots=True, frozen=True)
class Membership:
    """Place of an engine in a replica group.

    Parameters
    ----------
    group : str
        Name of the group.
    epoch : int
        Epoch of the group; grows with each new group.
    rank : int
        Place in the list of members; 0 is the head.
    state : MemberState
        What the engine reports.
    """

    group: str
    epoch: int
    rank: int
    state: MemberState

    @property
    def key(self):
        """Name and epoch of the group."""
        return (self.group, self.epoch)


@dataclasses.dataclass(slots=True, frozen=True)
class ServerRecord:
    """Entry of a backend server.

    Parameters
    ----------
    server_id : str
        Identity; not that of its address.
    service, address, data_centre : str
        Service, ``host:port``, and where it is.
    state : ServerState
        Whether it takes work.
    slots : int
        Requests that it runs at once (count).
    born : int
        Identity of its start; a restart under the same id has another.
    domain : str
        Fabric domain; empty for a plain service.
    model : str
        Model in memory; empty if none.
    staged : tuple of str
        Models on its host.
    membership : Membership or None
        Its place in a replica group.
    listed : bool
        Whether the platform still lists it.
    revision : int
        Store revision of the entry.
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

    @property
    def usable(self):
        """Whether it may take new work."""
        return self.listed and self.state is ServerState.READY


@dataclasses.dataclass(slots=True, frozen=True)
class RemovedServer:
    """An entry that is no longer listed.

    Parameters
    ----------
    server_id : str
        Whose entry.
    revision : int
        Store revision of what was removed, or of its removal.
    """

    server_id: str
    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class ServerReport:
    """What an engine says of itself when asked.

    Parameters
    ----------
    born, sequence : int
        Identity of its start, and orders accepted since (count).
    model : str
        Model in memory.
    staged : tuple of str
        Models on its host.
    membership : Membership or None
        Its place in a replica group.
    pace : float
        Factor on its times; over 1 means slow.
    requests : int
        Requests that run and wait there (count).
    """

    born: int
    sequence: int
    model: str = ''
    staged: tuple[str, ...] = ()
    membership: Membership | None = None
    pace: float = 1.0
    requests: int = 0
