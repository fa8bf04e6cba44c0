"""Free VMs load weights ahead, and stay free."""

import pytest

from balsamwind import control
from balsamwind.control.tests import fleet
from balsamwind import ports


def make_fleet(**placement):
    made = fleet.Fleet({'a-d0': 6, 'a-d1': 2}, **placement)
    made.contract('c', 5, 1, {'a': 1})
    made.group('g', 'c', [f'a-d0-{index}' for index in range(4)])
    return made


def preloads(made):
    """VMs that are to load ahead, of orders that need a ticket."""
    decisions = control.plan_groups(made.view(), 'a', 1)
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
def test_free_vms_load_ahead(most, expected):
    made = make_fleet(preloads=most)
    assert preloads(made) == expected


@pytest.mark.parametrize(
    'report',
    [
        {'cached': ('m@v1',)},
        {'state': ports.EngineState.LOADING},
    ],
)
def test_once(report):
    made = make_fleet(preloads=1)
    made.report('a-d0-4', **report)
    assert preloads(made) == ['a-d0-5', 'a-d1-0', 'a-d1-1']


def test_not_on_a_vm_that_a_repair_takes():
    made = make_fleet(preloads=1)
    made.report('a-d0-0', 500.0)
    assert preloads(made) == ['a-d0-5', 'a-d1-0', 'a-d1-1']
