"""Repair of groups that lost members, within one control round."""

import pytest

from balsamwind.control.tests import fleet
from balsamwind import objects

State = objects.GroupState
VMS = [f'a-d0-{index}' for index in range(8)]


def make_fleet(domains, **placement):
    vm_fleet = fleet.Fleet(domains, **placement)
    vm_fleet.put_contract('high', 9, 1, {'a': 1})
    vm_fleet.put_group('g-high', 'high', VMS[:4])
    return vm_fleet


@pytest.mark.parametrize(
    'domains, down_for, placement, kind',
    [
        ({'a-d0': 5}, 2.0, {'load_time': 0.2}, 'spare'),
        ({'a-d0': 5}, 2.0, {}, 'wait'),
        ({'a-d0': 5}, 200.0, {}, 'spare'),
        ({'a-d0': 4}, 200.0, {}, 'wait'),
        ({'a-d0': 4, 'a-d1': 4}, 2.0, {}, 'wait'),
        ({'a-d0': 4, 'a-d1': 4}, 200.0, {}, 'reform'),
        ({'a-d0': 5, 'a-d1': 4}, 200.0, {}, 'spare'),
        ({'a-d0': 4, 'b-d0': 8}, 200.0, {}, 'wait'),
    ],
)
def test_kind_of_repair(domains, down_for, placement, kind):
    vm_fleet = make_fleet(domains, **placement)
    vm_fleet.record_observation(VMS[1], down_for)
    group = vm_fleet.plan_group_writes()['g-high']
    assert f'lost {VMS[1]}; {kind}' in group.reason
    state = {'wait': State.READY, 'spare': State.FORMING}
    assert group.state is state.get(kind, State.RELEASING)
    if kind == 'spare':
        assert set(group.vms) == {VMS[0], VMS[2], VMS[3], VMS[4]}
        assert group.generation == 2


def test_spare_with_cached_weights_is_preferred():
    vm_fleet = make_fleet({'a-d0': 7})
    vm_fleet.record_observation(VMS[1], 200.0)
    vm_fleet.record_observation(VMS[6], cached=('m@v1',))
    assert VMS[6] in vm_fleet.plan_group_writes()['g-high'].vms


def test_reason_for_waiting_is_written_once():
    vm_fleet = make_fleet({'a-d0': 5})
    vm_fleet.record_observation(VMS[1], 2.0)
    vm_fleet.put('group', 'g-high', vm_fleet.plan_group_writes()['g-high'])
    vm_fleet.record_observation(VMS[1], 3.0)
    assert vm_fleet.plan_group_writes() == {}


def test_member_is_taken_from_lower_priority():
    vm_fleet = make_fleet({'a-d0': 8})
    vm_fleet.put_contract('low', 1, 1, {'a': 1})
    vm_fleet.put_group('g-low', 'low', VMS[4:])
    vm_fleet.record_observation(VMS[1], 200.0)
    written = vm_fleet.plan_group_writes()
    assert written['g-low'].state is State.DRAINING
    assert 'taken apart for g-high' in written['g-low'].reason
    assert written['g-high'].state is State.READY
    for name, group in written.items():
        vm_fleet.put('group', name, group)
    assert vm_fleet.plan_group_writes()['g-high'].reason.startswith(
        f'lost {VMS[1]}; coming'
    )


def test_member_is_not_taken_from_higher_priority():
    vm_fleet = make_fleet({'a-d0': 8})
    vm_fleet.put_contract('low', 1, 1, {'a': 1})
    vm_fleet.put_group('g-low', 'low', VMS[4:])
    vm_fleet.record_observation(VMS[5], 200.0)
    assert set(vm_fleet.plan_group_writes()) == {'g-low'}


def test_broken_group_yields_member_to_another():
    vm_fleet = make_fleet({'a-d0': 8})
    vm_fleet.put_contract('same', 9, 1, {'a': 1})
    vm_fleet.put_group('g-same', 'same', VMS[4:])
    vm_fleet.record_observation(VMS[1], 300.0)
    vm_fleet.record_observation(VMS[5], 300.0)
    written = vm_fleet.plan_group_writes()
    assert written['g-same'].state is State.RELEASING
    assert written['g-high'].state is State.READY


def test_spare_goes_to_higher_priority():
    vm_fleet = fleet.Fleet({'a-d0': 9})
    for name, priority, vms in (('a', 1, VMS[:4]), ('z', 9, VMS[4:])):
        vm_fleet.put_contract(name, priority, 1, {'a': 1})
        vm_fleet.put_group(f'g-{name}', name, vms)
    vm_fleet.record_observation(VMS[1], 200.0)
    vm_fleet.record_observation(VMS[5], 200.0)
    written = vm_fleet.plan_group_writes()
    assert written['g-z'].state is State.FORMING
    assert 'a-d0-8' in written['g-z'].vms


def test_new_group_goes_to_higher_priority():
    vm_fleet = fleet.Fleet({'a-d0': 4})
    vm_fleet.put_contract('a', 1, 1, {'a': 1})
    vm_fleet.put_contract('z', 9, 1, {'a': 1})
    assert [
        group.contract for group in vm_fleet.plan_group_writes().values()
    ] == ['z']


def test_streams_end_before_leaving_member_is_replaced():
    vm_fleet = make_fleet({'a-d0': 5})
    vm_fleet.record_observation(VMS[0], cached=('m@v1',), running=1)
    vm_fleet.mark_leaving(VMS[1])
    group = vm_fleet.plan_group_writes()['g-high']
    assert group.state is State.READY
    assert 'streams' in group.reason
    vm_fleet.record_observation(VMS[0], cached=('m@v1',))
    assert vm_fleet.plan_group_writes()['g-high'].state is State.FORMING


def test_broken_reports_of_other_members_keep_generation():
    """No new generation is written while a member is briefly down.

    The other members then report a broken group, which becomes complete
    again when the member returns.
    """
    vm_fleet = make_fleet({'a-d0': 4})
    vm_fleet.record_observation(VMS[1], 0.5)
    for vm in (VMS[0], VMS[2], VMS[3]):
        view = vm_fleet.observations.get(vm)
        vm_fleet.record_observation(
            vm, group='g-high', generation=1, cached=('m@v1',)
        )
        assert view.reachable
    assert vm_fleet.plan_group_writes() == {}


def test_broken_surplus_group_is_released():
    vm_fleet = fleet.Fleet({'a-d0': 8})
    vm_fleet.put_contract('c', 5, 2, {'a': 1})
    vm_fleet.put_group('g-a', 'c', VMS[:4])
    vm_fleet.put_group('g-b', 'c', VMS[4:])
    vm_fleet.record_observation(VMS[5], 200.0)
    group = vm_fleet.plan_group_writes()['g-b']
    assert group.state is State.RELEASING
    assert 'more than allocated' in group.reason
    assert 'g-a' not in vm_fleet.plan_group_writes()
