"""Encoding of the messages between entries as CBOR frames.

A frame is an array of one or more messages, each a pair of a tag and a body.
A data class is encoded as the array of its field values, without names;
trailing fields that equal their defaults are left out. A decoder ignores
array elements beyond the fields that it knows, and messages whose tag it does
not know. So that nodes of different versions understand each other, fields
and message types may only be added at the end.
"""

import dataclasses
import enum

import cbor2

from balsamwind import exceptions
from balsamwind import objects
from balsamwind.peers import _messages

DIGEST_SIZE = 8
"""Size of the digest of a group status (bytes)."""

_MESSAGE_TYPES = {
    1: _messages.Hello,
    2: _messages.ObjectChanges,
    3: _messages.ObservationChanges,
    4: _messages.Heartbeat,
    5: _messages.GroupDown,
    6: _messages.VmListUpdate,
}
_TAGS = {cls: tag for tag, cls in _MESSAGE_TYPES.items()}


def encode_frame(messages):
    """Encode messages as one frame.

    Parameters
    ----------
    messages : iterable
        Messages of the types in this package, in the order of sending.

    Returns
    -------
    bytes
    """
    return cbor2.dumps(
        [
            [_TAGS[type(message)], _pack_message(message)]
            for message in messages
        ]
    )


def decode_frame(data):
    """Decode the messages of a frame.

    Parameters
    ----------
    data : bytes
        One frame.

    Returns
    -------
    list
        Messages in the order of sending, without those of unknown types.

    Raises
    ------
    balsamwind.exceptions.TransportError
        If the data is not a frame or a value is out of range.
    """
    try:
        return [
            _unpack_message(_MESSAGE_TYPES[tag], body)
            for tag, body in cbor2.loads(data)
            if tag in _MESSAGE_TYPES
        ]
    except (
        ArithmeticError,
        AttributeError,
        LookupError,
        RecursionError,
        TypeError,
        ValueError,
        cbor2.CBORError,
    ) as error:
        raise exceptions.TransportError(
            f'malformed peer message: {error}'
        ) from None


def _pack_message(message):
    if type(message) is not _messages.ObjectChanges:
        return _pack(message)
    rows = [
        [stored.kind, stored.name, stored.revision, _pack_stored_value(stored)]
        for stored in message.items
    ]
    return [message.since, message.revision, rows, message.complete]


def _pack_stored_value(stored):
    # The receiver validates a contract against a schema that refers to its
    # fields by name, so a contract is encoded with names.
    if stored.kind == 'contract':
        return objects.encode(stored.value)
    return _pack(stored.value)


def _pack(value):
    """Translate a value into plain ones; data classes become arrays."""
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, tuple):
        return [_pack(item) for item in value]
    if isinstance(value, dict):
        return {key: _pack(item) for key, item in value.items()}
    if not dataclasses.is_dataclass(value):
        return value
    fields = dataclasses.fields(value)
    values = [getattr(value, field.name) for field in fields]
    while values and values[-1] == fields[len(values) - 1].default:
        values.pop()
    return [_pack(item) for item in values]


def _unpack_message(cls, body):
    if cls is _messages.ObjectChanges:
        return _unpack_changes(*body[:4])
    message = objects.decode(cls, body)
    _check_ranges(message)
    return message


def _unpack_changes(since, revision, rows, complete=True):
    objects.check_revision(since)
    objects.check_revision(revision)
    items = []
    for kind, name, object_revision, value in rows:
        if kind not in objects.KINDS:
            complete = False
            continue
        row = {
            'kind': kind,
            'name': objects.decode(str, name),
            'revision': object_revision,
            'value': value,
        }
        items.append(objects.decode_object_version(row))
    return _messages.ObjectChanges(
        since, revision, tuple(items), bool(complete)
    )


def _check_digest(digest):
    if type(digest) is not bytes or len(digest) != DIGEST_SIZE:
        raise ValueError(f'group digest: got {digest!r}, expected 8 bytes')


def _check_ranges(message):
    """Check that the numbers and digests of a message are in range.

    The decoder of the fields has already refused wrong types, NaN, infinity
    and numbers beyond 2**53.

    Raises
    ------
    ValueError
        If a number is negative, a store revision is invalid, or a digest has
        the wrong size.
    """
    match message:
        case _messages.Heartbeat():
            objects.check_revision(message.revision)
            numbers = [
                message.report_age,
                message.vm_list_age,
                message.epoch,
                *message.in_flight.values(),
                *message.group_in_flight.values(),
            ]
        case _messages.GroupDown(generation=generation):
            numbers = [generation]
        case _messages.VmListUpdate(age=age):
            numbers = [age]
        case _messages.ObservationChanges(items=items, groups=groups):
            numbers = []
            for group in groups:
                _check_digest(group.digest)
                numbers += group.load
            for item in items:
                if item.report is not None:
                    report = item.report
                    numbers += [
                        report.generation,
                        report.running,
                        report.waiting,
                        report.fencing,
                    ]
        case _:
            numbers = []
    for number in numbers:
        if number < 0:
            raise ValueError(
                f'number out of range: got {number}, expected 0 or more'
            )
