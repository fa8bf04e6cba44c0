"""One observer that is cut off does not make VMs count as down."""

import pytest

from balsamwind import membership
from balsamwind import ports

STALE_AFTER = 3.0


def make_report(vm):
    return ports.EngineReport(vm=vm, state=ports.EngineState.READY)


def make_observations(count, observer='n'):
    made = membership.Observations(STALE_AFTER)
    for index in range(count):
        vm = f'v{index}'
        made.update(vm, True, make_report(vm), observer, 0.0)
    return made


def lose(made, vms, observer, now):
    for vm in vms:
        made.update(vm, False, None, observer, now)


@pytest.mark.parametrize(
    'total, down, witness, now, counts',
    [
        (4, 1, None, 2.0, True),
        (4, 2, None, 2.0, True),
        (4, 3, None, 2.0, False),
        (2, 2, None, 2.0, False),
        (1, 1, None, 2.0, True),
        (4, 3, 'm', 2.0, True),
        (4, 3, None, 22.0, True),
    ],
)
def test_most_vms_down_at_once(total, down, witness, now, counts):
    made = make_observations(total)
    vms = [f'v{index}' for index in range(down)]
    lose(made, vms, 'n', 1.0)
    if witness:
        lose(made, vms, witness, 1.5)
    made.hear('n', now, 0.0)
    made.hear('m', now, 0.0)
    assert all(not made.get(vm).reachable for vm in vms)
    assert all((made.down_for(vm, now) > 0) is counts for vm in vms)


def test_suspect_observer_does_not_overrule_another():
    made = make_observations(3)
    lose(made, ['v0', 'v1', 'v2'], 'n', 1.0)
    assert made.trusted(['m', 'n'], 1.0) == ['m']
    made.update('v0', True, make_report('v0'), 'm', 2.0)
    made.update('v0', False, None, 'n', 2.5)
    assert made.is_up('v0', 2.5)
    made.update('v0', False, None, 'm', 3.0)
    assert not made.is_up('v0', 3.0)
    assert made.down_for('v0', 4.0) == 1.0


def test_no_observer_left_is_better_than_none():
    made = make_observations(2)
    lose(made, ['v0', 'v1'], 'n', 1.0)
    assert made.trusted(['n'], 1.0) == ['n']


def test_dropped_view_goes_stale_from_its_last_sign_of_life():
    made = make_observations(1)
    made.hear('n', 100.0, 0.5)
    made.drop('v0', 'n')
    made.hear('n', 110.0, 0.0)
    assert made.is_up('v0', 102.0)
    assert not made.is_up('v0', 103.0)


def test_node_that_was_cut_off_does_not_overrule_the_observer():
    made = make_observations(1, observer='near')
    made.hear('near', 10.0, 0.0)
    made.update('v0', False, None, 'far', 10.0)
    assert made.is_up('v0', 10.0)
    made.drop('v0', 'far')
    made.drop('v0', 'near')
    assert made.is_up('v0', 10.0)


@pytest.mark.parametrize('ending', ['dropped', 'stale'])
def test_doubt_counts_once_nobody_vouches(ending):
    made = make_observations(1, observer='old')
    made.hear('old', 10.0, 0.0)
    made.update('v0', False, None, 'new', 10.0)
    if ending == 'dropped':
        made.drop('v0', 'old')
    else:
        made.hear('new', 10.0 + STALE_AFTER, 0.0)
        assert made.get('v0').reachable
        made.hear('new', 10.5 + STALE_AFTER, 0.0)
    assert not made.get('v0').reachable
    made.hear('new', 20.0, 0.0)
    assert made.down_for('v0', 20.0) > 0


def test_observer_is_suspect_on_one_data_centre_only():
    made = membership.Observations(STALE_AFTER, lambda vm: vm[0])
    for vm in ('a0', 'a1', 'b0', 'b1', 'b2'):
        made.update(vm, True, make_report(vm), 'n', 0.0)
    lose(made, ['b0', 'b1', 'b2'], 'n', 1.0)
    assert made.trusted(['m', 'n'], 1.0, 'b') == ['m']
    assert made.trusted(['m', 'n'], 1.0, 'a') == ['m', 'n']
