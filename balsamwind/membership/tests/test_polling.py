"""Which VMs a node observes, and what failed polls say of them."""

import pytest

from balsamwind import exceptions
from balsamwind import membership
from balsamwind import objects
from balsamwind import ports

REFUSED = exceptions.TransportError('refused', sent=False)
SILENT = exceptions.AnswerTimeout('silent')


def _row(name, data_centre='a'):
    return ports.ListedVm(name, f'10.0.0.1:{len(name)}', data_centre, 'd')


def _group(name, vms, data_centre='a'):
    return objects.Group(
        name=name,
        contract='c',
        model='m',
        version='1',
        data_centre=data_centre,
        fabric_domain='d',
        members=tuple(objects.Member(vm, f'{vm}:1') for vm in vms),
        generation=1,
        state=objects.GroupState.READY,
    )


def test_members_are_observed_with_their_group_though_not_listed():
    observed = membership.find_observed(
        {'x': _row('x'), 'y': _row('y')}, [_group('g', ['y', 'z'])]
    )
    assert {name: vm.unit for name, vm in observed.items()} == {
        'x': 'x',
        'y': 'g',
        'z': 'g',
    }
    assert observed['z'].address == 'z:1'


def test_each_vm_has_one_observer_and_a_group_stays_together():
    groups = [_group(f'g{i}', [f'v{i}a', f'v{i}b']) for i in range(6)]
    listed = {f'w{i}': _row(f'w{i}', 'b') for i in range(5)}
    observed = membership.find_observed(listed, groups)
    observers = {'a': ['n1', 'n2'], 'b': ['n3']}
    parts = {
        node: membership.plan_polls(observed, observers, node)
        for node in ('n1', 'n2', 'n3', 'n4')
    }
    names = [vm for part in parts.values() for vm in part]
    assert sorted(names) == sorted(observed)
    assert parts['n4'] == {}
    assert set(parts['n3']) == set(listed)
    for group in groups:
        owners = {
            node
            for node, part in parts.items()
            for member in group.members
            if member.vm in part
        }
        assert len(owners) == 1


@pytest.mark.parametrize(
    ('errors', 'reachable'),
    [
        ([None], [True]),
        ([REFUSED], [False]),
        ([SILENT, SILENT, SILENT], [True, True, False]),
        ([SILENT, None, SILENT], [True, True, True]),
    ],
)
def test_silence_has_to_be_repeated(errors, reachable):
    failures = membership.PollFailures(3)
    assert [
        failures.check_reachable('x', error) for error in errors
    ] == reachable
