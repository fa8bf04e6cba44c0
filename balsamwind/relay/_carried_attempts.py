"""What nodes do for each other while one of them lacks a path to servers.

One node sends an attempt for another, or tells it whether it reaches a server.
"""

import dataclasses
import enum

from balsamwind import objects
from balsamwind.relay import _placement

MAX_COLD_CARRY_TIME = 0.1
"""Longest time from the arrival of an attempt for a cold server at the node
that carries it until it is sent (seconds). The sender leaves it that much of
the time since its choice."""


@dataclasses.dataclass(slots=True, frozen=True)
class OutgoingAttempt:
    """One attempt, whoever sends it to the backend server.

    Parameters
    ----------
    request_id : str
        Id of the request.
    backend : balsamwind.relay.BackendKey
        Backend that the attempt is sent to.
    method, target, host : str
        HTTP method, path with query, and host that the caller requested.
    headers : tuple of (str, str)
        Headers that are forwarded, without those that the sender adds.
    body : bytes
        Body; empty if none.
    time_left : float
        Time until the deadline of the request (seconds).
    account : str or None
        Name of the client account; None if no API key is required.
    last_event_id : str
        Id of the last event that the caller received; empty for a new
        stream.
    shared_parts : tuple of str
        Ids of the parts of the prompt that other requests may share.
    data_centres : tuple of str or None
        Data centres whose nodes may get the attempt, besides the one that the
        caller is connected to; None for all.
    priority : int or None
        Scheduling priority for the engine, 0 to 9; None if not stated.
    is_cold : bool
        Whether the attempt has spent a token of a cold server, so that it must
        be sent soon.
    """

    request_id: str
    backend: _placement.BackendKey
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, ...], ...]
    body: bytes
    time_left: float
    account: str | None = None
    last_event_id: str = ''
    shared_parts: tuple[str, ...] = ()
    data_centres: tuple[str, ...] | None = None
    priority: int | None = None
    is_cold: bool = False


class CarryFailure(enum.Enum):
    """Why another node has no answer to an attempt.

    Attributes
    ----------
    NO_PATH
        The other node does not reach the service either.
    DRAINING
        The other node is about to stop.
    FULL
        The other node carries as many attempts as it can.
    NOT_USABLE
        The other node may not send to this backend, or does not know it.
    UNREACHABLE
        The server accepts no connection, although others do.
    BROKEN
        The attempt was sent, and its answer was broken off.
    TIMED_OUT
        The attempt was sent, and there was no answer in time.
    MALFORMED
        The attempt was sent, and the answer is malformed.
    """

    NO_PATH = 'no path'
    DRAINING = 'draining'
    FULL = 'full'
    NOT_USABLE = 'not usable'
    UNREACHABLE = 'unreachable'
    BROKEN = 'broken'
    TIMED_OUT = 'timed out'
    MALFORMED = 'malformed'


NOT_CARRIED = frozenset(
    (
        CarryFailure.NO_PATH,
        CarryFailure.DRAINING,
        CarryFailure.FULL,
        CarryFailure.NOT_USABLE,
    )
)
"""Failures that show nothing of the server, as nothing was tried."""


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptAccepted:
    """The other node has a connection to the server and sends the attempt."""


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerHead:
    """Status and headers of the answer.

    Parameters
    ----------
    status : int
        HTTP status code of a final response; no other value can be made.
    headers : tuple of (str, str)
        All headers.
    has_marked_end : bool
        Whether the body itself showed that it is complete.
    """

    status: int
    headers: tuple[tuple[str, ...], ...]
    has_marked_end: bool

    def __post_init__(self):
        objects.check_final_status(self.status, 'status')


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerData:
    """Next bytes of the body of the answer.

    Parameters
    ----------
    data : bytes
        The bytes.
    """

    data: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerEnd:
    """The body has come to its proper end."""


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptFailed:
    """The attempt has no answer, or none that is complete.

    Parameters
    ----------
    cause : CarryFailure
        Why.
    message : str
        Description for the log.
    """

    cause: CarryFailure
    message: str = ''


class Reach(enum.Enum):
    """Whether a node reaches a server.

    Attributes
    ----------
    ANSWERS
        The server answers it.
    REFUSES
        The server refuses connections, while others accept them, unless the
        query asks for a refusal on any path.
    SILENT
        The server does not answer, while others do.
    UNKNOWN
        The node reaches no server of the service, or does not know this one.
        That is no opinion.
    """

    ANSWERS = 'answers'
    REFUSES = 'refuses'
    SILENT = 'silent'
    UNKNOWN = 'unknown'


def combine_opinions(opinions):
    """Combine what several nodes found.

    One node that gets an answer refutes all others, whose paths may be lost.

    Parameters
    ----------
    opinions : container of Reach
        What they found.

    Returns
    -------
    Reach
    """
    for reach in (Reach.ANSWERS, Reach.REFUSES, Reach.SILENT):
        if reach in opinions:
            return reach
    return Reach.UNKNOWN


@dataclasses.dataclass(slots=True, frozen=True)
class ReachQuery:
    """Asks a node whether it reaches a server.

    Parameters
    ----------
    service : str
        Name of the service.
    server_id : str
        Id of the server.
    born : int
        Start of the server.
    wants_report : bool
        Whether the engine must report on itself; otherwise it is enough that
        it accepts a connection.
    on_any_path : bool
        Whether a refusal counts although the node reaches no other server.
    address : str
        Address of the server, for nodes that don't know it; empty if an
        earlier build asks.
    """

    service: str
    server_id: str
    born: int
    wants_report: bool = False
    on_any_path: bool = False
    address: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class ReachReply:
    """Answer to a `ReachQuery`.

    Parameters
    ----------
    reach : Reach
        What the node has found.
    """

    reach: Reach
