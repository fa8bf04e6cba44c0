"""Allocation of replicas: priority, stability and shortage."""

import pytest

from balsamwind.control.tests import fleet


def make_fleet_with_lost_domain(domains):
    """Make a fleet that lost all VMs of a-d0 and none of a-d1."""
    vm_fleet = fleet.Fleet(domains)
    lost_vms = [f'a-d0-{index}' for index in range(4)]
    live_vms = [f'a-d1-{index}' for index in range(4)]
    vm_fleet.put_contract('low', 1, 1, {'a': 1})
    vm_fleet.put_contract('top', 9, 1, {'a': 1})
    vm_fleet.put_group('g-top', 'top', lost_vms)
    vm_fleet.put_group('g-low', 'low', live_vms)
    for vm in lost_vms:
        vm_fleet.record_observation(vm, 100.0)
    return vm_fleet


def test_higher_priority_is_placed_first():
    vm_fleet = fleet.Fleet({'a-d0': 4, 'b-d0': 5})
    vm_fleet.put_contract('low', 1, 2)
    vm_fleet.put_contract('top', 9, 1)
    written = vm_fleet.plan_allocation_writes()
    assert written['top'].total('m') == 1
    assert written['low'].total('m') == 1
    assert written['low'].short['m'].startswith('1 of 2 replicas: no fabric')


def test_unchanged_allocation_is_not_written_again():
    vm_fleet = fleet.Fleet({'a-d0': 8, 'b-d0': 8})
    vm_fleet.put_contract('c', 5, 3)
    first = vm_fleet.plan_allocation_writes()['c']
    vm_fleet.put('allocation', 'c', first)
    assert vm_fleet.plan_allocation_writes() == {}
    vm_fleet.put_contract('d', 9, 1)
    assert list(vm_fleet.plan_allocation_writes()) == ['d']


@pytest.mark.parametrize(
    'down_for, moved', [(0.0, False), (30.0, False), (61.0, True)]
)
def test_replica_moves_once_loss_is_confirmed(down_for, moved):
    vm_fleet = fleet.Fleet({'a-d0': 4, 'b-d0': 4})
    vm_fleet.put_contract('c', 5, 1, {'a': 1})
    vms = [f'a-d0-{index}' for index in range(4)]
    vm_fleet.put_group('g', 'c', vms)
    for vm in vms:
        vm_fleet.record_observation(vm, down_for)
    written = vm_fleet.plan_allocation_writes()
    assert ('c' in written) is moved
    if moved:
        assert written['c'].replicas == {'m': {'b': 1}}


def test_partitioned_data_centre_keeps_replicas():
    """All observations of the data centre are stale, as in a partition."""
    vm_fleet = fleet.Fleet({'a-d0': 4, 'b-d0': 4})
    vm_fleet.put_contract('c', 5, 1, {'a': 1})
    vms = [f'a-d0-{index}' for index in range(4)]
    vm_fleet.put_group('g', 'c', vms)
    for vm in vms:
        vm_fleet.observations.update(vm, False, None, 'n', fleet.NOW - 100.0)
    assert vm_fleet.plan_allocation_writes() == {}


def test_intact_groups_stay_when_a_domain_is_lost():
    """Only the lost group moves, not the intact one in its data centre."""
    vm_fleet = make_fleet_with_lost_domain({'a-d0': 4, 'a-d1': 4, 'b-d0': 4})
    written = vm_fleet.plan_allocation_writes()
    assert written['top'].replicas == {'m': {'b': 1}}
    assert 'low' not in written


def test_lower_priority_is_preempted():
    vm_fleet = make_fleet_with_lost_domain({'a-d0': 4, 'a-d1': 4})
    written = vm_fleet.plan_allocation_writes()
    assert written['low'].replicas == {'m': {}}
    assert '1 taken for top' in written['low'].short['m']
    assert '4 VMs confirmed down' in written['low'].short['m']
    assert 'top' not in written


def test_equal_priority_is_not_preempted():
    vm_fleet = fleet.Fleet({'a-d0': 4})
    vm_fleet.put_contract('a', 5, 1)
    vm_fleet.put('allocation', 'a', vm_fleet.plan_allocation_writes()['a'])
    vm_fleet.put_group('g-a', 'a', [f'a-d0-{index}' for index in range(4)])
    vm_fleet.put_contract('0', 5, 1)
    written = vm_fleet.plan_allocation_writes()
    assert written['0'].total('m') == 0
    assert 'a' not in written


def test_two_small_groups_are_preempted_for_a_large_one():
    vm_fleet = fleet.Fleet({'a-d0': 4})
    vm_fleet.put_contract('low', 1, 2, size=2)
    vm_fleet.put('allocation', 'low', vm_fleet.plan_allocation_writes()['low'])
    vm_fleet.put_group('g-0', 'low', ['a-d0-0', 'a-d0-1'])
    vm_fleet.put_group('g-1', 'low', ['a-d0-2', 'a-d0-3'])
    vm_fleet.put_contract('top', 9, 1)
    written = vm_fleet.plan_allocation_writes()
    assert written['top'].total('m') == 1
    assert written['low'].total('m') == 0


def test_domain_with_cached_weights_is_preferred():
    vm_fleet = fleet.Fleet({'a-d0': 8, 'b-d0': 4, 'b-d1': 4})
    for index in range(4):
        vm_fleet.record_observation(f'b-d1-{index}', cached=('m@v1',))
    vm_fleet.put_contract('c', 5, 1)
    assert vm_fleet.plan_allocation_writes()['c'].replicas == {'m': {'b': 1}}
