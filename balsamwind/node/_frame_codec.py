"""Encoding of the messages between nodes.

A frame is a CBOR array of the type tag of a message and a map of its fields.
"""

import cbor2

from balsamwind import exceptions
from balsamwind import objects


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

        Raises
        ------
        balsamwind.exceptions.TransportError
            The bytes are not a valid frame.
        """
        try:
            tag, body = cbor2.loads(data)
            return objects.decode(self._types[tag], body)
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
