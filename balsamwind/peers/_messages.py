"""Messages between entries: typed, carried as CBOR arrays."""

import dataclasses

import cbor2

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports


@dataclasses.dataclass(slots=True, frozen=True)
class Hello:
    """First message of either side.

    Parameters
    ----------
    node, data_centre, incarnation : str
        Who speaks.
    """

    node: str
    data_centre: str
    incarnation: str


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectChanges:
    """Versions of objects; all that is known, or what changed.

    Parameters
    ----------
    since, revision : int
        The items are all versions after the first store revision and up to
        the second.
    items : tuple of balsamwind.objects.Stored
        Versions, deletions included.
    """

    since: int
    revision: int
    items: tuple


@dataclasses.dataclass(slots=True, frozen=True)
class Observation:
    """What one observer saw of one VM.

    Parameters
    ----------
    vm : str
        Name of the VM.
    reachable : bool
        Whether it answered.
    report : balsamwind.ports.EngineReport or None
        Its last report.
    """

    vm: str
    reachable: bool
    report: ports.EngineReport | None


@dataclasses.dataclass(slots=True, frozen=True)
class Reports:
    """Observations that changed.

    Parameters
    ----------
    items : tuple of Observation
        What the sender saw.
    dropped : tuple of str
        VMs that the sender no longer observes.
    """

    items: tuple[Observation, ...]
    dropped: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """Sign of life; all earlier reports of the sender still hold.

    Parameters
    ----------
    revision : int
        Store revision in force at the sender.
    report_age : float
        Age of the sender's oldest own observation (seconds).
    draining : bool
        Whether the sender is shutting down.
    in_flight : dict of str to int
        Customer -> requests open at the sender (count).
    usage : dict of str to tuple of float
        Customer -> demand and share of the sender, as parts of the limits;
        of customers whose values changed.
    """

    revision: int
    report_age: float
    draining: bool
    in_flight: dict[str, int]
    usage: dict[str, tuple[float, ...]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True, frozen=True)
class GroupDown:
    """The sender saw that a group can't serve.

    Parameters
    ----------
    group : str
        Name of the group.
    generation : int
        Its generation.
    reason : str
        What was seen.
    """

    group: str
    generation: int
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class VmRows:
    """The VM list as the sender last read it.

    Parameters
    ----------
    rows : tuple of balsamwind.ports.ListedVm
        All rows.
    """

    rows: tuple[ports.ListedVm, ...]


_TYPES = {
    1: Hello,
    2: ObjectChanges,
    3: Reports,
    4: Heartbeat,
    5: GroupDown,
    6: VmRows,
}
_TAGS = {cls: tag for tag, cls in _TYPES.items()}


def encode_message(message):
    """Bytes of a message."""
    match message:
        case ObjectChanges(since=since, revision=revision, items=items):
            rows = [
                [s.kind, s.name, s.revision, objects.encode(s.value)]
                for s in items
            ]
            body = [since, revision, rows]
        case _:
            body = objects.encode(message)
    return cbor2.dumps([_TAGS[type(message)], body])


def decode_message(data):
    """Message of some bytes.

    Raises
    ------
    balsamwind.exceptions.TransportError
        The bytes are not a message.
    """
    try:
        tag, body = cbor2.loads(data)
        cls = _TYPES[tag]
        if cls is ObjectChanges:
            since, revision, rows = body
            items = tuple(_load_stored(row) for row in rows)
            return ObjectChanges(since, revision, items)
        return objects.decode(cls, body)
    except (
        cbor2.CBORDecodeError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        raise exceptions.TransportError(
            f'malformed peer message: {error}'
        ) from None


def _load_stored(item):
    kind, name, revision, value = item
    return objects.load_stored(
        {'kind': kind, 'name': name, 'revision': revision, 'value': value}
    )
