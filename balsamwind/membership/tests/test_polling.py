"""Each VM is polled by one node, and failed polls make it unreachable."""

import pytest

from balsamwind import exceptions
from balsamwind import membership
from balsamwind import objects
from balsamwind import ports

REFUSED = exceptions.TransportError('refused', sent=False)
UNANSWERED = exceptions.AnswerTimeout('silent')


def _make_listed_vm(name, data_centre='a'):
    return ports.ListedVm(name, f'10.0.0.1:{len(name)}', data_centre, 'd')


def _make_group(name, vms, data_centre='a'):
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


def test_unlisted_members_are_observed_with_their_group():
    observed = membership.collect_observed_vms(
        {'x': _make_listed_vm('x'), 'y': _make_listed_vm('y')},
        [_make_group('g', ['y', 'z'])],
    )
    assert {name: vm.unit for name, vm in observed.items()} == {
        'x': 'x',
        'y': 'g',
        'z': 'g',
    }
    assert observed['z'].address == 'z:1'


def test_each_vm_has_one_observer_and_groups_are_not_split():
    groups = [_make_group(f'g{i}', [f'v{i}a', f'v{i}b']) for i in range(6)]
    listed_vms = {f'w{i}': _make_listed_vm(f'w{i}', 'b') for i in range(5)}
    observed = membership.collect_observed_vms(listed_vms, groups)
    observers = {'a': ['n1', 'n2'], 'b': ['n3']}
    polls = {
        node: membership.select_vms_to_poll(observed, observers, node)
        for node in ('n1', 'n2', 'n3', 'n4')
    }
    names = [vm for polled in polls.values() for vm in polled]
    assert sorted(names) == sorted(observed)
    assert polls['n4'] == {}
    assert set(polls['n3']) == set(listed_vms)
    for group in groups:
        polling_nodes = {
            node
            for node, polled in polls.items()
            for member in group.members
            if member.vm in polled
        }
        assert len(polling_nodes) == 1


@pytest.mark.parametrize(
    ('errors', 'reachable'),
    [
        ([None], [True]),
        ([REFUSED], [False]),
        ([UNANSWERED, UNANSWERED, UNANSWERED], [True, True, False]),
        ([UNANSWERED, None, UNANSWERED], [True, True, True]),
    ],
)
def test_missing_answers_have_to_be_repeated(errors, reachable):
    detector = membership.PollFailureDetector(3)
    assert [detector.record_poll('x', error) for error in errors] == reachable
