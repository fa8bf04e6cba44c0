"""Split of replicas over data centres: priority, stability, shortage."""

import pytest

from balsamwind.control.tests import fleet


def make_dark(domains):
    """Fleet where a-d0 is dark and a-d1 is not."""
    made = fleet.Fleet(domains)
    dark = [f'a-d0-{index}' for index in range(4)]
    lit = [f'a-d1-{index}' for index in range(4)]
    made.contract('low', 1, 1, {'a': 1})
    made.contract('top', 9, 1, {'a': 1})
    made.group('g-top', 'top', dark)
    made.group('g-low', 'low', lit)
    for vm in dark:
        made.report(vm, 100.0)
    return made


def test_higher_priority_first():
    made = fleet.Fleet({'a-d0': 4, 'b-d0': 5})
    made.contract('low', 1, 2)
    made.contract('top', 9, 1)
    split = made.allocations()
    assert split['top'].total('m') == 1
    assert split['low'].total('m') == 1
    assert split['low'].short['m'].startswith('1 of 2 replicas: no fabric')


def test_stays_and_is_not_written_again():
    made = fleet.Fleet({'a-d0': 8, 'b-d0': 8})
    made.contract('c', 5, 3)
    first = made.allocations()['c']
    made.put('allocation', 'c', first)
    assert made.allocations() == {}
    made.contract('d', 9, 1)
    assert list(made.allocations()) == ['d']


@pytest.mark.parametrize(
    'down_for, moved', [(0.0, False), (30.0, False), (61.0, True)]
)
def test_moves_when_confirmed(down_for, moved):
    made = fleet.Fleet({'a-d0': 4, 'b-d0': 4})
    made.contract('c', 5, 1, {'a': 1})
    vms = [f'a-d0-{index}' for index in range(4)]
    made.group('g', 'c', vms)
    for vm in vms:
        made.report(vm, down_for)
    split = made.allocations()
    assert ('c' in split) is moved
    if moved:
        assert split['c'].replicas == {'m': {'b': 1}}


def test_unknown_data_centre_does_not_move():
    """All views of the data centre are stale: it was cut off."""
    made = fleet.Fleet({'a-d0': 4, 'b-d0': 4})
    made.contract('c', 5, 1, {'a': 1})
    vms = [f'a-d0-{index}' for index in range(4)]
    made.group('g', 'c', vms)
    for vm in vms:
        made.observations.update(vm, False, None, 'n', fleet.NOW - 100.0)
    assert made.allocations() == {}


def test_whole_groups_stay_when_a_domain_is_dark():
    """The group that was lost moves, not the one in its data centre."""
    made = make_dark({'a-d0': 4, 'a-d1': 4, 'b-d0': 4})
    split = made.allocations()
    assert split['top'].replicas == {'m': {'b': 1}}
    assert 'low' not in split


def test_lower_priority_gives_way():
    made = make_dark({'a-d0': 4, 'a-d1': 4})
    split = made.allocations()
    assert split['low'].replicas == {'m': {}}
    assert '1 taken for top' in split['low'].short['m']
    assert '4 VMs confirmed down' in split['low'].short['m']
    assert 'top' not in split


def test_equal_priority_is_not_preempted():
    made = fleet.Fleet({'a-d0': 4})
    made.contract('a', 5, 1)
    made.put('allocation', 'a', made.allocations()['a'])
    made.group('g-a', 'a', [f'a-d0-{index}' for index in range(4)])
    made.contract('0', 5, 1)
    split = made.allocations()
    assert split['0'].total('m') == 0
    assert 'a' not in split


def test_two_small_groups_give_way_to_a_large_one():
    made = fleet.Fleet({'a-d0': 4})
    made.contract('low', 1, 2, size=2)
    made.put('allocation', 'low', made.allocations()['low'])
    made.group('g-0', 'low', ['a-d0-0', 'a-d0-1'])
    made.group('g-1', 'low', ['a-d0-2', 'a-d0-3'])
    made.contract('top', 9, 1)
    split = made.allocations()
    assert split['top'].total('m') == 1
    assert split['low'].total('m') == 0


def test_goes_where_the_weights_are():
    made = fleet.Fleet({'a-d0': 8, 'b-d0': 4, 'b-d1': 4})
    for index in range(4):
        made.report(f'b-d1-{index}', cached=('m@v1',))
    made.contract('c', 5, 1)
    assert made.allocations()['c'].replicas == {'m': {'b': 1}}
