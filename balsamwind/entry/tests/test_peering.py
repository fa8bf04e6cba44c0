"""Propagation of group states, objects and VM lists between nodes."""

import asyncio
import dataclasses

import pytest

from balsamwind.entry.tests import in_memory_fleet
from balsamwind import objects
from balsamwind import peers
from balsamwind import ports

VMS = ('v0', 'v1', 'v2')
GROUP = objects.Group(
    'g',
    'c',
    'm',
    '1',
    'dc1',
    'd',
    tuple(objects.Member(vm, f'{vm}:1') for vm in VMS),
    3,
    objects.GroupState.READY,
)
RECORD = objects.ObjectVersion('group', 'g', 5, GROUP)
NODES = {'a1': 'dc1', 'a2': 'dc1', 'b1': 'dc2'}


def make_report(vm, **changes):
    report = ports.EngineReport(
        vm, ports.EngineState.READY, 'g', 3, 'm', '1', 10, 2
    )
    return dataclasses.replace(report, **changes)


def make_contract(name, revision):
    contract = objects.Contract(
        name, ('0' * 64,), '2020-01-01T00:00:00Z', '2099-01-01T00:00:00Z'
    )
    return objects.ObjectVersion('contract', name, revision, contract)


def make_fleet():
    """Three nodes that all consider group g as serving."""
    fleet = in_memory_fleet.Fleet(**NODES)
    for node in fleet.nodes.values():
        node.list_store(6, RECORD)
    for vm in VMS:
        fleet.engine.reports[f'{vm}:1'] = make_report(vm)
    fleet.connect()
    run_seconds(fleet, 2)
    return fleet


def run_seconds(fleet, seconds):
    """Poll all VMs and send all heartbeats once a second."""
    for _ in range(seconds):
        asyncio.run(fleet.poll_engines())
        fleet.send_heartbeats()


def list_serving_nodes(fleet):
    """Concatenated names of the nodes at which the group serves."""
    return ''.join(sorted(n for n in NODES if fleet[n].serves(GROUP)))


def find_observing_node(fleet):
    """The node that the VMs of the group are assigned to."""
    return next(n for n in fleet.nodes.values() if n.observer.assigned_count)


def find_sent_reports(node):
    frames = node.entry.links.frames
    sent = [message for frame in frames for message in frame]
    return [m for m in sent if isinstance(m, peers.ObservationChanges)]


def test_healthy_group_is_reported_by_one_status():
    fleet = make_fleet()
    observing_node = find_observing_node(fleet)
    assert list_serving_nodes(fleet) == 'a1a2b1'
    observing_node.entry.links.frames.clear()
    run_seconds(fleet, 5)
    assert find_sent_reports(observing_node) == []
    fleet.engine.reports['v0:1'] = make_report('v0', running=17)
    fleet.engine.reports['v1:1'] = make_report('v1', running=3)
    run_seconds(fleet, 1)
    status = peers.make_group_status(GROUP, make_report('v0', running=17))
    assert find_sent_reports(observing_node) == [
        peers.ObservationChanges((), (), (status,))
    ]
    for node in fleet.nodes.values():
        if node is not observing_node:
            head = node.entry.observations.get('v0').report
            assert (head.running, head.waiting) == (16, 2)
    assert list_serving_nodes(fleet) == 'a1a2b1'


@pytest.mark.parametrize(
    'answer',
    [
        in_memory_fleet.make_poll_error(sent=False),
        make_report('v1', state=ports.EngineState.BROKEN),
        make_report('v1', state=ports.EngineState.EMPTY, group=''),
        make_report('v1', generation=2),
        make_report('v1', version='2'),
    ],
)
def test_group_with_failed_member_stops_serving_at_all_nodes(answer):
    fleet = make_fleet()
    fleet.engine.reports['v1:1'] = answer
    asyncio.run(fleet.poll_engines())
    assert list_serving_nodes(fleet) == ''
    fleet.engine.reports['v1:1'] = make_report('v1')
    run_seconds(fleet, 2)
    assert list_serving_nodes(fleet) == 'a1a2b1'


def test_silent_member_does_not_raise_report_age_of_others():
    fleet = make_fleet()
    fleet.engine.reports['v1:1'] = in_memory_fleet.make_poll_error(sent=True)
    run_seconds(fleet, 1)
    observing_node = find_observing_node(fleet)
    assert observing_node.observer.report_age(fleet.clock.now) <= 1.0
    run_seconds(fleet, 3)
    assert list_serving_nodes(fleet) == ''


def test_heartbeats_without_polls_do_not_confirm_reports():
    fleet = make_fleet()
    for _ in range(5):
        fleet.send_heartbeats()
    assert list_serving_nodes(fleet) == ''


def test_isolated_observer_is_replaced():
    fleet = make_fleet()
    observer_name = find_observing_node(fleet).hello.node
    other_nodes = ''.join(sorted(set(NODES) - {observer_name}))
    fleet.isolate(observer_name)
    run_seconds(fleet, 2)
    assert ''.join(n for n in other_nodes if n in 'ab12')
    assert list_serving_nodes(fleet).replace(observer_name, '') == other_nodes
    fleet.rejoin(observer_name)
    run_seconds(fleet, 5)
    assert list_serving_nodes(fleet) == 'a1a2b1'


def test_status_received_before_record_is_applied_with_record():
    fleet = make_fleet()
    late_node = in_memory_fleet.Fleet(z1='dc3')['z1']
    late_node.entry.clock.now = fleet.clock.now
    observing_node = find_observing_node(fleet)
    status = peers.make_group_status(GROUP, make_report('v0'))
    late_node.peering.on_connect(observing_node.hello)
    message = peers.ObservationChanges((), (), (status,))
    late_node.peering.on_message(observing_node.hello, message)
    assert not late_node.serves(GROUP)
    late_node.list_store(6, RECORD)
    assert late_node.serves(GROUP)
    late_node.entry.clock.now += 5.0
    assert not late_node.serves(GROUP)


@pytest.mark.parametrize(
    'change',
    [
        {'name': 'h'},
        {'generation': 4},
        {'version': '2'},
        {'members': (*GROUP.members[:2],)},
    ],
)
def test_status_with_other_digest_is_not_applied(change):
    other = dataclasses.replace(GROUP, **change)
    status = peers.make_group_status(other, make_report('v0'))
    resolver = peers.GroupStatusResolver(3.0)
    resolver.update_group('g', GROUP)
    assert resolver.resolve(status, 'a1', 1.0) is None


def test_node_restarted_during_store_outage_gets_state_from_peers():
    fleet = make_fleet()
    contract = make_contract('c', 9)
    for node in fleet.nodes.values():
        node.list_store(9, RECORD, contract)
    row = ports.ListedVm('v0', 'v0:1', 'dc1', 'd')
    for name in ('a1', 'b1'):
        message = peers.VmListUpdate((row,), (), True, 0.0)
        fleet[name].vm_list_poller.apply_vm_rows(message, fleet.clock.now)
    fleet.isolate('a2')
    fleet.nodes['a2'] = in_memory_fleet.Node(fleet, 'a2', 'dc1')
    fleet.rejoin('a2')
    fleet.send_heartbeats()
    restarted = fleet['a2'].entry
    assert restarted.catalogue.get_value('contract', 'c') == contract.value
    assert restarted.catalogue.revision == 9
    assert restarted.groups.listed_vms == {'v0': row}
    run_seconds(fleet, 2)
    assert list_serving_nodes(fleet) == 'a1a2b1'


def test_data_centre_without_the_platform_gets_changes_from_peers():
    fleet = make_fleet()
    changed = make_contract('c', 8)
    for name in ('a1', 'a2'):
        fleet[name].list_store(8, RECORD, changed)
    frames = len(fleet['b1'].entry.links.frames)
    run_seconds(fleet, 3)
    assert fleet['b1'].entry.catalogue.revision == 8
    assert fleet['b1'].entry.catalogue.get_value('contract', 'c')
    assert len(fleet['b1'].entry.links.frames) - frames <= 4


def test_isolated_node_does_not_restore_deleted_contract():
    fleet = make_fleet()
    for node in fleet.nodes.values():
        node.list_store(7, RECORD, make_contract('c', 7))
    fleet.isolate('b1')
    for name in ('a1', 'a2'):
        fleet[name].list_store(8, RECORD)
    fleet.clock.now += 2000.0
    fleet.send_heartbeats()
    assert fleet['a1'].entry.catalogue.tombstone_count == 0
    fleet.rejoin('b1')
    run_seconds(fleet, 3)
    for node in fleet.nodes.values():
        assert node.entry.catalogue.get('contract', 'c') is None
        assert node.entry.catalogue.revision == 8


def test_restored_store_seen_by_one_node_stops_control_at_all_nodes():
    fleet = make_fleet()
    other = dataclasses.replace(GROUP, generation=1)
    assert not fleet['a1'].list_store(
        9, objects.ObjectVersion('group', 'g', 5, other)
    )
    fleet.send_heartbeats()
    for node in fleet.nodes.values():
        assert node.entry.is_store_restored()
    run_seconds(fleet, 2)
    assert list_serving_nodes(fleet) == 'a1a2b1'
    epoch = objects.ObjectVersion(
        'epoch', objects.EPOCH_NAME, 10, objects.Epoch(1)
    )
    assert fleet['a1'].list_store(10, epoch, RECORD)
    run_seconds(fleet, 2)
    for node in fleet.nodes.values():
        assert not node.entry.is_store_restored()
        assert node.entry.catalogue.epoch == 1
