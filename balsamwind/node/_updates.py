"""Frames that the nodes of one data centre exchange to reduce store calls.

The proof of a configuration is the time at which its version was last known to
be the newest in the store. Publishers send it in their own boot time; a
subscriber asks for that time to find how far the two clocks are apart.
"""

import dataclasses
import zlib

from balsamwind import exceptions
from balsamwind.node import _frame_codec
from balsamwind import pool
from balsamwind import relay
from balsamwind import servers
from balsamwind import traffic

PROGRESS = 'progress'
"""Feature that `PlacementProgress` needs."""

LISTING = 'listing'
"""Feature that `ListingRequest` needs."""

NOTICES = 'notices'
"""Feature that a `ServerUpdate` needs which is a notice in an outage."""

FEATURES = ('waiting', PROGRESS, LISTING, NOTICES)
"""Features of this build that others may lack, as nodes announce them to each
other. A message that needs one is sent only to a node that has announced it.
"""


@dataclasses.dataclass(slots=True, frozen=True)
class EvacuationNotice:
    """Evacuated data centres, as a publisher knows them.

    Parameters
    ----------
    state : balsamwind.servers.EvacuationState
        Newest state.
    confirmed_at : float
        When the read of the store was sent that last confirmed it (seconds,
        boot time of the publisher).
    """

    state: servers.EvacuationState
    confirmed_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class ServerUpdate:
    """Change of the backend servers' entries; empty as a sign of life.

    Parameters
    ----------
    whole : bool
        Whether `records` are all listed entries.
    records : tuple of balsamwind.pool.ServerRecord
        Entries that are new or have changed.
    removed : tuple of balsamwind.pool.RemovedServer
        Entries that are no longer listed.
    evacuations : EvacuationNotice or None
        Evacuated data centres; None if the publisher does not know them.
    revision : int
        Store revision up to which the publisher knows all changes; 0 if it
        does not state any, as earlier builds, or if the update does not come
        from the store: then it is no sign of life.
    grace : float
        Time for which the publisher itself goes on using servers that the
        store lacks after an outage, and that are not among `records`
        (seconds). Only subscribers that were cut off as well do so.
    age : float
        Time since the publisher, or those before it, heard this from the
        store (seconds); 0 from earlier builds.
    distrust : float
        Time for which the publisher still holds to what it knew before the
        store came back from an older copy (seconds); 0 if it does not.
    digest : int or None
        Digest of all entries that the publisher lists after this update, see
        `balsamwind.pool.StoreListing`; None if it does not state any.
    notice : bool
        Whether this is what a server or a node says, not the store, and so no
        sign of life; earlier builds don't state it.
    """

    whole: bool = False
    records: tuple[pool.ServerRecord, ...] = ()
    removed: tuple[pool.RemovedServer, ...] = ()
    evacuations: EvacuationNotice | None = None
    revision: int = 0
    grace: float = 0.0
    age: float = 0.0
    distrust: float = 0.0
    digest: int | None = None
    notice: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ClockRequest:
    """Asks a publisher for its boot time.

    Parameters
    ----------
    number : int
        Identifies the request.
    version : int
        Version in force at the subscriber; 0 if none.
    features : tuple of str
        Features of the subscriber's build, see `FEATURES`.
    """

    number: int
    version: int = 0
    features: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationProof:
    """States until when a version was known to be the newest.

    Parameters
    ----------
    version : int
        Version of the configuration in force at the publisher.
    revision : int
        Store revision up to which no newer version was written.
    proved_at : float
        When the read of the store was sent that showed this (seconds, boot
        time of the publisher).
    packed : bytes
        The `ConfigurationUpdate` to this version, see `pack`, if it is new
        and too large for a message of its own; empty otherwise.
    """

    version: int
    revision: int
    proved_at: float
    packed: bytes = b''


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationUpdate:
    """A newer version of the configuration, as a difference.

    Parameters
    ----------
    change : balsamwind.traffic.ConfigurationChange
        Difference to the version before.
    proof : ConfigurationProof
        Proof of the newer version.
    """

    change: traffic.ConfigurationChange
    proof: ConfigurationProof


@dataclasses.dataclass(slots=True, frozen=True)
class ClockReading:
    """Answer to a `ClockRequest`.

    Parameters
    ----------
    number : int
        Number of the request.
    time : float
        Boot time of the publisher (seconds).
    proof : ConfigurationProof or None
        Latest proof of the publisher; None while it has none.
    update : ConfigurationUpdate or None
        The whole version in force, for a subscriber without any version.
    packed : bytes
        The same, packed, if it is too large for `update`; empty otherwise.
    features : tuple of str
        Features of the publisher's build, see `FEATURES`.
    """

    number: int
    time: float
    proof: ConfigurationProof | None = None
    update: ConfigurationUpdate | None = None
    packed: bytes = b''
    features: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class PlacementRequest:
    """Asks a publisher to choose the backend of an attempt.

    Parameters
    ----------
    number : int
        Identifies the attempt on this connection.
    service : str
        Name of the service.
    requirements : balsamwind.relay.RequestRequirements
        What the request needs.
    tried : tuple of balsamwind.relay.BackendKey
        Backends that earlier attempts of the request used.
    quiet : tuple of balsamwind.relay.QuietServer
        Servers that get no requests of this node for a while.
    max_wait : float
        How long the answer may be waited for (seconds); 0 to answer at once.
    waited : float
        Age of the request (seconds).
    """

    number: int
    service: str
    requirements: relay.RequestRequirements
    tried: tuple[relay.BackendKey, ...] = ()
    quiet: tuple[relay.QuietServer, ...] = ()
    max_wait: float = 0.0
    waited: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class PlacementWaiting:
    """Tells a subscriber that its request waits, at once and regularly.

    Parameters
    ----------
    number : int
        Number of the request.
    expected_wait : float
        Expected wait as the request arrived (seconds).
    """

    number: int
    expected_wait: float


@dataclasses.dataclass(slots=True, frozen=True)
class PlacementReply:
    """Answer to a `PlacementRequest`.

    Parameters
    ----------
    number : int
        Number of the request.
    key : balsamwind.relay.BackendKey or None
        Backend that was chosen; None if none was.
    reason : str
        Why no backend can serve the request in time; empty if one can, or if
        the publisher does not know the service.
    retry_after : float
        When the caller should come back in that case (seconds).
    chosen_at : float
        When the backend was chosen (seconds, boot time of the publisher); 0
        if not stated.
    """

    number: int
    key: relay.BackendKey | None = None
    reason: str = ''
    retry_after: float = 0.0
    chosen_at: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class PlacementStall:
    """Tells the publisher that a placed attempt makes no progress.

    Parameters
    ----------
    number : int
        Number of the attempt.
    """

    number: int


@dataclasses.dataclass(slots=True, frozen=True)
class PlacementProgress:
    """Tells the publisher that the answer to a placed attempt has begun.

    It is sent only to a publisher with the feature `PROGRESS`.

    Parameters
    ----------
    number : int
        Number of the attempt.
    time_to_first_event : float
        Time from the send to the first event (seconds).
    load : balsamwind.relay.ReportedLoad or None
        Load that the backend reported with the answer.
    """

    number: int
    time_to_first_event: float
    load: relay.ReportedLoad | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class PlacementEnd:
    """Tells the publisher that a placed attempt has ended.

    Parameters
    ----------
    number : int
        Number of the attempt.
    outcome : balsamwind.relay.Outcome
        How it ended.
    load : balsamwind.relay.ReportedLoad or None
        Load that the backend reported with a refusal.
    """

    number: int
    outcome: relay.Outcome
    load: relay.ReportedLoad | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class EvidenceRequest:
    """Tells a publisher all evidence of crashes, and asks for its own.

    Parameters
    ----------
    evidence : balsamwind.relay.CrashEvidence
        What the subscriber knows.
    """

    evidence: relay.CrashEvidence = relay.CrashEvidence()


@dataclasses.dataclass(slots=True, frozen=True)
class ListingRequest:
    """Asks a publisher for all listed entries, as the own ones differ."""


@dataclasses.dataclass(slots=True, frozen=True)
class ServerLeaving:
    """Tells a publisher that a backend server says it is leaving.

    Parameters
    ----------
    server_id : str
        Id of the server.
    born : int
        Start of the server that said so.
    """

    server_id: str
    born: int


@dataclasses.dataclass(slots=True, frozen=True)
class ServerLimits:
    """Tells another node of limits that backend servers state.

    Parameters
    ----------
    items : tuple of balsamwind.relay.StatedLimit
        The limits, and the ends of limits.
    wants_answer : bool
        Whether the other node answers with all that it knows.
    """

    items: tuple[relay.StatedLimit, ...] = ()
    wants_answer: bool = False


MAX_UNPACKED_BYTES = 16 * 1024 * 1024
"""Largest update that is unpacked (bytes)."""

PACKING_LEVEL = 1
"""Compression level of zlib; routes differ in little, so a higher one costs
time and saves few bytes."""

SERVER_UPDATE_TAG = 1
"""Type tag of `ServerUpdate`."""

_CODEC = _frame_codec.FrameCodec(
    {
        SERVER_UPDATE_TAG: ServerUpdate,
        4: ClockRequest,
        5: ClockReading,
        6: ConfigurationProof,
        7: ConfigurationUpdate,
        8: PlacementRequest,
        9: PlacementReply,
        10: PlacementStall,
        11: PlacementEnd,
        12: relay.CrashEvidence,
        13: EvidenceRequest,
        14: ServerLeaving,
        15: ServerLimits,
        16: PlacementWaiting,
        17: PlacementProgress,
        18: ListingRequest,
    }
)
"""Messages by type tag; 2 and 3 were used by earlier versions. 16
needs the feature 'waiting', 17 the feature 'progress', 18 'listing'."""

encode_frame = _CODEC.encode
decode_frame = _CODEC.decode


def pack(frame):
    """Compress the frame of an update; bytes."""
    return zlib.compress(frame, PACKING_LEVEL)


def unpack(packed):
    """Decode a packed update.

    Parameters
    ----------
    packed : bytes
        Result of `pack`, or empty.

    Returns
    -------
    ConfigurationUpdate or None
        None if `packed` is empty, or made by a build that knows more.

    Raises
    ------
    balsamwind.exceptions.TransportError
        The bytes are no packed update, or one that is too large.
    """
    if not packed:
        return None
    decompressor = zlib.decompressobj()
    try:
        frame = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise exceptions.TransportError(
            f'malformed update: {error!r}'
        ) from None
    if not decompressor.eof:
        raise exceptions.TransportError(
            f'update of over {MAX_UNPACKED_BYTES} bytes, or cut short'
        )
    update = decode_frame(frame)
    if isinstance(update, _frame_codec.UnknownMessage):
        return None
    if not isinstance(update, ConfigurationUpdate):
        raise exceptions.TransportError(
            f'packed message is no update: {type(update).__name__}'
        )
    return update
