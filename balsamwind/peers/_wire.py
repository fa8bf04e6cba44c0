"""Frames between entries: CBOR arrays, one or more messages a frame.

A data class is carried as the array of its fields, without names, and
without the last ones that have their default. A reader ignores places that
it doesn't know and messages whose tag it doesn't know, so fields and
messages are only ever added at the end.
"""

import dataclasses
import enum

import cbor2

from balsamwind import exceptions
from balsamwind import objects
from balsamwind.peers import _messages

DIGEST_SIZE = 8
"""Size of a group's digest (bytes)."""

_TYPES = {
    1: _messages.Hello,
    2: _messages.ObjectChanges,
    3: _messages.Reports,
    4: _messages.Heartbeat,
    5: _messages.GroupDown,
    6: _messages.VmRows,
}
_TAGS = {cls: tag for tag, cls in _TYPES.items()}


def encode_frame(messages):
    """Bytes of one frame with `messages` in order."""
    return cbor2.dumps([[_TAGS[type(m)], _pack_message(m)] for m in messages])


def decode_frame(data):
    """Messages of a frame, in order; unknown ones are left out.

    Raises
    ------
    balsamwind.exceptions.TransportError
        The bytes are not a frame.
    """
    try:
        return [
            _unpack_message(_TYPES[tag], body)
            for tag, body in cbor2.loads(data)
            if tag in _TYPES
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
        [s.kind, s.name, s.revision, _pack_value(s)] for s in message.items
    ]
    return [message.since, message.revision, rows, message.complete]


def _pack_value(stored):
    # A contract is checked against its schema, which names its keys.
    if stored.kind == 'contract':
        return objects.encode(stored.value)
    return _pack(stored.value)


def _pack(value):
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
    _check(message)
    return message


def _unpack_changes(since, revision, rows, complete=True):
    objects.check_revision(since)
    objects.check_revision(revision)
    items = []
    for kind, name, version, value in rows:
        if kind not in objects.KINDS:
            complete = False
            continue
        row = {
            'kind': kind,
            'name': objects.decode(str, name),
            'revision': version,
            'value': value,
        }
        items.append(objects.load_stored(row))
    return _messages.ObjectChanges(
        since, revision, tuple(items), bool(complete)
    )


def _check_digest(digest):
    if type(digest) is not bytes or len(digest) != DIGEST_SIZE:
        raise ValueError(f'digest: got {digest!r}')


def _check(message):
    """Check the ranges of a message.

    Raises
    ------
    ValueError
        A number is out of its range.
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
        case _messages.VmRows(age=age):
            numbers = [age]
        case _messages.Reports(items=items, groups=groups):
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
            raise ValueError(f'got {number}, allowed is 0 or more')
