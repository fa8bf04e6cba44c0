"""What one node of a data centre tells others, so that few ask the store.

A frame is a CBOR array of a tag and the fields of one message by name.
"""

import dataclasses

import cbor2

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import pool


@dataclasses.dataclass(slots=True, frozen=True)
class ServerNews:
    """Entries of backend servers; empty to say that nothing has changed.

    Parameters
    ----------
    whole : bool
        Whether `records` are all that is listed.
    records : tuple of balsamwind.pool.ServerRecord
        Entries that are new or have changed.
    removed : tuple of balsamwind.pool.RemovedServer
        Entries that are no longer listed.
    """

    whole: bool = False
    records: tuple[pool.ServerRecord, ...] = ()
    removed: tuple[pool.RemovedServer, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class ProofRequest:
    """Asks how old the proof of the configuration is.

    Parameters
    ----------
    number : int
        Chosen by the asker, who counts the age from when it sent this.
    """

    number: int


@dataclasses.dataclass(slots=True, frozen=True)
class Proof:
    """Answer to a `ProofRequest`.

    Parameters
    ----------
    number : int
        Of the request.
    version : int
        Version in force at the node that answers.
    age : float
        Time since it was proved to be the newest (seconds).
    """

    number: int
    version: int
    age: float


_TYPES = {1: ServerNews, 2: ProofRequest, 3: Proof}
_TAGS = {cls: tag for tag, cls in _TYPES.items()}


def encode_news(message):
    """Bytes of one frame."""
    return cbor2.dumps([_TAGS[type(message)], objects.encode(message)])


def decode_news(data):
    """Message of a frame.

    Raises
    ------
    balsamwind.exceptions.TransportError
        The bytes are not a frame.
    """
    try:
        tag, body = cbor2.loads(data)
        return objects.decode(_TYPES[tag], body)
    except (
        LookupError,
        RecursionError,
        TypeError,
        ValueError,
        cbor2.CBORError,
    ) as error:
        raise exceptions.TransportError(f'malformed news: {error!r}') from None
