"""What one round does about groups that lost members."""

import pytest

from balsamwind.control.tests import fleet
from balsamwind import objects

State = objects.GroupState
D0 = [f'a-d0-{index}' for index in range(8)]


def make_fleet(domains, **placement):
    made = fleet.Fleet(domains, **placement)
    made.contract('high', 9, 1, {'a': 1})
    made.group('g-high', 'high', D0[:4])
    return made


@pytest.mark.parametrize(
    'domains, down_for, placement, way',
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
def test_way(domains, down_for, placement, way):
    made = make_fleet(domains, **placement)
    made.report(D0[1], down_for)
    group = made.groups()['g-high']
    assert f'lost {D0[1]}; {way}' in group.reason
    state = {'wait': State.READY, 'spare': State.FORMING}
    assert group.state is state.get(way, State.RELEASING)
    if way == 'spare':
        assert set(group.vms) == {D0[0], D0[2], D0[3], D0[4]}
        assert group.generation == 2


def test_spare_that_holds_the_weights():
    made = make_fleet({'a-d0': 7})
    made.report(D0[1], 200.0)
    made.report(D0[6], cached=('m@v1',))
    assert D0[6] in made.groups()['g-high'].vms


def test_wait_is_written_once():
    made = make_fleet({'a-d0': 5})
    made.report(D0[1], 2.0)
    made.put('group', 'g-high', made.groups()['g-high'])
    made.report(D0[1], 3.0)
    assert made.groups() == {}


def test_take_from_lower_priority():
    made = make_fleet({'a-d0': 8})
    made.contract('low', 1, 1, {'a': 1})
    made.group('g-low', 'low', D0[4:])
    made.report(D0[1], 200.0)
    written = made.groups()
    assert written['g-low'].state is State.DRAINING
    assert 'taken apart for g-high' in written['g-low'].reason
    assert written['g-high'].state is State.READY
    for name, group in written.items():
        made.put('group', name, group)
    assert made.groups()['g-high'].reason.startswith(f'lost {D0[1]}; coming')


def test_never_from_higher_priority():
    made = make_fleet({'a-d0': 8})
    made.contract('low', 1, 1, {'a': 1})
    made.group('g-low', 'low', D0[4:])
    made.report(D0[5], 200.0)
    assert set(made.groups()) == {'g-low'}


def test_two_broken_groups_make_one():
    made = make_fleet({'a-d0': 8})
    made.contract('same', 9, 1, {'a': 1})
    made.group('g-same', 'same', D0[4:])
    made.report(D0[1], 300.0)
    made.report(D0[5], 300.0)
    written = made.groups()
    assert written['g-same'].state is State.RELEASING
    assert written['g-high'].state is State.READY


def test_one_spare_goes_to_the_higher_priority():
    made = fleet.Fleet({'a-d0': 9})
    for name, priority, vms in (('a', 1, D0[:4]), ('z', 9, D0[4:])):
        made.contract(name, priority, 1, {'a': 1})
        made.group(f'g-{name}', name, vms)
    made.report(D0[1], 200.0)
    made.report(D0[5], 200.0)
    written = made.groups()
    assert written['g-z'].state is State.FORMING
    assert 'a-d0-8' in written['g-z'].vms


def test_room_goes_to_the_higher_priority():
    made = fleet.Fleet({'a-d0': 4})
    made.contract('a', 1, 1, {'a': 1})
    made.contract('z', 9, 1, {'a': 1})
    assert [group.contract for group in made.groups().values()] == ['z']


def test_streams_end_before_a_leaving_member_goes():
    made = make_fleet({'a-d0': 5})
    made.report(D0[0], cached=('m@v1',), running=1)
    made.leave(D0[1])
    group = made.groups()['g-high']
    assert group.state is State.READY
    assert 'streams' in group.reason
    made.report(D0[0], cached=('m@v1',))
    assert made.groups()['g-high'].state is State.FORMING


def test_member_that_is_down_does_not_change_the_generation():
    """The rest reports a broken group; it is whole if the member returns."""
    made = make_fleet({'a-d0': 4})
    made.report(D0[1], 0.5)
    for vm in (D0[0], D0[2], D0[3]):
        view = made.observations.get(vm)
        made.report(vm, group='g-high', generation=1, cached=('m@v1',))
        assert view.reachable
    assert made.groups() == {}


def test_surplus_that_is_broken_goes_first():
    made = fleet.Fleet({'a-d0': 8})
    made.contract('c', 5, 2, {'a': 1})
    made.group('g-a', 'c', D0[:4])
    made.group('g-b', 'c', D0[4:])
    made.report(D0[5], 200.0)
    group = made.groups()['g-b']
    assert group.state is State.RELEASING
    assert 'more than allocated' in group.reason
    assert 'g-a' not in made.groups()
