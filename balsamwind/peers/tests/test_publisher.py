"""Publication of group statuses and their matching with records."""

import dataclasses
import random

import pytest

from balsamwind import membership
from balsamwind import objects
from balsamwind import peers
from balsamwind import ports

VMS = ('v0', 'v1')
GROUP = objects.Group(
    'g',
    'c',
    'm',
    '1',
    'dc',
    'd',
    tuple(objects.Member(vm, f'{vm}:1') for vm in VMS),
    3,
    objects.GroupState.READY,
)


def make_view(vm, reachable=True, **changes):
    report = ports.EngineReport(vm, ports.EngineState.READY, 'g', 3, 'm', '1')
    report = dataclasses.replace(report, **changes)
    return membership.VmView(vm, report, reachable, 'a', 1.0)


def make_views(**second_member):
    return {'v0': make_view('v0'), 'v1': make_view('v1', **second_member)}


def plan(publisher, views, now):
    reports = publisher.plan([GROUP], views, now)
    if reports is None:
        return 0, []
    return len(reports.groups), [item.vm for item in reports.items]


@pytest.mark.parametrize(
    'second',
    [
        {'reachable': False},
        {'state': ports.EngineState.BROKEN},
        {'generation': 2},
        {'group': 'h'},
        {'model': 'n'},
        {'version': '2'},
        None,
    ],
)
def test_group_with_an_unhealthy_member_has_no_status(second):
    publisher = peers.Publisher(random.Random(1))
    assert plan(publisher, make_views(), 1.0) == (1, [])
    if second is None:
        assert plan(publisher, {'v0': make_view('v0')}, 2.0) == (0, [])
        return
    unhealthy = make_views(**second)
    assert plan(publisher, unhealthy, 2.0) == (0, ['v1'])
    assert plan(publisher, unhealthy, 3.0) == (0, [])
    assert plan(publisher, make_views(), 4.0) == (1, [])


def test_unchanged_state_is_sent_again_within_30_s():
    publisher = peers.Publisher(random.Random(1))
    free_vm_view = make_view('v9', group='', generation=0)
    views = {**make_views(), 'v9': free_vm_view}
    plans = [plan(publisher, views, float(now)) for now in range(61)]
    assert plans[0] == (1, ['v9'])
    assert 3 <= sum(groups for groups, _ in plans) <= 5
    assert 3 <= sum(vms == ['v9'] for _, vms in plans) <= 5


def test_status_of_a_replaced_record_expires_unmatched():
    status_resolver = peers.GroupStatusResolver(3.0)
    status = peers.make_group_status(GROUP, make_view('v0').report)
    status_resolver.update_group('g', GROUP)
    assert status_resolver.resolve(status, 'a', 1.0).observer == 'a'
    status_resolver.update_group('g', dataclasses.replace(GROUP, generation=4))
    assert status_resolver.resolve(status, 'a', 2.0) is None
    status_resolver.discard_expired(6.0)
    assert status_resolver.update_group('g', GROUP) is None


@pytest.mark.parametrize(
    'count, rounded',
    [(0, 0), (7, 7), (8, 8), (9, 10), (15, 16), (17, 16), (18, 20)],
)
def test_quantise_keeps_three_significant_bits(count, rounded):
    assert peers.quantise(count) == rounded
