"""What nodes know of groups and objects through each other."""

import asyncio
import dataclasses

import pytest

from balsamwind.entry.tests import parts
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
RECORD = objects.Stored('group', 'g', 5, GROUP)
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
    return objects.Stored('contract', name, revision, contract)


def make_fleet():
    """Three nodes that all see group g serve."""
    fleet = parts.Fleet(**NODES)
    for node in fleet.nodes.values():
        node.list_store(6, RECORD)
    for vm in VMS:
        fleet.engine.reports[f'{vm}:1'] = make_report(vm)
    fleet.connect()
    pass_time(fleet, 2)
    return fleet


def pass_time(fleet, seconds):
    for _ in range(seconds):
        asyncio.run(fleet.observe())
        fleet.beat()


def serving(fleet):
    return ''.join(sorted(n for n in NODES if fleet[n].serves(GROUP)))


def find_observer(fleet):
    return next(n for n in fleet.nodes.values() if n.observer.observed)


def reports_of(node):
    frames = node.entry.links.frames
    sent = [message for frame in frames for message in frame]
    return [m for m in sent if isinstance(m, peers.Reports)]


def test_well_group_is_told_by_one_status():
    fleet = make_fleet()
    observer = find_observer(fleet)
    assert serving(fleet) == 'a1a2b1'
    observer.entry.links.frames.clear()
    pass_time(fleet, 5)
    assert reports_of(observer) == []
    fleet.engine.reports['v0:1'] = make_report('v0', running=17)
    fleet.engine.reports['v1:1'] = make_report('v1', running=3)
    pass_time(fleet, 1)
    status = peers.make_status(GROUP, make_report('v0', running=17))
    assert reports_of(observer) == [peers.Reports((), (), (status,))]
    for node in fleet.nodes.values():
        if node is not observer:
            head = node.entry.observations.get('v0').report
            assert (head.running, head.waiting) == (16, 2)
    assert serving(fleet) == 'a1a2b1'


@pytest.mark.parametrize(
    'answer',
    [
        parts.make_down(sent=False),
        make_report('v1', state=ports.EngineState.BROKEN),
        make_report('v1', state=ports.EngineState.EMPTY, group=''),
        make_report('v1', generation=2),
        make_report('v1', version='2'),
    ],
)
def test_one_bad_member_ends_the_group_everywhere(answer):
    fleet = make_fleet()
    fleet.engine.reports['v1:1'] = answer
    asyncio.run(fleet.observe())
    assert serving(fleet) == ''
    fleet.engine.reports['v1:1'] = make_report('v1')
    pass_time(fleet, 2)
    assert serving(fleet) == 'a1a2b1'


def test_silent_member_does_not_age_the_others():
    fleet = make_fleet()
    fleet.engine.reports['v1:1'] = parts.make_down(sent=True)
    pass_time(fleet, 1)
    observer = find_observer(fleet)
    assert observer.observer.report_age(fleet.clock.now) <= 1.0
    pass_time(fleet, 3)
    assert serving(fleet) == ''


def test_observer_that_does_not_observe_vouches_for_nothing():
    fleet = make_fleet()
    for _ in range(5):
        fleet.beat()
    assert serving(fleet) == ''


def test_cut_off_observer_is_replaced():
    fleet = make_fleet()
    observer = find_observer(fleet).hello.node
    rest = ''.join(sorted(set(NODES) - {observer}))
    fleet.isolate(observer)
    pass_time(fleet, 2)
    assert ''.join(n for n in rest if n in 'ab12')
    assert serving(fleet).replace(observer, '') == rest
    fleet.rejoin(observer)
    pass_time(fleet, 5)
    assert serving(fleet) == 'a1a2b1'


def test_status_before_the_record_counts_once_it_comes():
    fleet = make_fleet()
    late = parts.Fleet(z1='dc3')['z1']
    late.entry.clock.now = fleet.clock.now
    observer = find_observer(fleet)
    status = peers.make_status(GROUP, make_report('v0'))
    late.peering.on_connect(observer.hello)
    message = peers.Reports((), (), (status,))
    late.peering.on_message(observer.hello, message)
    assert not late.serves(GROUP)
    late.list_store(6, RECORD)
    assert late.serves(GROUP)
    late.entry.clock.now += 5.0
    assert not late.serves(GROUP)


@pytest.mark.parametrize(
    'change',
    [
        {'name': 'h'},
        {'generation': 4},
        {'version': '2'},
        {'members': (*GROUP.members[:2],)},
    ],
)
def test_status_of_another_group_is_not_taken(change):
    other = dataclasses.replace(GROUP, **change)
    status = peers.make_status(other, make_report('v0'))
    book = peers.StatusBook(3.0)
    book.set_group('g', GROUP)
    assert book.take(status, 'a1', 1.0) is None


def test_restart_in_an_outage_takes_the_state_of_peers():
    fleet = make_fleet()
    contract = make_contract('c', 9)
    for node in fleet.nodes.values():
        node.list_store(9, RECORD, contract)
    row = ports.ListedVm('v0', 'v0:1', 'dc1', 'd')
    for name in ('a1', 'b1'):
        message = peers.VmRows((row,), (), True, 0.0)
        fleet[name].vms.take(message, fleet.clock.now)
    fleet.isolate('a2')
    fleet.nodes['a2'] = parts.Node(fleet, 'a2', 'dc1')
    fleet.rejoin('a2')
    fleet.beat()
    new = fleet['a2'].entry
    assert new.catalogue.value('contract', 'c') == contract.value
    assert new.catalogue.revision == 9
    assert new.groups.listed == {'v0': row}
    pass_time(fleet, 2)
    assert serving(fleet) == 'a1a2b1'


def test_data_centre_without_the_platform_gets_changes_from_peers():
    fleet = make_fleet()
    changed = make_contract('c', 8)
    for name in ('a1', 'a2'):
        fleet[name].list_store(8, RECORD, changed)
    frames = len(fleet['b1'].entry.links.frames)
    pass_time(fleet, 3)
    assert fleet['b1'].entry.catalogue.revision == 8
    assert fleet['b1'].entry.catalogue.value('contract', 'c')
    assert len(fleet['b1'].entry.links.frames) - frames <= 4


def test_cut_off_node_does_not_bring_back_a_contract():
    fleet = make_fleet()
    for node in fleet.nodes.values():
        node.list_store(7, RECORD, make_contract('c', 7))
    fleet.isolate('b1')
    for name in ('a1', 'a2'):
        fleet[name].list_store(8, RECORD)
    fleet.clock.now += 2000.0
    fleet.beat()
    assert fleet['a1'].entry.catalogue.tombstones == 0
    fleet.rejoin('b1')
    pass_time(fleet, 3)
    for node in fleet.nodes.values():
        assert node.entry.catalogue.get('contract', 'c') is None
        assert node.entry.catalogue.revision == 8


def test_restored_store_seen_by_one_node_stops_control_at_all():
    fleet = make_fleet()
    other = dataclasses.replace(GROUP, generation=1)
    assert not fleet['a1'].list_store(
        9, objects.Stored('group', 'g', 5, other)
    )
    fleet.beat()
    for node in fleet.nodes.values():
        assert node.entry.is_store_restored()
    pass_time(fleet, 2)
    assert serving(fleet) == 'a1a2b1'
    epoch = objects.Stored('epoch', objects.EPOCH_NAME, 10, objects.Epoch(1))
    assert fleet['a1'].list_store(10, epoch, RECORD)
    pass_time(fleet, 2)
    for node in fleet.nodes.values():
        assert not node.entry.is_store_restored()
        assert node.entry.catalogue.epoch == 1
