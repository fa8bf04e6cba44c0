"""Preloading of weights on free VMs."""

import pytest

from balsamwind import control
from balsamwind.control.tests import fleet
from balsamwind import ports


def make_fleet(**placement):
    vm_fleet = fleet.Fleet({'a-d0': 6, 'a-d1': 2}, **placement)
    vm_fleet.put_contract('c', 5, 1, {'a': 1})
    vm_fleet.put_group('g', 'c', [f'a-d0-{index}' for index in range(4)])
    return vm_fleet


def plan_preloaded_vms(vm_fleet):
    """Plan one round; return the VMs that get a preload order with ticket."""
    decisions = control.plan_groups(vm_fleet.view(), 'a', 1)
    return [
        decision.vm
        for decision in decisions
        if isinstance(decision, control.SendOrder)
        and decision.needs_ticket
        and decision.order.group == 'preload/m@v1'
    ]


@pytest.mark.parametrize(
    'most, expected',
    [(0, []), (1, ['a-d0-4', 'a-d0-5', 'a-d1-0', 'a-d1-1'])],
)
def test_free_vms_preload_weights(most, expected):
    vm_fleet = make_fleet(preloads=most)
    assert plan_preloaded_vms(vm_fleet) == expected


@pytest.mark.parametrize(
    'report',
    [
        {'cached': ('m@v1',)},
        {'state': ports.EngineState.LOADING},
    ],
)
def test_cached_or_loading_vm_gets_no_order(report):
    vm_fleet = make_fleet(preloads=1)
    vm_fleet.record_observation('a-d0-4', **report)
    assert plan_preloaded_vms(vm_fleet) == ['a-d0-5', 'a-d1-0', 'a-d1-1']


def test_no_preload_on_a_vm_used_by_a_repair():
    vm_fleet = make_fleet(preloads=1)
    vm_fleet.record_observation('a-d0-0', 500.0)
    assert plan_preloaded_vms(vm_fleet) == ['a-d0-5', 'a-d1-0', 'a-d1-1']
