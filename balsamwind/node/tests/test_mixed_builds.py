"""What this build and ca111ba write for each other."""

import asyncio
import dataclasses
import json
import pathlib

import cbor2
import pytest

from balsamwind.node import _attempt_frames
from balsamwind.node import _evidence_records
from balsamwind.node import _lease_records
from balsamwind.node import _node_records
from balsamwind.node import _updates
from balsamwind.node.tests import doubles
from balsamwind.node.tests.recorded import record

RECORDED = json.loads(
    (pathlib.Path(record.__file__).parent / 'ca111ba.json').read_text('utf-8')
)

ANNOUNCED_TAGS = {16, 17, 18}
"""Type tags of updates that only go to nodes that have announced them."""

CODECS = {'updates': _updates._CODEC, 'attempts': _attempt_frames.CODEC}

MESSAGES = [
    pytest.param(kind, name, message, id=f'{kind}: {name}')
    for kind, messages in (
        ('updates', record.UPDATES),
        ('attempts', record.ATTEMPTS),
    )
    for name, message in messages.items()
]

_SCALARS = {'str': str, 'int': int, 'float': (int, float), 'bool': bool}


def _read(schema, data):
    """Read data by the rules of the recorded build; fail if it would not."""
    kind, *rest = schema
    match kind:
        case 'list':
            assert isinstance(data, list)
            return [_read(rest[0], item) for item in data]
        case 'map':
            assert isinstance(data, dict)
            return {key: _read(rest[0], item) for key, item in data.items()}
        case 'optional':
            return None if data is None else _read(rest[0], data)
        case 'enum':
            assert data in rest[0]
            return data
        case 'object':
            return _read_object(rest[0], data)
    assert isinstance(data, {**_SCALARS, 'bytes': bytes}[kind])
    return data


def _read_object(fields, data):
    if isinstance(data, list):
        data = dict(zip(fields, data, strict=False))
    assert isinstance(data, dict)
    assert all(
        name in data for name, (_, required) in fields.items() if required
    )
    return {
        name: _read(schema, data[name])
        for name, (schema, _) in fields.items()
        if name in data
    }


@pytest.mark.parametrize(('kind', 'name', 'message'), MESSAGES)
def test_frame_of_the_old_build_is_read(kind, name, message):
    """Guards against a field that is renamed, or new without a default."""
    frame = bytes.fromhex(RECORDED[kind][name])
    assert CODECS[kind].decode(frame) == _omit_regions(message)


def _omit_regions(message):
    """Make the message as a build without regions sends it."""
    update = getattr(message, 'update', message)
    if not isinstance(update, _updates.ConfigurationUpdate):
        return message
    change = dataclasses.replace(update.change, with_regions=False)
    update = dataclasses.replace(update, change=change)
    if isinstance(message, _updates.ConfigurationUpdate):
        return update
    return dataclasses.replace(message, update=update)


@pytest.mark.parametrize(('kind', 'name', 'message'), MESSAGES)
def test_old_build_reads_what_this_one_writes(kind, name, message):
    """Guards against a message that ends the connection of an old node.

    It reads the same values as from an old node.
    """
    schemas = RECORDED[f'readable {kind}']
    tag, body = cbor2.loads(CODECS[kind].encode(message))
    _, old_body = cbor2.loads(bytes.fromhex(RECORDED[kind][name]))
    schema = schemas[str(tag)]
    assert _read(schema, body) == _read(schema, old_body)


@pytest.mark.parametrize('kind', CODECS)
def test_all_messages_are_recorded(kind):
    """Guards against a message kind that an old node gets unannounced."""
    messages = {'updates': record.UPDATES, 'attempts': record.ATTEMPTS}[kind]
    codec = CODECS[kind]
    written = {codec._tags[type(message)] for message in messages.values()}
    assert written == {int(tag) for tag in RECORDED[f'readable {kind}']}
    assert codec._types.keys() - written <= ANNOUNCED_TAGS


def test_old_build_reads_announced_features():
    """Guards against an announcement that ends an old node's connection."""
    schemas = RECORDED['readable updates']
    for message in (
        _updates.ClockRequest(4, 7, _updates.FEATURES),
        _updates.ClockReading(4, 1.5, features=_updates.FEATURES),
    ):
        tag, body = cbor2.loads(_updates.encode_frame(message))
        assert body['features'] == list(_updates.FEATURES)
        assert 'features' not in _read(schemas[str(tag)], body)


def _find_unreadable(schema, old, path):
    """List what this build may write and the recorded one can't read."""
    if schema[0] != old[0]:
        return [path]
    match schema[0]:
        case 'enum':
            added = set(schema[1]) - set(old[1])
            return [f'{path}: {value}' for value in sorted(added)]
        case 'list' | 'map' | 'optional':
            return _find_unreadable(schema[1], old[1], path)
        case 'object':
            return [
                found
                for name, (field, _) in old[1].items()
                for found in (
                    _find_unreadable(
                        schema[1][name][0], field, f'{path}.{name}'
                    )
                    if name in schema[1]
                    else [f'{path}.{name}']
                )
            ]
    return []


@pytest.mark.parametrize('kind', CODECS)
def test_types_of_fields_fit_the_old_build(kind):
    """Guards against values that the recorded messages do not contain.

    For example a new value of an enumeration, or None where there was none.
    """
    described = record.describe_codec(CODECS[kind])
    unreadable = [
        found
        for tag, old in RECORDED[f'readable {kind}'].items()
        for found in _find_unreadable(described[tag], old, tag)
    ]
    assert unreadable == []


async def _read_lease(store):
    stored = await _lease_records.LeaseRecords(store).read_lease('d1', 1.0)
    return stored.value


async def _read_nodes(store):
    return await _node_records.NodeRecords(store).list(1.0)


async def _read_evidence(store):
    records = _evidence_records.EvidenceRecords(store, doubles.Log())
    return (await records.read('d1', 1.0))[1]


@pytest.mark.parametrize(
    ('kind', 'read', 'expected'),
    [
        (_lease_records.KIND, _read_lease, record.LEASE),
        (_node_records.KIND, _read_nodes, {'d1': [record.NODE]}),
        (_evidence_records.KIND, _read_evidence, record.EVIDENCE),
    ],
)
def test_object_of_the_old_build_is_read(kind, read, expected):
    """Guards against a leader or node that is unknown after an upgrade."""
    store = record.Store(RECORDED['objects'][kind])
    assert asyncio.run(read(store)) == expected


@pytest.mark.parametrize('kind', RECORDED['objects'])
def test_old_build_reads_the_objects_of_this_one(kind):
    """Guards against a leader or node that is unknown after a roll back."""
    written = record.write_objects()[kind]
    old = RECORDED['objects'][kind]
    assert {name: written[name] for name in old} == old
