"""Frames that the nodes of one data centre exchange to reduce store calls.

A frame is a CBOR array of the type tag of a message and a map of its fields.
The proof of a configuration is the time at which its version was last known to
be the newest in the store.
"""

import dataclasses

import cbor2

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import pool


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
    """

    whole: bool = False
    records: tuple[pool.ServerRecord, ...] = ()
    removed: tuple[pool.RemovedServer, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationProofRequest:
    """Asks a publisher for the age of its proof of the configuration.

    Parameters
    ----------
    number : int
        Identifies the request; the subscriber counts the age from the time
        at which it sent this number.
    """

    number: int


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationProof:
    """Answer to a `ConfigurationProofRequest`.

    Parameters
    ----------
    number : int
        Number of the request.
    version : int
        Version of the configuration in force at the publisher.
    age : float
        Time since that version was proved to be the newest (seconds).
    """

    number: int
    version: int
    age: float


_TYPES = {1: ServerUpdate, 2: ConfigurationProofRequest, 3: ConfigurationProof}
_TAGS = {cls: tag for tag, cls in _TYPES.items()}


def encode_frame(message):
    """Encode a message as one frame (bytes)."""
    return cbor2.dumps([_TAGS[type(message)], objects.encode(message)])


def decode_frame(data):
    """Decode the message of a frame.

    Raises
    ------
    balsamwind.exceptions.TransportError
        The bytes are not a valid frame.
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
        raise exceptions.TransportError(
            f'malformed update frame: {error!r}'
        ) from None
