"""Entries of another writer among those of the backend servers."""

import asyncio
import json

import hypothesis
from hypothesis import strategies
import pytest

from balsamwind.adapters import _http_client
from balsamwind import exceptions
from balsamwind.node import _updates
from balsamwind.platform import _client
from balsamwind.platform import _servers
from balsamwind.platform import _store
from balsamwind.platform.tests import any_json
from balsamwind.platform.tests import test_formats
from balsamwind import pool

DEEP = '[' * 20000 + ']' * 20000
"""JSON that no recursive parser reads."""

MANY_DIGITS = '9' * 6000
"""Integer that the interpreter refuses to convert."""

GROUP = test_formats.SERVER_ENTRY['group']

MISSING = object()
"""Stands for a field that an entry does not have."""


class _ScriptedClient:
    """HTTP client that answers each call by the same body."""

    def __init__(self, body):
        self._body = body

    async def fetch(self, method, url, **arguments):
        return _http_client.Response(200, {}, self._body)


class RawJson(str):
    """JSON text that is put into an object as it is."""


def _dump_value(value):
    return value if type(value) is RawJson else json.dumps(value)


def _dump(fields):
    """Encode a dict whose values may be `RawJson`."""
    items = (
        f'{json.dumps(name)}:{_dump_value(item)}'
        for name, item in fields.items()
    )
    return '{%s}' % ','.join(items)


def _make_object(spec, **metadata):
    metadata = {'Name': 'odd', 'Revision': 9, **metadata}
    return RawJson(_dump({'Metadata': RawJson(_dump(metadata)), 'Spec': spec}))


def _make_entry(**changes):
    fields = {**test_formats.SERVER_ENTRY, **changes}
    return RawJson(
        _dump({k: v for k, v in fields.items() if v is not MISSING})
    )


def _make_group(**changes):
    return RawJson(_dump({**GROUP, **changes}))


SOUND = _make_object(_make_entry(), Name='e1', Revision=8)

ODD_VALUES = {
    'nested deeply': RawJson(DEEP),
    'many digits': RawJson(MANY_DIGITS),
    'infinite': RawJson('1e999'),
    'no number': RawJson('NaN'),
    'above 2**53': 2**60,
    'list': ['x'],
    'table': {'x': 1},
    'surrogate': RawJson(r'"x\ud800"'),
    'line end': 'a\r\nX-Other: 1',
    'too long': 'x' * 5000,
}
"""Values that no field of an entry may have."""

ODD_OBJECTS = {
    **{
        f'{field} {name}': _make_object(_make_entry(**{field: value}))
        for field in ('Service', 'Address', 'Zone', 'State', 'SlotCount')
        for name, value in ODD_VALUES.items()
    },
    **{
        f'born {name}': _make_object(_make_entry(born=value))
        for name, value in ODD_VALUES.items()
    },
    **{
        f'group {field} {name}': _make_object(
            _make_entry(group=_make_group(**{field: value}))
        )
        for field in ('Name', 'epoch', 'rank', 'State')
        for name, value in ODD_VALUES.items()
    },
    **{
        f'name {name}': _make_object(_make_entry(), Name=value)
        for name, value in ODD_VALUES.items()
    },
    **{
        f'revision {name}': _make_object(_make_entry(), Revision=value)
        for name, value in ODD_VALUES.items()
    },
    **{
        f'model {name}': _make_object(
            _make_entry(
                Models=RawJson('[%s]' % _dump({'Name': value, 'Version': 1}))
            )
        )
        for name, value in ODD_VALUES.items()
    },
    **{
        f'staged {name}': _make_object(
            _make_entry(Staged=RawJson(f'[{_dump_value(value)}]'))
        )
        for name, value in ODD_VALUES.items()
    },
    **{
        f'address {address}': _make_object(_make_entry(Address=address))
        for address in (
            '10.0.0.9',
            '10.0.0.9:',
            '10.0.0.9:0',
            '10.0.0.9:65536',
            '10.0.0.9:99999999',
            '10.0.0.9:-1',
            '10.0.0.9:\u0668\u0660',
            '10.0.0.9:80\n',
            ':8080',
            ' :8080',
            'x' * 64 + ':8080',
            'a..b:8080',
            '10.0.0.9/x:80',
            '10.0.0.9@10.0.0.8:80',
        )
    },
    **{
        f'{field} missing': _make_object(_make_entry(**{field: MISSING}))
        for field in ('Service', 'Address', 'Zone', 'State')
    },
    'negative rank': _make_object(_make_entry(group=_make_group(rank=-1))),
    'unknown state': _make_object(_make_entry(State='asleep')),
    'content nested deeply': _make_object(RawJson(DEEP)),
    'content a string': _make_object('%%'),
    'content missing': RawJson('{"Metadata":{"Name":"odd","Revision":9}}'),
    'no object': RawJson('7'),
    'nested object': RawJson('{"Metadata":%s}' % DEEP),
    'control character': _make_object(
        _make_entry(Service=RawJson('"a\x01b"'))
    ),
}
"""Objects of the store that name no server."""


def _read(call, body):
    """Read servers from an answer; return what is read and left out."""
    client = _ScriptedClient(body.encode('utf-8', 'surrogatepass'))
    store = _store.StoreClient(client, 'store:1')
    reader = _client.PlatformClient(client, store)
    left_out = []
    store.on_malformed = lambda *details: left_out.append(details)
    return asyncio.run(call(reader)), left_out


@pytest.mark.parametrize('odd', ODD_OBJECTS.values(), ids=ODD_OBJECTS)
def test_list_keeps_the_others_beside_an_odd_entry(odd):
    # One such entry ended the task that reads the list at every node, made
    # the whole list fail, or was taken for a server (RECOVER, DRAIN).
    body = f'{{"Items":[{odd},{SOUND}],"HasMore":false,"StoreRevision":9}}'
    (_, records), left_out = _read(
        lambda reader: reader.list_servers(1.0), body
    )
    assert [record.server_id for record in records] == ['e1']
    assert len(left_out) == 1


@pytest.mark.parametrize('odd', ODD_OBJECTS.values(), ids=ODD_OBJECTS)
def test_watch_goes_on_after_an_odd_entry(odd):
    # A change that can't be read ended the watch for good; where its name can
    # be read it now takes that server off the list, else a new list is due.
    events = f'{{"Object":{odd}}},{{"Object":{SOUND}}}'
    body = f'{{"events":[{events}],"StoreRevision":9}}'
    try:
        (_, changes), _ = _read(
            lambda reader: reader.watch_servers(5, 1.0, 2.0), body
        )
    except exceptions.HistoryGone:
        return
    removed, record = changes
    assert removed == pool.RemovedServer('odd', 9)
    assert record.server_id == 'e1'


def test_bytes_that_are_no_text_cost_one_entry():
    body = (
        f'{{"Items":[{_make_object(_make_entry(Zone="z-broken"))},{SOUND}],'
        '"HasMore":false,"StoreRevision":9}'
    )
    client = _ScriptedClient(body.encode().replace(b'z-broken', b'z\xff\xfe'))
    reader = _client.PlatformClient(
        client, _store.StoreClient(client, 'store:1')
    )
    _, records = asyncio.run(reader.list_servers(1.0))
    assert [record.server_id for record in records] == ['e1']


ENTRIES = any_json.make_variants(test_formats.SERVER_ENTRY)
"""Entries in which each field is sound, missing or of any shape."""


@hypothesis.given(ENTRIES, any_json.TEXTS | strategies.just('e1'))
def test_every_entry_is_a_server_for_all_nodes_or_malformed(spec, name):
    try:
        record = _servers.decode_server(name, 9, spec)
    except exceptions.MalformedValue:
        return
    update = _updates.ServerUpdate(True, (record,))
    frame = _updates.encode_frame(update)
    assert _updates.decode_frame(frame) == update
    hash(record)
    f'{record}'.encode()


@hypothesis.given(ENTRIES)
def test_every_report_is_read_or_malformed(spec):
    try:
        report = _servers.decode_report(json.dumps(spec).encode())
    except exceptions.BadAnswer:
        return
    hash(report)


@pytest.mark.parametrize(
    'body',
    [
        pytest.param(DEEP.encode(), id='nested deeply'),
        pytest.param(f'{{"Models":{DEEP}}}'.encode(), id='models nested'),
        pytest.param(f'{{"Seq":{MANY_DIGITS}}}'.encode(), id='many digits'),
        pytest.param(b'{"pace":1e999}', id='infinite pace'),
        pytest.param(b'{"pace":NaN}', id='pace that is no number'),
        pytest.param(b'{"pace":%d}' % 10**400, id='pace that is no float'),
        pytest.param(b'{"pace":"2"}', id='pace that is a string'),
        pytest.param(
            b'{"group":{"Name":["x"],"epoch":1,"rank":0,"State":"open"}}',
            id='name that is a list',
        ),
    ],
)
def test_odd_report_is_a_bad_answer(body):
    # The probe of the engine ended without a result, and its group was
    # neither found down nor sound.
    with pytest.raises(exceptions.BadAnswer):
        _servers.decode_report(body)
