"""Replay of traces/configuration against their stated outcomes."""

import json
import pathlib

import pytest

from balsamwind.entry.tests import parts
from balsamwind import objects
from balsamwind import ports

FOLDER = pathlib.Path(__file__).resolve().parents[3] / 'traces/configuration'
TRACES = sorted(path.stem for path in FOLDER.glob('*.jsonl'))


def make_snapshot(event):
    items = [
        make_contract(name, revision)
        for name, revision in event['contracts'].items()
    ]
    if 'epoch' in event:
        number, revision = event['epoch']
        value = objects.Epoch(number)
        name = objects.EPOCH_NAME
        items.append(objects.Stored('epoch', name, revision, value))
    return ports.Snapshot(event['revision'], tuple(items))


def make_contract(name, revision):
    value = objects.Contract(
        name,
        ('0' * 64,),
        '2020-01-01T00:00:00Z',
        '2099-01-01T00:00:00Z',
        priority=revision % 10,
    )
    return objects.Stored('contract', name, revision, value)


def run_event(fleet, event):
    match event['event']:
        case 'list':
            for name in event['nodes']:
                fleet[name].list_store(*unpack(make_snapshot(event)))
        case 'watch':
            for name in event['nodes']:
                fleet[name].entry.catalogue.apply_changes(
                    make_snapshot(event), fleet.clock.now, event['since']
                )
        case 'join':
            fleet.cut.clear()
            fleet.connect()
        case 'cut':
            fleet.isolate(event['node'])
        case 'restart':
            name = event['node']
            place = fleet[name].hello.data_centre
            fleet.isolate(name)
            fleet.nodes[name] = parts.Node(fleet, name, place)
        case 'beat':
            fleet.beat(0.0)


def unpack(snapshot):
    return (snapshot.revision, *snapshot.items)


def describe(entry):
    known = entry.catalogue
    return {
        'revision': known.revision,
        'contracts': {s.name: s.revision for s in known.items('contract')},
        'store': known.store_state.value,
        'control': not entry.is_store_restored(),
    }


@pytest.mark.parametrize('trace', TRACES)
def test_trace(trace):
    text = (FOLDER / f'{trace}.jsonl').read_text(encoding='utf-8')
    first, *lines = map(json.loads, text.splitlines())
    fleet = parts.Fleet(**first['nodes'])
    start = fleet.clock.now
    for line in lines:
        fleet.clock.now = start + line['at']
        if 'event' in line:
            run_event(fleet, line)
            continue
        expected = dict(line['expect'])
        for name in expected.pop('nodes'):
            seen = describe(fleet[name].entry)
            assert {key: seen[key] for key in expected} == expected, line


def test_there_are_traces():
    assert len(TRACES) >= 4
