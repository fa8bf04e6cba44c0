"""An observer that is cut off does not make VMs count as down.

A node that loses its network sees all its VMs fail at once. If its views
counted, healthy groups would be repaired.
"""

import pytest

from balsamwind import membership
from balsamwind import ports

STALE_AFTER = 3.0


def make_report(vm):
    return ports.EngineReport(vm=vm, state=ports.EngineState.READY)


def make_observations(count, observer='n'):
    observations = membership.Observations(STALE_AFTER)
    for index in range(count):
        vm = f'v{index}'
        observations.update(vm, True, make_report(vm), observer, 0.0)
    return observations


def observe_down(observations, vms, observer, now):
    for vm in vms:
        observations.update(vm, False, None, observer, now)


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
def test_down_vms_of_suspect_observer_need_confirmation(
    total, down, witness, now, counts
):
    observations = make_observations(total)
    vms = [f'v{index}' for index in range(down)]
    observe_down(observations, vms, 'n', 1.0)
    if witness:
        observe_down(observations, vms, witness, 1.5)
    observations.record_heartbeat('n', now, 0.0)
    observations.record_heartbeat('m', now, 0.0)
    assert all(not observations.get(vm).reachable for vm in vms)
    assert all(
        (observations.down_duration(vm, now) > 0) is counts for vm in vms
    )


def test_suspect_observer_does_not_override_another():
    observations = make_observations(3)
    observe_down(observations, ['v0', 'v1', 'v2'], 'n', 1.0)
    assert observations.exclude_suspects(['m', 'n'], 1.0) == ['m']
    observations.update('v0', True, make_report('v0'), 'm', 2.0)
    observations.update('v0', False, None, 'n', 2.5)
    assert observations.is_up('v0', 2.5)
    observations.update('v0', False, None, 'm', 3.0)
    assert not observations.is_up('v0', 3.0)
    assert observations.down_duration('v0', 4.0) == 1.0


def test_all_observers_are_trusted_if_all_are_suspect():
    observations = make_observations(2)
    observe_down(observations, ['v0', 'v1'], 'n', 1.0)
    assert observations.exclude_suspects(['n'], 1.0) == ['n']


def test_withdrawn_view_is_not_refreshed_by_heartbeats():
    observations = make_observations(1)
    observations.record_heartbeat('n', 100.0, 0.5)
    observations.withdraw_view('v0', 'n')
    observations.record_heartbeat('n', 110.0, 0.0)
    assert observations.is_up('v0', 102.0)
    assert not observations.is_up('v0', 103.0)


def test_node_that_was_cut_off_does_not_override_the_observer():
    observations = make_observations(1, observer='near')
    observations.record_heartbeat('near', 10.0, 0.0)
    observations.update('v0', False, None, 'far', 10.0)
    assert observations.is_up('v0', 10.0)
    observations.withdraw_view('v0', 'far')
    observations.withdraw_view('v0', 'near')
    assert observations.is_up('v0', 10.0)


@pytest.mark.parametrize('ending', ['dropped', 'stale'])
def test_deferred_view_applies_without_a_fresh_up_view(ending):
    observations = make_observations(1, observer='old')
    observations.record_heartbeat('old', 10.0, 0.0)
    observations.update('v0', False, None, 'new', 10.0)
    if ending == 'dropped':
        observations.withdraw_view('v0', 'old')
    else:
        observations.record_heartbeat('new', 10.0 + STALE_AFTER, 0.0)
        assert observations.get('v0').reachable
        observations.record_heartbeat('new', 10.5 + STALE_AFTER, 0.0)
    assert not observations.get('v0').reachable
    observations.record_heartbeat('new', 20.0, 0.0)
    assert observations.down_duration('v0', 20.0) > 0


def test_observer_is_suspect_for_one_data_centre_only():
    observations = membership.Observations(STALE_AFTER, lambda vm: vm[0])
    for vm in ('a0', 'a1', 'b0', 'b1', 'b2'):
        observations.update(vm, True, make_report(vm), 'n', 0.0)
    observe_down(observations, ['b0', 'b1', 'b2'], 'n', 1.0)
    assert observations.exclude_suspects(['m', 'n'], 1.0, 'b') == ['m']
    assert observations.exclude_suspects(['m', 'n'], 1.0, 'a') == ['m', 'n']
