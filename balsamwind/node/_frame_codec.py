"""Encoding of the messages between nodes.

A frame is a CBOR array of the type tag of a message and a map of its fields.
Nodes of different builds are connected while nodes are replaced, so a message
that only a newer build knows is no fault of the connection.
"""

import dataclasses

import cbor2

from balsamwind import exceptions
from balsamwind import objects


@dataclasses.dataclass(slots=True, frozen=True)
class UnknownMessage:
    """A message that this build does not know.

    Parameters
    ----------
    tag : int
        Type tag. If it is that of a known type, a field has an enumeration
        value that this build does not know.
    """

    tag: int


class FrameCodec:
    """Encodes and decodes the messages of one kind of connection.

    Parameters
    ----------
    types : dict of int to type
        Data classes of the messages by type tag.
    """

    __slots__ = ('_tags', '_types')

    def __init__(self, types):
        self._types = types
        self._tags = {cls: tag for tag, cls in types.items()}

    def encode(self, message):
        """Encode a message as one frame (bytes)."""
        return cbor2.dumps(
            [self._tags[type(message)], objects.encode(message)]
        )

    def decode(self, data):
        """Decode the message of a frame.

        Returns
        -------
        object
            Message of one of the types, or an `UnknownMessage`.

        Raises
        ------
        balsamwind.exceptions.TransportError
            The bytes are not a valid frame.
        """
        try:
            tag, body = cbor2.loads(data)
            if tag not in self._types:
                return _make_unknown(tag, body)
            return objects.decode(self._types[tag], body)
        except objects.UnknownEnumValue:
            return UnknownMessage(tag)
        except (
            LookupError,
            RecursionError,
            TypeError,
            ValueError,
            cbor2.CBORError,
        ) as error:
            raise exceptions.TransportError(
                f'malformed frame: {error!r}'
            ) from None


def _make_unknown(tag, body):
    if type(tag) is not int or not isinstance(body, dict):
        raise ValueError(f'got the type tag {tag!r:.40}')
    return UnknownMessage(tag)
