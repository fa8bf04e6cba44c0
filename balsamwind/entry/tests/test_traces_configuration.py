"""Replay of traces/configuration with a check of the expected states."""

import json
import pathlib

import pytest

from balsamwind.entry.tests import in_memory_fleet
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
        items.append(objects.ObjectVersion('epoch', name, revision, value))
    return ports.Snapshot(event['revision'], tuple(items))


def make_contract(name, revision):
    value = objects.Contract(
        name,
        ('0' * 64,),
        '2020-01-01T00:00:00Z',
        '2099-01-01T00:00:00Z',
        priority=revision % 10,
    )
    return objects.ObjectVersion('contract', name, revision, value)


def run_event(fleet, event):
    """Apply one event of a trace to the fleet."""
    match event['event']:
        case 'list':
            for name in event['nodes']:
                fleet[name].list_store(
                    *make_list_arguments(make_snapshot(event))
                )
        case 'watch':
            for name in event['nodes']:
                fleet[name].entry.catalogue.apply_changes(
                    make_snapshot(event), fleet.clock.now, event['since']
                )
        case 'join':
            fleet.isolated_nodes.clear()
            fleet.connect()
        case 'cut':
            fleet.isolate(event['node'])
        case 'restart':
            name = event['node']
            data_centre = fleet[name].hello.data_centre
            fleet.isolate(name)
            fleet.nodes[name] = in_memory_fleet.Node(fleet, name, data_centre)
        case 'beat':
            fleet.send_heartbeats(0.0)


def make_list_arguments(snapshot):
    """Arguments of `in_memory_fleet.Node.list_store` for a snapshot."""
    return (snapshot.revision, *snapshot.items)


def describe_configuration(entry):
    known = entry.catalogue
    return {
        'revision': known.revision,
        'contracts': {
            s.name: s.revision for s in known.list_objects('contract')
        },
        'store': known.store_state.value,
        'control': not entry.is_store_restored(),
    }


@pytest.mark.parametrize('trace', TRACES)
def test_trace_leads_to_expected_states(trace):
    text = (FOLDER / f'{trace}.jsonl').read_text(encoding='utf-8')
    header, *lines = map(json.loads, text.splitlines())
    fleet = in_memory_fleet.Fleet(**header['nodes'])
    start = fleet.clock.now
    for line in lines:
        fleet.clock.now = start + line['at']
        if 'event' in line:
            run_event(fleet, line)
            continue
        expected = dict(line['expect'])
        for name in expected.pop('nodes'):
            actual = describe_configuration(fleet[name].entry)
            assert {key: actual[key] for key in expected} == expected, line


def test_traces_are_found():
    assert len(TRACES) >= 4
